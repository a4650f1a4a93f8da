package org.poplarloom.port.relay;

/**
 * What a response says about its endpoint.
 *
 * @param isLeaving whether the endpoint is about to end and wants no new requests
 * @param backOffMillis how long the endpoint wants no requests from this instance, in
 * milliseconds, 0 if the response says nothing about it
 */
public record EndpointNotice(boolean isLeaving, long backOffMillis) {

	public EndpointNotice {
		if (backOffMillis < 0) {
			throw new IllegalArgumentException("back-off must not be negative, but was " + backOffMillis);
		}
	}

}
