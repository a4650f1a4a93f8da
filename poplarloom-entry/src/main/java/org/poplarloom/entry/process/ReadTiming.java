package org.poplarloom.entry.process;

/**
 * How long a read of a platform table waits and how often the table is read. The pauses
 * are spread, so that instances which have started together do not read together.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param waitMillis how long a read waits for a record, in milliseconds
 * @param minPauseMillis the shortest time between two reads, in milliseconds
 * @param maxPauseMillis the longest time between two reads, in milliseconds
 */
public record ReadTiming(long waitMillis, long minPauseMillis, long maxPauseMillis) {

	/** The table is not read; peers have the records. */
	public static final ReadTiming NONE = of(0, Long.MAX_VALUE / 4);

	/**
	 * The shortest time from the start of a read that fails to the next one: the store
	 * can serve only some hundred calls a second from all instances.
	 */
	private static final long RETRY_PERIOD_MILLIS = 400;

	/**
	 * The same at an instance that is not to read, whose calls only show when the store
	 * can be reached again.
	 */
	private static final long PROBE_PERIOD_MILLIS = 2_000;

	/**
	 * Returns a timing with constant pauses.
	 * @param waitMillis how long a read waits for a record, in milliseconds
	 * @param pauseMillis the time between two reads, in milliseconds
	 * @return the timing
	 */
	public static ReadTiming of(long waitMillis, long pauseMillis) {
		return new ReadTiming(waitMillis, pauseMillis, pauseMillis);
	}

	/**
	 * Returns a timing without waits whose pauses are spread evenly around a mean.
	 * @param meanPauseMillis the mean time between two reads, in milliseconds
	 * @return the timing
	 */
	public static ReadTiming spread(long meanPauseMillis) {
		return new ReadTiming(0, meanPauseMillis / 2, meanPauseMillis * 3 / 2);
	}

	boolean isNone() {
		return equals(NONE);
	}

	/**
	 * Returns when a read that fails is repeated.
	 * @return the shortest time between the starts of the two reads, in milliseconds
	 */
	long retryMillis() {
		return isNone() ? PROBE_PERIOD_MILLIS : RETRY_PERIOD_MILLIS;
	}

	long pauseMillis(double fraction) {
		return this.minPauseMillis + (long) (fraction * (this.maxPauseMillis - this.minPauseMillis));
	}

}
