package org.poplarloom.core.process;

import java.util.Arrays;

/**
 * The endpoints that one home has recently granted to this instance, less those that the
 * instance has released.
 * <p>
 * Time is divided into intervals of 100 ms; the last 8 s are kept. A time before the last
 * recorded one counts as the last recorded one. This class is not thread-safe; its owner
 * guards it.
 */
final class RecentGrants {

	private static final long INTERVAL_MILLIS = 100;

	private static final int INTERVALS = 80;

	private final int[] net = new int[INTERVALS];

	private long lastInterval;

	RecentGrants(long nowMillis) {
		this.lastInterval = nowMillis / INTERVAL_MILLIS;
	}

	void add(int endpoints, long nowMillis) {
		advance(nowMillis);
		this.net[index(this.lastInterval)] += endpoints;
	}

	/**
	 * Returns the change of the number of granted endpoints in the last milliseconds.
	 * @param millis the time span, at most 8 s of which count
	 * @param nowMillis the time in milliseconds
	 * @return granted less released endpoints, negative if more were released
	 */
	int netWithin(long millis, long nowMillis) {
		advance(nowMillis);
		long intervals = Math.min(INTERVALS, (millis + INTERVAL_MILLIS - 1) / INTERVAL_MILLIS);
		int sum = 0;
		for (long i = 0; i < intervals; i++) {
			sum += this.net[index(this.lastInterval - i)];
		}
		return sum;
	}

	private void advance(long nowMillis) {
		long interval = nowMillis / INTERVAL_MILLIS;
		if (interval - this.lastInterval >= INTERVALS) {
			Arrays.fill(this.net, 0);
			this.lastInterval = interval;
		}
		while (this.lastInterval < interval) {
			this.lastInterval++;
			this.net[index(this.lastInterval)] = 0;
		}
	}

	private static int index(long interval) {
		return (int) Math.floorMod(interval, INTERVALS);
	}

}
