package org.poplarloom.core.process;

/**
 * Limits the rate at which one home grants an endpoint that is cold.
 * <p>
 * A grant on a cold endpoint may be used for {@link #MAX_START_DELAY_MILLIS} after it was
 * made. With a rate of {@code r} requests per second, the grants of one home bring the
 * endpoint at most {@code 1.25 r + 2} requests in any second. A home that may not be the
 * only one has a share of the rate, so that a home and the one that replaces it bring at
 * most {@code 1.5 r + 3}. Grants made while the endpoint is warm count too: it may become
 * cold at any moment. An endpoint whose rate is 0 is not limited. This class is not
 * thread-safe; the home's lock guards it.
 */
final class ColdRequestLimit {

	/** Time within which a request must be sent to the cold endpoint granted to it. */
	static final long MAX_START_DELAY_MILLIS = 250;

	/** Grants that may be made at once, as queues are dispatched periodically. */
	private static final double BURST = 2;

	private static final double SHARED_BURST = 1;

	/** Fraction of the rate that is used while there may be another home. */
	private static final double SHARED_FRACTION = 0.2;

	/** Time that grants on a warm endpoint count if it becomes cold. */
	private static final long MEMORY_MILLIS = 1_000 + MAX_START_DELAY_MILLIS;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

	private EndpointReport.ColdPeriod period;

	private double level;

	private long updatedMillis;

	private long lastGrantMillis = NEVER_MILLIS;

	private long sharedUntilMillis;

	private long presumedEndMillis = NEVER_MILLIS;

	/**
	 * Creates the limit for an endpoint that is new to the home.
	 * @param period when the endpoint is cold and its rate while it is
	 * @param sharedUntilMillis the time until which there may be another home, in
	 * milliseconds since the epoch; until then nothing is known of that home's grants, so
	 * the limit starts with nothing to grant
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	ColdRequestLimit(EndpointReport.ColdPeriod period, long sharedUntilMillis, long nowMillis) {
		this.period = period;
		this.sharedUntilMillis = sharedUntilMillis;
		this.updatedMillis = nowMillis;
		this.level = (nowMillis < sharedUntilMillis) ? 0 : BURST;
	}

	void setPeriod(EndpointReport.ColdPeriod newPeriod, long nowMillis) {
		refill(nowMillis);
		this.period = newPeriod;
	}

	void shareUntil(long newSharedUntilMillis, long nowMillis) {
		refill(nowMillis);
		this.sharedUntilMillis = Math.max(this.sharedUntilMillis, newSharedUntilMillis);
		refill(nowMillis);
	}

	/**
	 * Treats the endpoint as cold for a time, as it may be without having reported it.
	 * @param newPresumedEndMillis the end of that time in milliseconds since the epoch
	 */
	void presumeColdUntil(long newPresumedEndMillis) {
		this.presumedEndMillis = newPresumedEndMillis;
	}

	boolean isCold(long nowMillis) {
		return this.period.requestsPerSecond() > 0 && nowMillis < endMillis();
	}

	private long endMillis() {
		return Math.max(this.period.endMillis(), this.presumedEndMillis);
	}

	/**
	 * Returns how many requests may be granted now.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the number, below 1 if none may be; infinite if the endpoint is not cold
	 */
	double available(long nowMillis) {
		refill(nowMillis);
		return isCold(nowMillis) ? this.level : Double.POSITIVE_INFINITY;
	}

	boolean admits(long nowMillis) {
		return available(nowMillis) >= 1;
	}

	/**
	 * Returns the rate of grants.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return requests per second, infinite if the endpoint is not cold
	 */
	double requestsPerSecond(long nowMillis) {
		if (!isCold(nowMillis)) {
			return Double.POSITIVE_INFINITY;
		}
		return this.period.requestsPerSecond() * ((nowMillis < this.sharedUntilMillis) ? SHARED_FRACTION : 1);
	}

	/**
	 * Returns how long the endpoint will be cold.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return milliseconds, 0 if it is not cold
	 */
	long remainingMillis(long nowMillis) {
		return isCold(nowMillis) ? endMillis() - nowMillis : 0;
	}

	/**
	 * Returns when a request was last granted on the endpoint, if it is cold.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return milliseconds since the epoch, far in the past if there was none or the
	 * endpoint is not cold
	 */
	long lastColdGrantMillis(long nowMillis) {
		return isCold(nowMillis) ? this.lastGrantMillis : NEVER_MILLIS;
	}

	void recordGrant(long nowMillis) {
		refill(nowMillis);
		this.lastGrantMillis = nowMillis;
		double lowest = -MEMORY_MILLIS * this.period.requestsPerSecond() / MILLIS_PER_SECOND;
		this.level = Math.max(Math.min(this.level, lowest), this.level - 1);
	}

	private void refill(long nowMillis) {
		if (nowMillis > this.updatedMillis) {
			long sharedMillis = Math.max(0, Math.min(nowMillis, this.sharedUntilMillis) - this.updatedMillis);
			long soleMillis = nowMillis - this.updatedMillis - sharedMillis;
			this.level += (sharedMillis * SHARED_FRACTION + soleMillis) * this.period.requestsPerSecond()
					/ MILLIS_PER_SECOND;
			this.updatedMillis = nowMillis;
		}
		this.level = Math.min(this.level, (nowMillis < this.sharedUntilMillis) ? SHARED_BURST : BURST);
	}

}
