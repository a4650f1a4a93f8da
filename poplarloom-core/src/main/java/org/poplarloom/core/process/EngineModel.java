package org.poplarloom.core.process;

/**
 * A performance model of an inference engine: the time that it needs for prefill and for
 * decoding.
 * <p>
 * An engine works in passes. While it generates answers, a pass makes a fixed number of
 * decode steps and each step also prefills at most one chunk of a prompt, so that prefill
 * delays all answers on the same engine. No figure is negative. This class is immutable
 * and thread-safe.
 *
 * @param stepMillis the time of one decode step without load, in milliseconds
 * @param sequenceMillis what each answer being generated adds to a step, in milliseconds
 * @param contextMillisPerThousand what 1,000 tokens of context add to a step, in
 * milliseconds
 * @param prefillTokensPerMilli the prefill rate without the cost of attention, in tokens
 * per millisecond
 * @param pairMillisPerMillion the cost of attention: what a million pairs of a token and
 * an earlier token add to the prefill, in milliseconds
 * @param stepsPerPass the number of decode steps in a pass
 */
public record EngineModel(double stepMillis, double sequenceMillis, double contextMillisPerThousand,
		double prefillTokensPerMilli, double pairMillisPerMillion, int stepsPerPass) {

	private static final double THOUSAND = 1_000;

	private static final double MILLION = 1_000_000;

	public EngineModel {
		if (!(prefillTokensPerMilli > 0) || !(stepMillis >= 0) || stepsPerPass < 1) {
			throw new IllegalArgumentException("invalid engine speed: prefill of " + prefillTokensPerMilli
					+ " tokens per millisecond, decode steps of " + stepMillis + " ms, " + stepsPerPass
					+ " steps in a pass");
		}
	}

	/**
	 * Returns the time in which one engine without other load prefills a prompt.
	 * @param promptTokens the length in tokens
	 * @return milliseconds
	 */
	public double prefillMillis(long promptTokens) {
		double pairs = (double) promptTokens * promptTokens / 2;
		return promptTokens / this.prefillTokensPerMilli + pairs / MILLION * this.pairMillisPerMillion;
	}

	/**
	 * Returns the time of a pass without prefill.
	 * @param answers the number of answers being generated
	 * @param contextTokens the length of their contexts in tokens, summed up
	 * @return milliseconds
	 */
	public double passMillis(int answers, long contextTokens) {
		double step = this.stepMillis + answers * this.sequenceMillis
				+ contextTokens / THOUSAND * this.contextMillisPerThousand;
		return step * this.stepsPerPass;
	}

}
