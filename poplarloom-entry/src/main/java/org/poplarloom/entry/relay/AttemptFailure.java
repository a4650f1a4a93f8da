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
 * @param isConnectionLost whether the connection ended before the answer
 * @param answer the endpoint's own failure, or null
 * @param body the body of that failure, or null
 * @param faulty the endpoint that caused the failure if it is known and another one, or
 * null
 */
record AttemptFailure(String cause, boolean mayHaveRun, boolean isConnectionLost, HttpResponse answer, byte[] body,
		EndpointId faulty) {

	static AttemptFailure notRun(String cause, EndpointId faulty) {
		return new AttemptFailure(cause, false, false, null, null, faulty);
	}

	static AttemptFailure unknown(String cause, boolean isConnectionLost) {
		return new AttemptFailure(cause, true, isConnectionLost, null, null, null);
	}

	static AttemptFailure answered(HttpResponse answer, byte[] body) {
		return new AttemptFailure("status " + answer.status().code(), true, false, answer, body, null);
	}

}
