package org.poplarloom.core.request;

/**
 * A chunk of a streamed answer as an endpoint sent it.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param requestId the request that the chunk answers
 * @param attempt the attempt that produced it
 * @param position the number of tokens before the chunk
 * @param tokens the number of tokens in the chunk
 * @param text the text
 * @param finishReason why the answer ended, or null if more chunks follow
 */
public record AnswerChunk(String requestId, int attempt, long position, int tokens, String text, String finishReason) {

	/**
	 * Returns whether the chunk ends the answer.
	 * @return true if there is a finish reason
	 */
	public boolean isLast() {
		return this.finishReason != null;
	}

}
