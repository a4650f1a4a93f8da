package org.poplarloom.port.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Encodes requests to endpoints and classifies their responses.
 * <p>
 * Implementations have no state and are thread-safe.
 */
public interface EndpointProtocol {

	/**
	 * Encodes a request to an endpoint.
	 * @param request the caller's request
	 * @param dispatch the parameters of the attempt
	 * @return the HTTP request to send
	 */
	FullHttpRequest write(RelayRequest request, Dispatch dispatch);

	/**
	 * Classifies a response.
	 * @param request the caller's request
	 * @param head the status line and the headers of the response
	 * @param exchangeNumber the number of the exchange on its connection, from 1; from
	 * the second exchange on, a response without an id may be one that was sent before
	 * @return the class of the response
	 */
	Reply classify(RelayRequest request, HttpResponse head, int exchangeNumber);

	/**
	 * Returns what a response says about its endpoint.
	 * @param head the status line and the headers of the response
	 * @return the notice, never null
	 */
	EndpointNotice notice(HttpResponse head);

	/**
	 * Returns whether a response may be the reply to a command or a status request.
	 * @param head the status line and the headers of the response
	 * @return false if it is the answer to a caller's request
	 */
	boolean isCommandReply(HttpResponse head);

	/**
	 * Encodes a command that reserves memory or renews the lease of a reservation.
	 * @param address the endpoint's host and port
	 * @param reservationId the id of the reservation
	 * @param tokens the size of the memory in tokens
	 * @param leaseMillis the duration of the lease in milliseconds
	 * @return the HTTP request to send
	 */
	FullHttpRequest writeReservation(String address, String reservationId, long tokens, long leaseMillis);

	/**
	 * Encodes a command that releases a reservation.
	 * @param address the endpoint's host and port
	 * @param reservationId the id of the reservation
	 * @return the HTTP request to send
	 */
	FullHttpRequest writeRelease(String address, String reservationId);

	/**
	 * Encodes a request that an endpoint answers at once while its process runs, whatever
	 * its load.
	 * @param address the endpoint's host and port
	 * @return the HTTP request to send
	 */
	FullHttpRequest writeStatusRequest(String address);

	/**
	 * Returns the boot ID of the process that sent a status.
	 * @param status the body of the reply to a status request
	 * @return the boot ID, as in the endpoint's published entry, empty if the status
	 * names none
	 */
	String bootId(byte[] status);

	/**
	 * Formats a helper for {@link Dispatch#helpers()}.
	 * @param address the helper's host and port
	 * @param reservationId the id of the reservation at the helper, empty for none
	 * @return the text
	 */
	String formatHelper(String address, String reservationId);

	/**
	 * Returns the endpoint that a response names as the cause why a request was not run.
	 * @param head the status line and the headers of the response
	 * @return the name or address of the endpoint, empty if the response names none
	 */
	String faultyEndpoint(HttpResponse head);

	/**
	 * The classes of responses.
	 */
	enum Reply {

		/** The endpoint ran the request and this is the answer. */
		ANSWER,
		/** The endpoint ran the request and failed. */
		FAILED,
		/** The endpoint did not run the request. */
		NOT_EXECUTED,
		/** Another endpoint now has the address; the request was not run. */
		MISDIRECTED,
		/** The response belongs to another request; the expected one may follow. */
		OTHER_REQUEST,
		/** The response does not prove that it comes from an endpoint. */
		UNVERIFIED

	}

}
