package org.poplarloom.port.relay;

import java.util.List;

/**
 * How one attempt of a request is sent to an endpoint.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the only endpoint that may run the request
 * @param team the team that holds the caller's key, empty if the request needs none
 * @param remainingMillis how long the endpoint may take, in milliseconds
 * @param rank the engine's rank for the request, 0 goes first
 * @param helpers the addresses of engines that read parts of the prompt
 * @param afterEventId the event after which a stream goes on, or
 * {@link RelayRequest#NO_EVENT}
 */
public record Dispatch(String endpoint, String team, long remainingMillis, int rank, List<String> helpers,
		long afterEventId) {

	public Dispatch {
		helpers = List.copyOf(helpers);
	}

}
