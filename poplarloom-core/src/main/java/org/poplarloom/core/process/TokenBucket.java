package org.poplarloom.core.process;

/**
 * A token bucket: limits a rate and allows bursts up to a fixed size.
 * <p>
 * The level never exceeds the burst size. A charge larger than the burst size is admitted
 * when the bucket is full; it makes the level negative, and nothing more is admitted
 * until the level covers it again. This class is not thread-safe.
 */
public final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1000.0;

	private double ratePerSecond;

	private double burst;

	private double level;

	private long updatedMillis;

	private TokenBucket(double ratePerSecond, double burst, long nowMillis) {
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.level = burst;
		this.updatedMillis = nowMillis;
	}

	/**
	 * Returns a full bucket.
	 * @param ratePerSecond the units added per second
	 * @param burst the maximum level in units
	 * @param nowMillis the time in milliseconds
	 * @return the bucket
	 */
	public static TokenBucket of(double ratePerSecond, double burst, long nowMillis) {
		return new TokenBucket(ratePerSecond, burst, nowMillis);
	}

	/**
	 * Changes the rate and the burst size from now on.
	 * @param newRatePerSecond the units added per second
	 * @param newBurst the maximum level in units
	 * @param nowMillis the time in milliseconds
	 */
	public void setRate(double newRatePerSecond, double newBurst, long nowMillis) {
		refill(nowMillis);
		this.ratePerSecond = newRatePerSecond;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	/**
	 * Acquires units if the level covers them or the bucket is full.
	 * @param units the units to acquire
	 * @param nowMillis the time in milliseconds
	 * @return true if the units were acquired
	 */
	public boolean tryAcquire(double units, long nowMillis) {
		refill(nowMillis);
		boolean isCovered = this.level >= units;
		boolean isFull = this.level >= this.burst;
		if (!isCovered && !isFull) {
			return false;
		}
		this.level -= units;
		return true;
	}

	/**
	 * Returns acquired units that were not used.
	 * @param units the units to add, at most up to the burst size
	 */
	public void refund(double units) {
		this.level = Math.min(this.burst, this.level + units);
	}

	/**
	 * Estimates when the given units can be acquired.
	 * @param units the units
	 * @return milliseconds from the last update, at least 1
	 */
	public long millisUntil(double units) {
		double missing = Math.min(units, this.burst) - this.level;
		return Math.max(1, (long) Math.ceil(missing / this.ratePerSecond * MILLIS_PER_SECOND));
	}

	private void refill(long nowMillis) {
		long elapsed = nowMillis - this.updatedMillis;
		if (elapsed > 0) {
			this.level = Math.min(this.burst, this.level + elapsed * this.ratePerSecond / MILLIS_PER_SECOND);
			this.updatedMillis = nowMillis;
		}
	}

}
