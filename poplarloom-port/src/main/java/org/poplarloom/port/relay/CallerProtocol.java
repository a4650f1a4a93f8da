package org.poplarloom.port.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * How callers write their requests.
 * <p>
 * Implementations have no state and are thread-safe.
 */
public interface CallerProtocol {

	/**
	 * Reads a request.
	 * @param head the request line and the headers
	 * @param body the whole body
	 * @return the request
	 * @throws org.poplarloom.core.PoplarloomException with every finding, if a header
	 * cannot be read
	 */
	RelayRequest read(HttpRequest head, byte[] body);

	/**
	 * Adds to an answer of the system's own what callers expect there.
	 * @param request the request, null if it could not be read
	 * @param retryAfterMillis when another try may succeed, in milliseconds, 0 if it is
	 * not known
	 * @param headers the headers of the answer
	 */
	void describeRefusal(RelayRequest request, long retryAfterMillis, HttpHeaders headers);

}
