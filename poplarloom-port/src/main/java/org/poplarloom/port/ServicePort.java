package org.poplarloom.port;

import org.reactivestreams.Publisher;

/**
 * A plain service beside the model engines.
 * <p>
 * Implementations are thread-safe.
 */
public interface ServicePort {

	/**
	 * Calls a service once.
	 * @param address the service's host and port
	 * @param call the call
	 * @return the answer, or an error with code {@code endpoint_failed} that says whether
	 * the call was sent
	 */
	Publisher<ServiceAnswer> call(String address, ServiceCall call);

	/**
	 * A call.
	 *
	 * @param path the path and query below the service
	 * @param idempotencyKey the caller's key, empty if there is none
	 * @param contentType the content type of the body
	 * @param body the body
	 */
	record ServiceCall(String path, String idempotencyKey, String contentType, byte[] body) {
	}

	/**
	 * An answer.
	 *
	 * @param status the HTTP status
	 * @param contentType the content type of the body
	 * @param body the body
	 */
	record ServiceAnswer(int status, String contentType, String body) {
	}

}
