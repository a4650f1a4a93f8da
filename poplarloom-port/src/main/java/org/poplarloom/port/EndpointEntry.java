package org.poplarloom.port;

import org.poplarloom.core.EndpointId;

/**
 * What an endpoint last wrote about itself on the platform.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param service the service that it belongs to
 * @param address the host and port
 * @param zone the availability zone
 * @param slots the requests that it runs together
 * @param isLeaving whether it is about to stop
 * @param coldMillis how long it will stay slow after its start, in milliseconds
 * @param lifetime changes with every start
 */
public record EndpointEntry(EndpointId endpoint, String service, String address, String zone, int slots,
		boolean isLeaving, long coldMillis, long lifetime) {
}
