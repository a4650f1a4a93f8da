package org.poplarloom.port.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * How endpoints are called and what their answers say.
 * <p>
 * Implementations have no state and are thread-safe.
 */
public interface EndpointProtocol {

	/**
	 * Writes a request for an endpoint.
	 * @param request the caller's request
	 * @param dispatch how it is sent
	 * @return the request, ready to be written
	 */
	FullHttpRequest write(RelayRequest request, Dispatch dispatch);

	/**
	 * Says what the head of an answer means.
	 * @param request the caller's request
	 * @param head the status line and the headers
	 * @return the meaning
	 */
	Reply read(RelayRequest request, HttpResponse head);

	/**
	 * Finds which endpoint is at fault when a request was not run.
	 * @param head the status line and the headers
	 * @return its name or address, empty if none is named
	 */
	String faultyEndpoint(HttpResponse head);

	/**
	 * What the head of an answer means.
	 */
	enum Reply {

		/** The endpoint ran the request and this is its answer. */
		ANSWER,
		/** The endpoint ran the request and failed. */
		FAILED,
		/** The endpoint did not run the request. */
		NOT_EXECUTED,
		/** Another endpoint has the address; the request was not run. */
		MISDIRECTED,
		/** The answer belongs to another request; the right one may follow. */
		FOREIGN,
		/** The answer does not prove that an endpoint made it. */
		UNPROVEN

	}

}
