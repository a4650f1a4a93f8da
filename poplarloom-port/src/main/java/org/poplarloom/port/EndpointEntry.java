package org.poplarloom.port;

import org.poplarloom.core.EndpointId;

/**
 * The entry that an endpoint last published about itself in a platform table.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param service the name of the service that it belongs to
 * @param address the host and port
 * @param zone the availability zone
 * @param slots the number of requests that it runs concurrently
 * @param isDraining whether it is draining: it takes no new requests and will stop
 * @param coldMillis how long it will still be slow after its start, in milliseconds, 0
 * once it has warmed up
 * @param lifetime a number that identifies one run of its process, different after each
 * start
 * @param sequence the number of the entry, which rises during a lifetime, 0 if unknown
 */
public record EndpointEntry(EndpointId endpoint, String service, String address, String zone, int slots,
		boolean isDraining, long coldMillis, long lifetime, long sequence) {
}
