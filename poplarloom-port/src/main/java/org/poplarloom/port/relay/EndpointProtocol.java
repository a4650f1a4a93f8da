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
	 * Writes an order that sets memory aside or prolongs its lease.
	 * @param address the endpoint's host and port
	 * @param ticket the name of the reservation
	 * @param tokens the memory in tokens
	 * @param leaseMillis how long the memory stays set aside, in milliseconds
	 * @return the order, ready to be written
	 */
	FullHttpRequest writeReservation(String address, String ticket, long tokens, long leaseMillis);

	/**
	 * Writes an order that ends a reservation.
	 * @param address the endpoint's host and port
	 * @param ticket the name of the reservation
	 * @return the order, ready to be written
	 */
	FullHttpRequest writeRelease(String address, String ticket);

	/**
	 * Writes the place of a helper for {@link Dispatch#helpers()}.
	 * @param address the helper's host and port
	 * @param ticket the name of the reservation, empty if there is none
	 * @return the text
	 */
	String helper(String address, String ticket);

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
