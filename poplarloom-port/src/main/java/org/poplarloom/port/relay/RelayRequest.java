package org.poplarloom.port.relay;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request, decoded from its HTTP form.
 * <p>
 * The headers and the body must not be changed after construction; under this condition
 * this class is thread-safe.
 *
 * @param id the id that the caller gave this attempt, empty if it sent none
 * @param method the HTTP method
 * @param target the path and query as the caller sent them
 * @param host the host that the caller named
 * @param headers the headers as the caller sent them
 * @param body the body, never null
 * @param apiKey the caller's API key, empty if it sent none
 * @param clientTimeoutMillis how long the caller waits for the answer, in milliseconds,
 * or {@link #NO_CLIENT_TIMEOUT}
 * @param promptTokens the length of the prompt in tokens, 0 if there is no prompt
 * @param answerTokens the maximum length of the answer in tokens
 * @param lastEventId the id of the last event of a stream that the caller has received,
 * or {@link #NO_EVENT}
 * @param sharedParts the parts of the prompt that other requests may contain too, in
 * order, without repetitions, usually few
 */
public record RelayRequest(String id, String method, String target, String host, HttpHeaders headers, byte[] body,
		String apiKey, long clientTimeoutMillis, long promptTokens, long answerTokens, long lastEventId,
		List<String> sharedParts) {

	public RelayRequest {
		sharedParts = List.copyOf(sharedParts);
	}

	/** The timeout of a caller that sent none. */
	public static final long NO_CLIENT_TIMEOUT = -1;

	/** The last event id of a caller that has received no event. */
	public static final long NO_EVENT = -1;

	/**
	 * Returns this request for an instance that continues it.
	 * @param remainingMillis how long the caller still waits, in milliseconds
	 * @param receivedEventId the id of the last event that the caller has received, or
	 * {@link #NO_EVENT}
	 * @return the request
	 */
	public RelayRequest resumed(long remainingMillis, long receivedEventId) {
		return new RelayRequest(this.id, this.method, this.target, this.host, this.headers, this.body, this.apiKey,
				Math.max(0, remainingMillis), this.promptTokens, this.answerTokens, receivedEventId, this.sharedParts);
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
