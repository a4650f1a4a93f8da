package org.poplarloom.bench.decision;

import org.poplarloom.standin.engine.EngineSettings;

/**
 * The requests offered in a simulation and the engines that run them.
 * <p>
 * Arrivals are a Poisson process. The lengths of short prompts are uniform from 1,000 to
 * 4,000 tokens, those of long prompts log-uniform from 100,000 to 1,000,000 tokens. This
 * class is immutable and thread-safe.
 *
 * @param engineCount the number of engines
 * @param engineSettings the costs and limits of each engine
 * @param engineUptimeMillis the time since the start of the engines when the simulation
 * begins, in milliseconds
 * @param requestsPerSecond the rate of short and long requests together
 * @param hasLongPrompts whether long requests are sent; if not, the short requests are
 * sent at the same rate and times as with long ones
 * @param durationMillis the time during which requests arrive, in milliseconds
 * @param shortDeadlineMillis the deadline of short requests, in milliseconds after the
 * arrival
 * @param longDeadlineMillis the deadline of long requests, in milliseconds after the
 * arrival
 */
record Workload(int engineCount, EngineSettings engineSettings, double engineUptimeMillis, double requestsPerSecond,
		boolean hasLongPrompts, double durationMillis, double shortDeadlineMillis, double longDeadlineMillis) {

	/** The fraction of the requests that have a long prompt. */
	static final double LONG_FRACTION = 0.02;

	private static final long MIN_SHORT_TOKENS = 1_000;

	private static final long MAX_SHORT_TOKENS = 4_000;

	private static final long MIN_LONG_TOKENS = 100_000;

	private static final long MAX_LONG_TOKENS = 1_000_000;

	static long shortPromptTokens(double quantile) {
		return MIN_SHORT_TOKENS + (long) (quantile * (MAX_SHORT_TOKENS - MIN_SHORT_TOKENS));
	}

	static long longPromptTokens(double quantile) {
		return (long) (MIN_LONG_TOKENS * Math.pow((double) MAX_LONG_TOKENS / MIN_LONG_TOKENS, quantile));
	}

	/**
	 * Returns the mean prompt length of short and long requests.
	 * @return the length in tokens
	 */
	static double meanPromptTokens() {
		double meanShort = (MIN_SHORT_TOKENS + MAX_SHORT_TOKENS) / 2.0;
		double meanLong = (MAX_LONG_TOKENS - MIN_LONG_TOKENS) / Math.log((double) MAX_LONG_TOKENS / MIN_LONG_TOKENS);
		return (1 - LONG_FRACTION) * meanShort + LONG_FRACTION * meanLong;
	}

	/**
	 * Returns a workload that uses a fraction of the prefill capacity.
	 * @param engineCount the number of engines
	 * @param engineSettings the costs and limits of each engine
	 * @param utilization the fraction of the capacity that short and long prompts use
	 * together
	 * @param durationMillis the time during which requests arrive, in milliseconds
	 * @return the workload
	 */
	static Workload of(int engineCount, EngineSettings engineSettings, double utilization, double durationMillis) {
		double requestsPerSecond = engineCount * engineSettings.sustainedTokensPerSecond() * utilization
				/ meanPromptTokens();
		return new Workload(engineCount, engineSettings, 3_600_000, requestsPerSecond, true, durationMillis, 60_000,
				600_000);
	}

	Workload withoutLongPrompts() {
		return new Workload(this.engineCount, this.engineSettings, this.engineUptimeMillis, this.requestsPerSecond,
				false, this.durationMillis, this.shortDeadlineMillis, this.longDeadlineMillis);
	}

	Workload withEngineUptimeMillis(double newEngineUptimeMillis) {
		return new Workload(this.engineCount, this.engineSettings, newEngineUptimeMillis, this.requestsPerSecond,
				this.hasLongPrompts, this.durationMillis, this.shortDeadlineMillis, this.longDeadlineMillis);
	}

}
