package org.poplarloom.platform.http;

import java.time.Duration;
import java.util.List;

import org.reactivestreams.Publisher;

import org.poplarloom.platform.port.InstanceListPort;

/**
 * Reads the instance list over HTTP.
 * <p>
 * This class is immutable and thread-safe.
 */
public final class HttpInstanceList implements InstanceListPort {

	private static final Duration TIMEOUT = Duration.ofMillis(2_000);

	private final PlatformClient client;

	private final String address;

	public HttpInstanceList(PlatformClient client, String address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public Publisher<List<Listed>> list() {
		return this.client.getJson(PlatformClient.uri(this.address, "/instances"), Listing.class, TIMEOUT)
			.map(Listing::instances);
	}

	/**
	 * The whole list.
	 *
	 * @param instances the instances
	 */
	record Listing(List<Listed> instances) {
	}

}
