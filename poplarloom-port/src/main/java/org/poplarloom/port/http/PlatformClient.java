package org.poplarloom.port.http;

import java.net.URI;
import java.time.Duration;

import io.micronaut.core.io.buffer.ByteBuffer;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.StreamingHttpClient;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.version.Documents;

/**
 * The HTTP client that the implementations of the ports in this package share.
 * <p>
 * Connections are pooled per address. The client has no read timeout; callers limit the
 * time of each request. This class is thread-safe.
 */
public final class PlatformClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);

	private static final int EVENT_LOOP_THREADS = 2;

	/** A page of the log or the list of instances. */
	private static final int MAX_PLATFORM_RESPONSE_BYTES = 64 * 1024 * 1024;

	/** A report of an engine; streams have no such limit. */
	private static final int MAX_ENDPOINT_RESPONSE_BYTES = 8 * 1024 * 1024;

	private final StreamingHttpClient client;

	private PlatformClient(StreamingHttpClient client) {
		this.client = client;
	}

	/**
	 * Creates a client for the platform's own systems, without open connections.
	 * @return the client
	 */
	public static PlatformClient forPlatform() {
		return create(MAX_PLATFORM_RESPONSE_BYTES);
	}

	/**
	 * Creates a client for model engines, without open connections. A response that
	 * exceeds 8 MB fails.
	 * @return the client
	 */
	public static PlatformClient forEndpoints() {
		return create(MAX_ENDPOINT_RESPONSE_BYTES);
	}

	private static PlatformClient create(int maxResponseBytes) {
		DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
		configuration.setConnectTimeout(CONNECT_TIMEOUT);
		configuration.setReadTimeout(null);
		configuration.setReadIdleTimeout(null);
		configuration.setMaxContentLength(maxResponseBytes);
		configuration.setFollowRedirects(false);
		configuration.setNumOfThreads(EVENT_LOOP_THREADS);
		return new PlatformClient(StreamingHttpClient.create(null, configuration));
	}

	static URI uri(String address, String path) {
		return URI.create("http://" + address + path);
	}

	<T> Mono<T> getJson(URI uri, Class<T> type, Duration timeout) {
		return Mono.from(this.client.retrieve(HttpRequest.GET(uri), String.class))
			.timeout(timeout)
			.map((json) -> Documents.read(json, type));
	}

	Mono<HttpResponse<byte[]>> exchange(HttpRequest<?> request) {
		return Mono.from(this.client.exchange(request, byte[].class));
	}

	Flux<byte[]> stream(HttpRequest<?> request) {
		Publisher<ByteBuffer<?>> publisher = this.client.dataStream(request);
		return Flux.from(publisher).map(ByteBuffer::toByteArray);
	}

	@Override
	public void close() {
		this.client.close();
	}

}
