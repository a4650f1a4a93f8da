package org.poplarloom.core.process;

import java.util.Arrays;

/**
 * The largest of the values recorded in the last 10 s.
 * <p>
 * Time is divided into intervals of 1 s. A time before the last recorded one counts as
 * the last recorded one. This class is not thread-safe; its owner guards it.
 */
final class RecentMaximum {

	private static final long INTERVAL_MILLIS = 1_000;

	private static final int INTERVALS = 10;

	private final int[] maxima = new int[INTERVALS];

	private long lastInterval;

	void add(int value, long nowMillis) {
		advance(nowMillis);
		int index = index(this.lastInterval);
		this.maxima[index] = Math.max(this.maxima[index], value);
	}

	/**
	 * Returns the largest recent value.
	 * @param nowMillis the time in milliseconds
	 * @return the value, 0 if none was recorded in the last 10 s
	 */
	int value(long nowMillis) {
		advance(nowMillis);
		return Arrays.stream(this.maxima).max().orElse(0);
	}

	private void advance(long nowMillis) {
		long interval = nowMillis / INTERVAL_MILLIS;
		if (interval - this.lastInterval >= INTERVALS) {
			Arrays.fill(this.maxima, 0);
			this.lastInterval = interval;
		}
		while (this.lastInterval < interval) {
			this.lastInterval++;
			this.maxima[index(this.lastInterval)] = 0;
		}
	}

	private static int index(long interval) {
		return (int) Math.floorMod(interval, INTERVALS);
	}

}
