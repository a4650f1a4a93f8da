package org.poplarloom.core.request;

/**
 * The parallel prefill of a long prompt: asks a home for endpoints that each prefill an
 * equal part of it.
 * <p>
 * The parts become smaller if more endpoints than the minimum are granted. This class is
 * immutable and thread-safe.
 *
 * @param minParts the minimum number of endpoints, summed over all homes, with which the
 * prompt is prefilled in parallel
 * @param maxParts the maximum number of endpoints requested from this home
 * @param partMillis the time that an idle endpoint needs to prefill its part if only the
 * minimum is granted, in milliseconds
 * @param partKvTokens the KV cache that each endpoint reserves for such a part, in
 * tokens; 0 if the answering endpoint holds the complete prompt
 */
public record ParallelPrefill(int minParts, int maxParts, double partMillis, long partKvTokens) {

	/**
	 * The maximum number of engines that prefill one prompt: the first one and 16
	 * helpers.
	 */
	public static final int MAX_PARTS = 17;

	public ParallelPrefill {
		if (minParts < 1 || maxParts < 1 || partMillis < 0 || partKvTokens < 0) {
			throw new IllegalArgumentException("invalid parallel prefill: " + minParts + " to " + maxParts
					+ " parts of " + partMillis + " ms and " + partKvTokens + " tokens");
		}
	}

	/**
	 * Returns the request to one home after other homes have granted some parts.
	 * @param maxParts the maximum number of endpoints that are still needed
	 * @return the parallel prefill
	 */
	public ParallelPrefill withMaxParts(int maxParts) {
		return new ParallelPrefill(this.minParts, maxParts, this.partMillis, this.partKvTokens);
	}

}
