package org.poplarloom.core.request;

/**
 * Asks a home for endpoints that each read an equal part of a long prompt.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param most the most endpoints that are wanted
 * @param partMillis the time that an idle endpoint needs for its part, in milliseconds
 * @param partKvTokens the memory that each endpoint sets aside for the part, in tokens, 0
 * if the answering endpoint holds the whole prompt
 */
public record PartsWanted(int most, double partMillis, long partKvTokens) {

	public PartsWanted {
		if (most < 1 || partMillis < 0 || partKvTokens < 0) {
			throw new IllegalArgumentException(
					most + " parts of " + partMillis + " ms and " + partKvTokens + " tokens cannot be wanted");
		}
	}

}
