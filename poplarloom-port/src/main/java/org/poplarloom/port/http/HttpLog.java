package org.poplarloom.port.http;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.MediaType;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Documents;
import org.poplarloom.port.LogPort;

/**
 * Reads and writes the platform's log over HTTP.
 * <p>
 * This class is immutable and thread-safe.
 */
public final class HttpLog implements LogPort {

	private static final Duration TIMEOUT = Duration.ofMillis(2_000);

	private final PlatformClient client;

	private final String address;

	public HttpLog(PlatformClient client, String address) {
		this.client = client;
		this.address = address;
	}

	@Override
	public Publisher<Long> append(String stream, List<String> records) {
		HttpRequest<byte[]> request = HttpRequest
			.POST(recordsUri(stream, ""), Documents.write(new Batch(records)).getBytes(StandardCharsets.UTF_8))
			.contentType(MediaType.APPLICATION_JSON_TYPE);
		return this.client.exchange(request)
			.timeout(TIMEOUT)
			.map((response) -> new String(response.body(), StandardCharsets.UTF_8))
			.map((body) -> Documents.read(body, Appended.class).offset())
			.onErrorMap(HttpLog::unavailable);
	}

	@Override
	public Publisher<Page> read(String stream, long from, long waitMillis) {
		URI uri = recordsUri(stream, "?from=" + from + "&waitMillis=" + waitMillis);
		return this.client.getJson(uri, Page.class, TIMEOUT.plusMillis(waitMillis)).onErrorMap(HttpLog::unavailable);
	}

	@Override
	public Publisher<List<String>> streamNames(String prefix) {
		URI uri = PlatformClient.uri(this.address,
				"/streams?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8));
		Mono<String[]> names = this.client.getJson(uri, String[].class, TIMEOUT);
		return names.map(Arrays::asList).onErrorMap(HttpLog::unavailable);
	}

	private URI recordsUri(String stream, String query) {
		return PlatformClient.uri(this.address, "/streams/" + stream + "/records" + query);
	}

	private static PoplarloomException unavailable(Throwable cause) {
		return new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, Executed.UNKNOWN, "log: " + cause.getMessage());
	}

	/**
	 * The JSON form of an append.
	 *
	 * @param records the records
	 */
	record Batch(List<String> records) {
	}

	/**
	 * The JSON form of the response to an append.
	 *
	 * @param offset the offset of the first appended record
	 */
	record Appended(long offset) {
	}

}
