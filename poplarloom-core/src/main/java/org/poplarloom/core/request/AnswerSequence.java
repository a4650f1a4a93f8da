package org.poplarloom.core.request;

/**
 * Decides which pieces of an answer go to the caller.
 * <p>
 * Pieces of another request or attempt and pieces already delivered are dropped; a piece
 * beyond the next position reveals a gap. Delivered positions only grow. This class is
 * not thread-safe.
 */
public final class AnswerSequence {

	private final String requestId;

	private final int attempt;

	private long nextPosition;

	private boolean ended;

	private AnswerSequence(String requestId, int attempt, long nextPosition) {
		this.requestId = requestId;
		this.attempt = attempt;
		this.nextPosition = nextPosition;
	}

	/**
	 * Returns a sequence that goes on where earlier attempts ended.
	 * @param requestId the request
	 * @param attempt the attempt
	 * @param delivered the number of tokens that earlier attempts delivered
	 * @return the sequence
	 */
	public static AnswerSequence of(String requestId, int attempt, long delivered) {
		return new AnswerSequence(requestId, attempt, delivered);
	}

	/**
	 * Decides about the next piece that arrived.
	 * @param piece the piece
	 * @return what to do with it
	 */
	public Verdict accept(AnswerPiece piece) {
		boolean isForeign = !piece.requestId().equals(this.requestId) || piece.attempt() != this.attempt;
		if (isForeign || this.ended || piece.position() < this.nextPosition) {
			return Verdict.DROP;
		}
		if (piece.position() > this.nextPosition) {
			return Verdict.GAP;
		}
		this.nextPosition += piece.tokens();
		this.ended = piece.isLast();
		return Verdict.DELIVER;
	}

	/**
	 * Returns the position that the next piece must have.
	 * @return a number of tokens
	 */
	public long nextPosition() {
		return this.nextPosition;
	}

	/**
	 * Says whether the last piece was delivered.
	 * @return true if the answer is whole
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * What to do with a piece.
	 */
	public enum Verdict {

		/** Send the piece to the caller. */
		DELIVER,
		/** Ignore the piece. */
		DROP,
		/** Pieces are missing before this one. */
		GAP

	}

}
