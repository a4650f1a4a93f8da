package org.poplarloom.core.request;

/**
 * When a caller expects the first token of an answer and how fast the rest.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param targetMillis when the first token should be there, in milliseconds since the
 * epoch
 * @param latestMillis when the caller stops waiting for the first token, in milliseconds
 * since the epoch
 * @param pauseMillis the longest pause between two events of the answer, in milliseconds,
 * or {@link #ANY_PAUSE}
 */
public record AnswerPace(long targetMillis, long latestMillis, long pauseMillis) {

	/** Says that pauses do not matter. */
	public static final long ANY_PAUSE = Long.MAX_VALUE;

	/**
	 * Returns the pace of a request of which only the deadline is known.
	 * @param deadlineMillis the deadline in milliseconds since the epoch
	 * @return the pace
	 */
	public static AnswerPace untilDeadline(long deadlineMillis) {
		return new AnswerPace(deadlineMillis, deadlineMillis, ANY_PAUSE);
	}

	/**
	 * Returns the pace as a clock that shows another time sees it.
	 * @param deltaMillis what to add to all times, in milliseconds
	 * @return the pace
	 */
	public AnswerPace shifted(long deltaMillis) {
		return new AnswerPace(this.targetMillis + deltaMillis, this.latestMillis + deltaMillis, this.pauseMillis);
	}

}
