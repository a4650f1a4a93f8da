package org.poplarloom.core.admission;

/**
 * Measures how fast a queue is served: the expected engine time of the requests that are
 * granted while others wait, for each endpoint.
 * <p>
 * Since the requests ahead of another are counted in the same expected engine time,
 * errors of the estimates cancel out. The rate is an exponentially decaying average over
 * the time in which requests wait; without such time, and some seconds after it, each
 * endpoint counts as one engine that is always busy. This class is not thread-safe; its
 * home's lock guards it.
 */
final class DrainRate {

	private static final double TIME_CONSTANT_MILLIS = 5_000;

	/** Weight of the assumption that an endpoint serves 1 ms per ms, in milliseconds. */
	private static final double ASSUMED_MILLIS = 200;

	/**
	 * Lower limit in milliseconds of engine time per millisecond, so that a queue that
	 * stands still for a moment does not refuse everything.
	 */
	private static final double MIN_RATE = 0.01;

	/**
	 * A longer time between two calls is one in which the home did not run, in
	 * milliseconds.
	 */
	private static final long MAX_STEP_MILLIS = 500;

	private double grantedMillis;

	private double endpointMillis;

	private long updatedMillis;

	DrainRate(long startMillis) {
		this.updatedMillis = startMillis;
	}

	void startAt(long nowMillis) {
		this.updatedMillis = Math.min(this.updatedMillis, nowMillis);
	}

	/**
	 * Counts the time since the last call.
	 * @param isWaiting whether requests were waiting
	 * @param endpoints the number of endpoints that serve the queue
	 * @param nowMillis the time in milliseconds
	 */
	void advance(boolean isWaiting, int endpoints, long nowMillis) {
		long step = nowMillis - this.updatedMillis;
		if (step <= 0) {
			return;
		}
		this.updatedMillis = nowMillis;
		double counted = isWaiting ? Math.min(step, MAX_STEP_MILLIS) : step;
		double decay = Math.exp(-counted / TIME_CONSTANT_MILLIS);
		this.grantedMillis *= decay;
		this.endpointMillis = this.endpointMillis * decay + (isWaiting ? counted * endpoints : 0);
	}

	void recordGrant(double engineMillis) {
		this.grantedMillis += engineMillis;
	}

	/**
	 * Returns the rate.
	 * @param endpoints the number of endpoints that serve the queue
	 * @return milliseconds of engine time per millisecond, more than 0
	 */
	double rate(int endpoints) {
		double assumed = ASSUMED_MILLIS * Math.max(1, endpoints);
		double perEndpoint = (this.grantedMillis + assumed) / (this.endpointMillis + assumed);
		return Math.max(MIN_RATE, perEndpoint) * Math.max(1, endpoints);
	}

}
