package org.poplarloom.core.process;

/**
 * Limits a rate, allowing bursts up to a fixed size.
 * <p>
 * The level never exceeds the burst size. It may fall below zero when a charge is larger
 * than the level, and then nothing is admitted until it has recovered. This class is not
 * thread-safe.
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
	 * @param ratePerSecond units added each second
	 * @param burst the most units held
	 * @param nowMillis the time in milliseconds
	 * @return the bucket
	 */
	public static TokenBucket of(double ratePerSecond, double burst, long nowMillis) {
		return new TokenBucket(ratePerSecond, burst, nowMillis);
	}

	/**
	 * Changes the rate and the burst size from now on.
	 * @param newRatePerSecond units added each second
	 * @param newBurst the most units held
	 * @param nowMillis the time in milliseconds
	 */
	public void setRate(double newRatePerSecond, double newBurst, long nowMillis) {
		refill(nowMillis);
		this.ratePerSecond = newRatePerSecond;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	/**
	 * Takes units if the level is above zero and covers them, or is full.
	 * @param units the units to take
	 * @param nowMillis the time in milliseconds
	 * @return true if the units were taken
	 */
	public boolean tryTake(double units, long nowMillis) {
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
	 * Gives back units that were taken and not used.
	 * @param units the units to give back
	 */
	public void giveBack(double units) {
		this.level = Math.min(this.burst, this.level + units);
	}

	/**
	 * Estimates when the given units can be taken.
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
