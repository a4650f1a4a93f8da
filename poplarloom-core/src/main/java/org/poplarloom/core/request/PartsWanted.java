package org.poplarloom.core.request;

/**
 * The parallel prefill of a long prompt: asks a home for endpoints that each prefill an
 * equal part of it.
 * <p>
 * The parts become smaller if more endpoints than the minimum are granted. This class is
 * immutable and thread-safe.
 *
 * @param fewest the minimum number of endpoints, summed over all homes, with which the
 * prompt is prefilled in parallel
 * @param most the maximum number of endpoints requested from this home
 * @param partMillis the time that an idle endpoint needs to prefill its part if only the
 * minimum is granted, in milliseconds
 * @param partKvTokens the KV cache that each endpoint reserves for such a part, in
 * tokens; 0 if the answering endpoint holds the whole prompt
 */
public record PartsWanted(int fewest, int most, double partMillis, long partKvTokens) {

	/**
	 * The maximum number of engines that prefill one prompt: the first one and 16
	 * helpers.
	 */
	public static final int LARGEST_COUNT = 17;

	public PartsWanted {
		if (fewest < 1 || most < 1 || partMillis < 0 || partKvTokens < 0) {
			throw new IllegalArgumentException("invalid parallel prefill: " + fewest + " to " + most + " parts of "
					+ partMillis + " ms and " + partKvTokens + " tokens");
		}
	}

	/**
	 * Returns the request to one home after other homes have granted some parts.
	 * @param maxParts the maximum number of endpoints that are still needed
	 * @return the parallel prefill
	 */
	public PartsWanted withMaxParts(int maxParts) {
		return new PartsWanted(this.fewest, maxParts, this.partMillis, this.partKvTokens);
	}

}
