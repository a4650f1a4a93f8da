package org.poplarloom.core.process;

/**
 * How long a model engine needs to read a prompt and to write answers.
 * <p>
 * An engine runs its waiting work in passes. While it writes answers, a pass makes a
 * fixed number of token steps and each step also reads at most one chunk of a prompt, so
 * that reading delays everything that is being written on the same engine. All figures
 * are positive. This class is immutable and thread-safe.
 *
 * @param stepMillis the time of one token step without any load, in milliseconds
 * @param sequenceMillis what each answer being written adds to a step, in milliseconds
 * @param contextMillisPerThousand what 1,000 tokens of context add to a step, in
 * milliseconds
 * @param readTokensPerMilli the number of prompt tokens read in a millisecond
 * @param pairMillisPerMillion what a million pairs of a token and an earlier one add to
 * reading, in milliseconds
 * @param stride the number of steps in a pass
 */
public record EngineModel(double stepMillis, double sequenceMillis, double contextMillisPerThousand,
		double readTokensPerMilli, double pairMillisPerMillion, int stride) {

	private static final double THOUSAND = 1_000;

	private static final double MILLION = 1_000_000;

	public EngineModel {
		if (!(readTokensPerMilli > 0) || !(stepMillis >= 0) || stride < 1) {
			throw new IllegalArgumentException("engine cannot read " + readTokensPerMilli + " tokens a millisecond in "
					+ stride + " steps of " + stepMillis + " ms");
		}
	}

	/**
	 * Returns the time that one engine alone needs to read a prompt.
	 * @param promptTokens the length in tokens
	 * @return milliseconds
	 */
	public double prefillMillis(long promptTokens) {
		double pairs = (double) promptTokens * promptTokens / 2;
		return promptTokens / this.readTokensPerMilli + pairs / MILLION * this.pairMillisPerMillion;
	}

	/**
	 * Returns the time of a pass that reads nothing.
	 * @param writers the number of answers being written
	 * @param contextTokens their context in tokens
	 * @return milliseconds
	 */
	public double passMillis(int writers, long contextTokens) {
		double step = this.stepMillis + writers * this.sequenceMillis
				+ contextTokens / THOUSAND * this.contextMillisPerThousand;
		return step * this.stride;
	}

}
