package org.poplarloom.port.relay;

import java.util.List;

/**
 * The parameters of one attempt to run a request at an endpoint.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the name of the only endpoint that may run the request
 * @param team the team that owns the caller's key, empty if the request needs no key
 * @param remainingMillis the time left for the endpoint to answer, in milliseconds
 * @param rank the request's rank in the engine's scheduling; 0 is scheduled first
 * @param helpers the engines that prefill parts of the prompt, as
 * {@link EndpointProtocol#formatHelper} formats them
 * @param afterEventId the id of the last event received, after which the stream
 * continues, or {@link RelayRequest#NO_EVENT}
 */
public record Dispatch(String endpoint, String team, long remainingMillis, int rank, List<String> helpers,
		long afterEventId) {

	public Dispatch {
		helpers = List.copyOf(helpers);
	}

}
