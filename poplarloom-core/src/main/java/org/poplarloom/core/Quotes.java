package org.poplarloom.core;

/**
 * Prepares values of other writers for messages and logs.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class Quotes {

	/** The characters of a value that a message quotes. */
	public static final int MAX_LENGTH = 100;

	private Quotes() {
	}

	/**
	 * Returns a value as it is quoted in a message: of bounded length and on one line.
	 * @param value the value, may be null
	 * @return the first characters and the length of a longer value; control characters
	 * are replaced by question marks
	 */
	public static String shortened(String value) {
		if (value == null) {
			return "null";
		}
		String start = value.substring(0, Math.min(MAX_LENGTH, value.length())).replaceAll("\\p{Cntrl}", "?");
		return (value.length() > MAX_LENGTH) ? start + "... (" + value.length() + " characters)" : start;
	}

}
