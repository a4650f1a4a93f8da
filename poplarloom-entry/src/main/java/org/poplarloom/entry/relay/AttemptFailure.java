package org.poplarloom.entry.relay;

import io.netty.handler.codec.http.HttpResponse;

import org.poplarloom.core.EndpointId;

/**
 * Why an attempt ended without an answer for the caller.
 * <p>
 * This class is immutable and thread-safe as long as nobody changes the body.
 *
 * @param cause the reason
 * @param mayHaveRun whether the endpoint may have run the request
 * @param reception whether the endpoint that was granted may have received the request
 * @param isConnectionLost whether the connection was lost before the answer was complete
 * @param answer the status and headers of the endpoint's error response, or null
 * @param body the body of that response, or null
 * @param faultyEndpoint the helper that caused the failure, or null if it was the
 * answering endpoint or is unknown
 */
record AttemptFailure(String cause, boolean mayHaveRun, Reception reception, boolean isConnectionLost,
		HttpResponse answer, byte[] body, EndpointId faultyEndpoint) {

	static AttemptFailure notExecuted(String cause, EndpointId faultyEndpoint) {
		return new AttemptFailure(cause, false, Reception.RECEIVED, false, null, null, faultyEndpoint);
	}

	static AttemptFailure notReceived(String cause) {
		return new AttemptFailure(cause, false, Reception.NOT_RECEIVED, false, null, null, null);
	}

	static AttemptFailure unreachable(String cause, boolean isTimeout) {
		return new AttemptFailure(cause, false, isTimeout ? Reception.TIMED_OUT : Reception.REFUSED, false, null, null,
				null);
	}

	static AttemptFailure executionUnknown(String cause, boolean isConnectionLost) {
		return new AttemptFailure(cause, true, Reception.RECEIVED, isConnectionLost, null, null, null);
	}

	static AttemptFailure endpointError(HttpResponse answer, byte[] body) {
		return new AttemptFailure("status " + answer.status().code(), true, Reception.RECEIVED, false, answer, body,
				null);
	}

	boolean isReceived() {
		return this.reception == Reception.RECEIVED;
	}

	/**
	 * Returns whether no connection to the endpoint could be opened.
	 * @return true if nothing has arrived anywhere
	 */
	boolean isUnreachable() {
		return this.reception == Reception.REFUSED || this.reception == Reception.TIMED_OUT;
	}

	/**
	 * Whether the endpoint that was granted has received the request.
	 */
	enum Reception {

		/** It may have. */
		RECEIVED,
		/** Another endpoint has, or it was not sent. */
		NOT_RECEIVED,
		/** The connection was refused. */
		REFUSED,
		/** Nobody responded while the connection was opened. */
		TIMED_OUT

	}

}
