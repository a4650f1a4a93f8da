package org.poplarloom.core;

/**
 * Whether an endpoint executed a refused or failed request.
 * <p>
 * This enum is immutable and thread-safe.
 */
public enum Executed {

	/** No endpoint received the request. */
	NO,

	/** An endpoint executed the request, at least in part. */
	YES,

	/** The request was sent but its outcome was not observed. */
	UNKNOWN;

	/**
	 * Returns the lower-case form used in problem bodies.
	 * @return {@code no}, {@code yes} or {@code unknown}
	 */
	public String text() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

}
