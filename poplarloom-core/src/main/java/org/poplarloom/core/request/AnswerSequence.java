package org.poplarloom.core.request;

/**
 * Decides which chunks of an answer are delivered to the caller.
 * <p>
 * Chunks of another request or attempt and chunks that were already delivered are
 * dropped; a chunk beyond the next position indicates a gap. Delivered positions only
 * increase. This class is not thread-safe.
 */
public final class AnswerSequence {

	private final String requestId;

	private final int attempt;

	private long nextPosition;

	private boolean isEnded;

	private AnswerSequence(String requestId, int attempt, long nextPosition) {
		this.requestId = requestId;
		this.attempt = attempt;
		this.nextPosition = nextPosition;
	}

	/**
	 * Returns a sequence that continues where earlier attempts ended.
	 * @param requestId the request
	 * @param attempt the attempt
	 * @param delivered the number of tokens that earlier attempts delivered
	 * @return the sequence
	 */
	public static AnswerSequence of(String requestId, int attempt, long delivered) {
		return new AnswerSequence(requestId, attempt, delivered);
	}

	/**
	 * Decides what to do with a chunk that arrived.
	 * @param chunk the chunk
	 * @return what to do with it
	 */
	public Verdict accept(AnswerChunk chunk) {
		boolean isOtherAttempt = !chunk.requestId().equals(this.requestId) || chunk.attempt() != this.attempt;
		if (isOtherAttempt || this.isEnded || chunk.position() < this.nextPosition) {
			return Verdict.DROP;
		}
		if (chunk.position() > this.nextPosition) {
			return Verdict.GAP;
		}
		this.nextPosition += chunk.tokens();
		this.isEnded = chunk.isLast();
		return Verdict.DELIVER;
	}

	/**
	 * Returns the position that the next chunk must have.
	 * @return a number of tokens
	 */
	public long nextPosition() {
		return this.nextPosition;
	}

	/**
	 * Returns whether the last chunk was delivered.
	 * @return true if the answer is complete
	 */
	public boolean isEnded() {
		return this.isEnded;
	}

	/**
	 * What to do with a chunk.
	 */
	public enum Verdict {

		/** Send the chunk to the caller. */
		DELIVER,
		/** Ignore the chunk. */
		DROP,
		/** Chunks are missing before this one. */
		GAP

	}

}
