package org.poplarloom.bench.decision;

import org.poplarloom.standin.engine.EngineSettings;

/**
 * The load of a run and the engines that take it.
 * <p>
 * Arrivals are a Poisson process; short prompts are uniform from 1,000 to 4,000 tokens
 * and long ones log-uniform from 100,000 to 1,000,000. This class is immutable and
 * thread-safe.
 *
 * @param engines the number of engines
 * @param engine their costs and limits
 * @param warmMillis how long the engines have been running at the start
 * @param requestsPerSecond the rate of all requests
 * @param hasLongs whether long prompts are sent; without them only short ones remain, at
 * the same rate
 * @param durationMillis how long requests arrive
 * @param shortDeadlineMillis the deadline of short requests
 * @param longDeadlineMillis the deadline of long requests
 */
record Load(int engines, EngineSettings engine, double warmMillis, double requestsPerSecond, boolean hasLongs,
		double durationMillis, double shortDeadlineMillis, double longDeadlineMillis) {

	/** The part of the requests that have a long prompt. */
	static final double LONG_FRACTION = 0.02;

	private static final long SHORTEST = 1_000;

	private static final long LONGEST_SHORT = 4_000;

	private static final long SHORTEST_LONG = 100_000;

	private static final long LONGEST = 1_000_000;

	static long shortPrompt(double position) {
		return SHORTEST + (long) (position * (LONGEST_SHORT - SHORTEST));
	}

	static long longPrompt(double position) {
		return (long) (SHORTEST_LONG * Math.pow((double) LONGEST / SHORTEST_LONG, position));
	}

	/**
	 * Returns the mean length of all prompts.
	 * @return tokens
	 */
	static double meanPrompt() {
		double meanShort = (SHORTEST + LONGEST_SHORT) / 2.0;
		double meanLong = (LONGEST - SHORTEST_LONG) / Math.log((double) LONGEST / SHORTEST_LONG);
		return (1 - LONG_FRACTION) * meanShort + LONG_FRACTION * meanLong;
	}

	/**
	 * Returns a load that uses a part of the prefill capacity.
	 * @param engines the number of engines
	 * @param engine their costs and limits
	 * @param utilization the part of the capacity that short and long prompts use
	 * together
	 * @param durationMillis how long requests arrive
	 * @return the load
	 */
	static Load of(int engines, EngineSettings engine, double utilization, double durationMillis) {
		double rate = engines * engine.sustainedTokensPerSecond() * utilization / meanPrompt();
		return new Load(engines, engine, 3_600_000, rate, true, durationMillis, 60_000, 600_000);
	}

	Load withoutLongs() {
		return new Load(this.engines, this.engine, this.warmMillis, this.requestsPerSecond, false, this.durationMillis,
				this.shortDeadlineMillis, this.longDeadlineMillis);
	}

	Load withWarmMillis(double newWarmMillis) {
		return new Load(this.engines, this.engine, newWarmMillis, this.requestsPerSecond, this.hasLongs,
				this.durationMillis, this.shortDeadlineMillis, this.longDeadlineMillis);
	}

}
