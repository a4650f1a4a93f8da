package org.poplarloom.port;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;

/**
 * The entry that an endpoint last published about itself in a platform table.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param service the name of the service that it belongs to
 * @param address the IP address and port
 * @param zone the availability zone
 * @param slots the number of requests that it runs concurrently, from 1 to
 * {@link #MAX_SLOTS}
 * @param isDraining whether it is draining: it takes no new requests and will stop
 * @param coldMillis how long it will still be slow after its start, in milliseconds, 0
 * once it has warmed up
 * @param lifetime a number that identifies one run of its process, different after each
 * start, 0 if unknown
 * @param sequence the number of the entry, which rises during a lifetime, 0 if unknown
 */
public record EndpointEntry(EndpointId endpoint, String service, String address, AvailabilityZone zone, int slots,
		boolean isDraining, long coldMillis, long lifetime, long sequence) {

	/** The slots of all endpoints of a fleet can be summed up in an {@code int}. */
	public static final int MAX_SLOTS = 65_536;

	public EndpointEntry {
		if (slots < 1 || slots > MAX_SLOTS) {
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT,
					"slots must be 1 to " + MAX_SLOTS + ", but was '" + slots + "'");
		}
	}

}
