package org.poplarloom.entry.relay;

import java.util.Set;

import org.poplarloom.core.EndpointId;

/**
 * What an instance says about a request that it forwards.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param key identifies the forwarding, unique in the system
 * @param maxAttempts how many endpoints may still receive the request
 * @param excluded endpoints that have failed it
 */
record ForwardedOrigin(String key, int maxAttempts, Set<EndpointId> excluded) {

	ForwardedOrigin {
		excluded = Set.copyOf(excluded);
	}

}
