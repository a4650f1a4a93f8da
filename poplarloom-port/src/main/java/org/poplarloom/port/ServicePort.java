package org.poplarloom.port;

import org.reactivestreams.Publisher;

/**
 * Access to plain services, which are the services other than model engines.
 * <p>
 * Implementations are thread-safe.
 */
public interface ServicePort {

	/**
	 * Calls a service, without any retry.
	 * @param address the service's host and port
	 * @param call the call
	 * @return the answer, or an error with code {@code endpoint_failed} that tells
	 * whether the service may have executed the call
	 */
	Publisher<ServiceAnswer> call(String address, ServiceCall call);

	/**
	 * A call of a service.
	 *
	 * @param path the path and query below the service
	 * @param idempotencyKey the idempotency key that the caller sent, empty for none
	 * @param contentType the content type of the body
	 * @param body the body
	 */
	record ServiceCall(String path, String idempotencyKey, String contentType, byte[] body) {
	}

	/**
	 * The answer of a service.
	 *
	 * @param status the HTTP status
	 * @param contentType the content type of the body
	 * @param body the body
	 */
	record ServiceAnswer(int status, String contentType, String body) {
	}

}
