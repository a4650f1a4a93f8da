package org.poplarloom.core.version;

import java.util.List;

/**
 * A route: the services that requests for a host and path prefix are sent to, and how the
 * requests are handled.
 * <p>
 * The prefix begins and ends with a slash and there is at least one target. This class is
 * immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host name in the requests
 * @param pathPrefix the prefix of the request paths
 * @param targets the services that share the requests
 * @param retryMode whether and how a request may be sent again
 * @param isStream whether the answer is a stream of events
 * @param timeoutMillis the maximum time to the complete answer, in milliseconds
 * @param latencyTargetMillis the latency target of the answer, or of its first event, in
 * milliseconds
 * @param maxPauseMillis the target for the longest pause between two events, in
 * milliseconds
 * @param maxAttempts the maximum number of endpoints that one request may be sent to
 * @param priority the priority; 0 is the highest
 * @param isPublic whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, List<Target> targets, RetryMode retryMode,
		boolean isStream, long timeoutMillis, long latencyTargetMillis, long maxPauseMillis, int maxAttempts,
		int priority, boolean isPublic) {

	/** Minimum time that a caller waits for an event, in milliseconds. */
	private static final long MIN_CLIENT_TIMEOUT_MILLIS = 2_000;

	private static final int TARGETS_PER_CLIENT_TIMEOUT = 4;

	private static final int PAUSES_PER_CLIENT_TIMEOUT = 8;

	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Returns whether a request that may have run can be sent again.
	 * @return true unless a repeated request would have an effect of its own
	 */
	public boolean isRepeatable() {
		return this.retryMode != RetryMode.NEVER;
	}

	/**
	 * Returns the client timeout: how long a caller waits for the first or the next
	 * event.
	 * @return milliseconds; the timeout of the route if the answer is not a stream
	 */
	public long clientTimeoutMillis() {
		if (!this.isStream) {
			return this.timeoutMillis;
		}
		long timeoutByTarget = TARGETS_PER_CLIENT_TIMEOUT * this.latencyTargetMillis;
		long timeoutByPause = PAUSES_PER_CLIENT_TIMEOUT * this.maxPauseMillis;
		return Math.min(this.timeoutMillis,
				Math.max(MIN_CLIENT_TIMEOUT_MILLIS, Math.max(timeoutByTarget, timeoutByPause)));
	}

	/**
	 * Selects the service for a request in proportion to the targets' weights.
	 * @param hash a hash that is the same for all attempts of the request
	 * @return the name of the service
	 */
	public String service(int hash) {
		int totalWeight = this.targets.stream().mapToInt(Target::weight).sum();
		int remaining = (totalWeight > 0) ? Math.floorMod(hash, totalWeight) : 0;
		for (Target target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.service();
			}
		}
		return this.targets.get(0).service();
	}

	/**
	 * Whether and how a request may be sent again.
	 */
	public enum RetryMode {

		/** A request that may have run is not sent again. */
		NEVER,
		/** The request may be sent again from the start. */
		RESTART,
		/** The request may also be sent again to resume after the last event. */
		RESUME

	}

	/**
	 * A service that receives a share of the requests.
	 *
	 * @param service the name of the service
	 * @param weight its share, in proportion to the other weights
	 */
	public record Target(String service, int weight) {
	}

}
