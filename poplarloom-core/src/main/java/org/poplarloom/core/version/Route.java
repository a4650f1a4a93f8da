package org.poplarloom.core.version;

import java.util.List;

/**
 * Where the requests for a host and path prefix go, and what may be done with them.
 * <p>
 * The prefix begins and ends with a slash and there is at least one target. This class is
 * immutable and thread-safe.
 *
 * @param name the name of the route
 * @param host the host that callers name
 * @param pathPrefix the start of the paths
 * @param targets the services that share the requests
 * @param repetition what may be sent more than once
 * @param isStream whether the answer is a series of events
 * @param timeoutMillis the longest time to a final answer, in milliseconds
 * @param targetMillis the time within which the answer, or its first event, is wanted, in
 * milliseconds
 * @param pauseMillis the longest pause wanted between two events, in milliseconds
 * @param attempts the most endpoints that one request may be sent to
 * @param priority the rank, 0 is the highest
 * @param isPublic whether callers need no key
 */
public record Route(String name, String host, String pathPrefix, List<Target> targets, Repetition repetition,
		boolean isStream, long timeoutMillis, long targetMillis, long pauseMillis, int attempts, int priority,
		boolean isPublic) {

	/** A caller that waits for an event stops after at least this many milliseconds. */
	private static final long SHORTEST_PATIENCE_MILLIS = 2_000;

	private static final int TARGETS_UNTIL_IMPATIENT = 4;

	private static final int PAUSES_UNTIL_IMPATIENT = 8;

	public Route {
		targets = List.copyOf(targets);
	}

	/**
	 * Says whether a request may be run more than once.
	 * @return true unless a repetition would have an effect of its own
	 */
	public boolean isRepeatable() {
		return this.repetition != Repetition.NEVER;
	}

	/**
	 * Returns how long a caller waits for the first or the next event.
	 * @return milliseconds; the time-out if the answer is no stream
	 */
	public long patienceMillis() {
		if (!this.isStream) {
			return this.timeoutMillis;
		}
		long byTarget = TARGETS_UNTIL_IMPATIENT * this.targetMillis;
		long byPause = PAUSES_UNTIL_IMPATIENT * this.pauseMillis;
		return Math.min(this.timeoutMillis, Math.max(SHORTEST_PATIENCE_MILLIS, Math.max(byTarget, byPause)));
	}

	/**
	 * Chooses the service for a request by the targets' weights.
	 * @param hash the same for all attempts of the request
	 * @return the name of the service
	 */
	public String service(int hash) {
		int total = this.targets.stream().mapToInt(Target::weight).sum();
		int place = (total > 0) ? Math.floorMod(hash, total) : 0;
		for (Target target : this.targets) {
			place -= target.weight();
			if (place < 0) {
				return target.service();
			}
		}
		return this.targets.get(0).service();
	}

	/**
	 * What may be sent more than once.
	 */
	public enum Repetition {

		/** A request that may have run is not sent again. */
		NEVER,
		/** The whole request may be sent again. */
		WHOLE,
		/** The request may also be sent to go on after the last event. */
		RESUME

	}

	/**
	 * A service that gets a part of the requests.
	 *
	 * @param service the name of the service
	 * @param weight its part, in proportion to the other weights
	 */
	public record Target(String service, int weight) {
	}

}
