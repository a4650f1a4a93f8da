package org.poplarloom.core.request;

/**
 * The latency target of an answer: when the caller expects the first token and how long
 * pauses within the answer may be.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param firstTokenTargetMillis when the first token is due, in milliseconds since the
 * epoch
 * @param firstTokenDeadlineMillis when the client timeout for the first token expires, in
 * milliseconds since the epoch
 * @param maxPauseMillis the longest pause between two events of the answer, in
 * milliseconds, or {@link #NO_PAUSE_LIMIT}
 */
public record LatencyTarget(long firstTokenTargetMillis, long firstTokenDeadlineMillis, long maxPauseMillis) {

	/** The value of {@link #maxPauseMillis()} if there is no limit on pauses. */
	public static final long NO_PAUSE_LIMIT = Long.MAX_VALUE;

	/**
	 * Returns the latency target of a request for which only the deadline is known.
	 * @param deadlineMillis the deadline in milliseconds since the epoch
	 * @return the latency target
	 */
	public static LatencyTarget untilDeadline(long deadlineMillis) {
		return new LatencyTarget(deadlineMillis, deadlineMillis, NO_PAUSE_LIMIT);
	}

	/**
	 * Converts the points in time to another clock.
	 * @param deltaMillis the difference to add to the points in time, in milliseconds
	 * @return the latency target by the other clock
	 */
	public LatencyTarget shifted(long deltaMillis) {
		return new LatencyTarget(this.firstTokenTargetMillis + deltaMillis, this.firstTokenDeadlineMillis + deltaMillis,
				this.maxPauseMillis);
	}

}
