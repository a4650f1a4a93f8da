package org.poplarloom.core.request;

/**
 * One piece of an answer as an endpoint sent it.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param requestId the request that the piece answers
 * @param attempt the attempt that produced it
 * @param position the number of tokens before the piece
 * @param tokens the number of tokens in the piece
 * @param text the text
 * @param finishReason why the answer ended, or null if it goes on
 */
public record AnswerPiece(String requestId, int attempt, long position, int tokens, String text, String finishReason) {

	/**
	 * Says whether the piece ends the answer.
	 * @return true if there is a finish reason
	 */
	public boolean isLast() {
		return this.finishReason != null;
	}

}
