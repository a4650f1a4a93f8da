package org.poplarloom.core.request;

/**
 * The latency target of an answer: when the caller expects the first token and how long
 * pauses within the answer may be.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param targetMillis when the first token is due, in milliseconds since the epoch
 * @param latestMillis when the client timeout for the first token expires, in
 * milliseconds since the epoch
 * @param pauseMillis the longest pause between two events of the answer, in milliseconds,
 * or {@link #ANY_PAUSE}
 */
public record AnswerPace(long targetMillis, long latestMillis, long pauseMillis) {

	/** The value of {@link #pauseMillis()} if there is no limit on pauses. */
	public static final long ANY_PAUSE = Long.MAX_VALUE;

	/**
	 * Returns the latency target of a request for which only the deadline is known.
	 * @param deadlineMillis the deadline in milliseconds since the epoch
	 * @return the latency target
	 */
	public static AnswerPace untilDeadline(long deadlineMillis) {
		return new AnswerPace(deadlineMillis, deadlineMillis, ANY_PAUSE);
	}

	/**
	 * Converts the points in time to another clock.
	 * @param deltaMillis the difference to add to the points in time, in milliseconds
	 * @return the latency target by the other clock
	 */
	public AnswerPace shifted(long deltaMillis) {
		return new AnswerPace(this.targetMillis + deltaMillis, this.latestMillis + deltaMillis, this.pauseMillis);
	}

}
