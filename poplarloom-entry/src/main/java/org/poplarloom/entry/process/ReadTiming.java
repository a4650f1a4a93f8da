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

	long pauseMillis(double fraction) {
		return this.minPauseMillis + (long) (fraction * (this.maxPauseMillis - this.minPauseMillis));
	}

}
