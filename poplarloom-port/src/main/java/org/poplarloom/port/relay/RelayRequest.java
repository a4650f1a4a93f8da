package org.poplarloom.port.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request in the project's own terms.
 * <p>
 * The headers and the body are not changed after construction. This class is thread-safe
 * as long as nobody changes them.
 *
 * @param id the caller's identity of this attempt, empty if it named none
 * @param method the HTTP method
 * @param target path and query as sent
 * @param host the host that the caller named
 * @param headers what is passed on unchanged
 * @param body the body, never null
 * @param apiKey the caller's key, empty if it sent none
 * @param patienceMillis how long the caller will wait, in milliseconds, or
 * {@link #NO_DEADLINE}
 * @param promptTokens the length of the prompt in tokens, 0 if there is none
 * @param answerTokens the longest answer in tokens
 * @param lastEventId the last event of a stream that the caller has, or {@link #NO_EVENT}
 */
public record RelayRequest(String id, String method, String target, String host, HttpHeaders headers, byte[] body,
		String apiKey, long patienceMillis, long promptTokens, long answerTokens, long lastEventId) {

	/** Says that the caller named no deadline. */
	public static final long NO_DEADLINE = -1;

	/** Says that the caller has no event. */
	public static final long NO_EVENT = -1;

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
