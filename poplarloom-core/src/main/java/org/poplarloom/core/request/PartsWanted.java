package org.poplarloom.core.request;

/**
 * Asks a home for endpoints that each read an equal part of a long prompt.
 * <p>
 * The parts become smaller if more endpoints than the fewest are found. This class is
 * immutable and thread-safe.
 *
 * @param fewest the fewest endpoints, from all homes together, that are of use
 * @param most the most endpoints that are wanted from this home
 * @param partMillis the time that an idle endpoint needs for its part if the fewest are
 * found, in milliseconds
 * @param partKvTokens the memory that each endpoint sets aside for such a part, in
 * tokens, 0 if the answering endpoint holds the whole prompt
 */
public record PartsWanted(int fewest, int most, double partMillis, long partKvTokens) {

	/** The most engines that read one prompt: the first one and 16 helpers. */
	public static final int LARGEST_COUNT = 17;

	public PartsWanted {
		if (fewest < 1 || most < 1 || partMillis < 0 || partKvTokens < 0) {
			throw new IllegalArgumentException(fewest + " to " + most + " parts of " + partMillis + " ms and "
					+ partKvTokens + " tokens cannot be wanted");
		}
	}

	/**
	 * Returns the question to one home after others have given a part.
	 * @param stillWanted the most endpoints that are still wanted
	 * @return the parts
	 */
	public PartsWanted withMost(int stillWanted) {
		return new PartsWanted(this.fewest, stillWanted, this.partMillis, this.partKvTokens);
	}

}
