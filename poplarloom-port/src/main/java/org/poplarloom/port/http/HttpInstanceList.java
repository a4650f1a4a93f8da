package org.poplarloom.port.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.version.Documents;
import org.poplarloom.port.InstanceListPort;

/**
 * Reads the instance list over HTTP.
 * <p>
 * The list is transferred only if its entity tag has changed since the last call. This
 * class is thread-safe.
 */
public final class HttpInstanceList implements InstanceListPort {

	private static final Duration TIMEOUT = Duration.ofMillis(2_000);

	private final PlatformClient client;

	private final String address;

	private volatile String lastEntityTag = "";

	public HttpInstanceList(PlatformClient client, String address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public Publisher<List<ListedInstance>> list(AvailabilityZone zone) {
		HttpRequest<?> request = HttpRequest.GET(PlatformClient.uri(this.address, "/instances?zone=" + zone))
			.header("If-None-Match", this.lastEntityTag);
		return this.client.exchange(request).timeout(TIMEOUT).flatMap(this::read);
	}

	private Mono<List<ListedInstance>> read(HttpResponse<byte[]> response) {
		if (response.code() == HttpStatus.NOT_MODIFIED.getCode()) {
			return Mono.empty();
		}
		String body = new String(response.body(), StandardCharsets.UTF_8);
		List<ListedInstance> instances = Documents.read(body, Listing.class).instances();
		String entityTag = response.getHeaders().get("ETag");
		this.lastEntityTag = (entityTag != null) ? entityTag : "";
		return Mono.just(instances);
	}

	/**
	 * The JSON form of the list.
	 *
	 * @param instances the instances
	 */
	record Listing(List<ListedInstance> instances) {
	}

}
