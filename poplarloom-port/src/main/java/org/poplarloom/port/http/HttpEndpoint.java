package org.poplarloom.port.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.port.EndpointPort;

/**
 * Calls model engines over HTTP.
 * <p>
 * This class is thread-safe.
 */
public final class HttpEndpoint implements EndpointPort {

	private static final Duration TIMEOUT = Duration.ofMillis(1_500);

	/** The end of the stream follows the last event at once, else it is not awaited. */
	private static final Duration MAX_END_DELAY = Duration.ofMillis(500);

	private final PlatformClient client;

	public HttpEndpoint(PlatformClient client) {
		this.client = client;
	}

	@Override
	public Publisher<EndpointReport> report(String address) {
		return this.client.getJson(PlatformClient.uri(address, "/load"), Load.class, TIMEOUT).map(Load::toReport);
	}

	@Override
	public Publisher<EngineEvent> generate(String address, EngineCall call) {
		return Flux.defer(() -> {
			EngineEventParser parser = new EngineEventParser(call.requestId(), call.attempt());
			Sinks.Empty<Void> lastEvent = Sinks.empty();
			return this.client.stream(newRequest(address, "/v1/chat/completions", call))
				.takeWhile((chunk) -> !parser.isEndOverdue())
				.concatMapIterable(parser::addChunk)
				.doOnNext((event) -> {
					if (parser.isEnded()) {
						lastEvent.tryEmitEmpty();
					}
				})
				.takeUntilOther(lastEvent.asMono().then(Mono.delay(MAX_END_DELAY)))
				.onErrorResume(
						(cause) -> parser.isEnded() ? Flux.empty() : Flux.error(toPoplarloomException(cause, call)));
		});
	}

	@Override
	public Publisher<Boolean> prefill(String address, EngineCall call) {
		return this.client.exchange(newRequest(address, "/kv/segments", call))
			.map((response) -> true)
			.onErrorMap((cause) -> toPoplarloomException(cause, call));
	}

	private static HttpRequest<byte[]> newRequest(String address, String path, EngineCall call) {
		MutableHttpRequest<byte[]> request = HttpRequest.POST(PlatformClient.uri(address, path), call.body())
			.contentType(MediaType.APPLICATION_JSON_TYPE)
			.header("X-Request-Id", call.requestId())
			.header("X-Attempt", Integer.toString(call.attempt()))
			.header("X-Priority", Integer.toString(call.priority()))
			.header("X-Fence", Long.toString(call.fencingToken()))
			.header("X-Account", call.account())
			.header("X-Seed", Integer.toString(call.requestId().hashCode()))
			.header("X-Resume-From", Long.toString(call.resumeFrom()));
		if (!call.traceParent().isEmpty()) {
			request.header("traceparent", call.traceParent());
		}
		if (call.segment() != null) {
			request.header("X-Kv-Tokens", Long.toString(call.segment().kvTokens()));
			request.header("X-Kv-Imports", call.segment().imports());
		}
		return request;
	}

	private static Throwable toPoplarloomException(Throwable cause, EngineCall call) {
		if (cause instanceof PoplarloomException) {
			return cause;
		}
		if (cause instanceof HttpClientResponseException response && response.getStatus() == HttpStatus.CONFLICT) {
			return new PoplarloomException(ErrorCode.NOT_HOME,
					"endpoint rejected stale fencing token " + call.fencingToken());
		}
		return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN, "endpoint: " + cause.getMessage());
	}

	@Override
	public Publisher<EngineUsage> usage(String address) {
		return this.client.getJson(PlatformClient.uri(address, "/usage"), EngineUsage.class, TIMEOUT);
	}

	@Override
	public Publisher<Boolean> cancel(String address, String key) {
		HttpRequest<byte[]> request = HttpRequest.POST(PlatformClient.uri(address, "/cancel/" + key), new byte[0]);
		return this.client.exchange(request).timeout(TIMEOUT).map((response) -> true);
	}

	@Override
	public Publisher<Boolean> sendCommand(String address, long fencingToken, String command) {
		HttpRequest<byte[]> request = HttpRequest
			.POST(PlatformClient.uri(address, "/orders"), command.getBytes(StandardCharsets.UTF_8))
			.contentType(MediaType.APPLICATION_JSON_TYPE)
			.header("X-Fence", Long.toString(fencingToken));
		return Flux.from(this.client.exchange(request)).timeout(TIMEOUT).map((response) -> true);
	}

	/**
	 * The JSON form of an engine's load report.
	 */
	record Load(EndpointId endpoint, String bootId, boolean isLeaving, Set<String> models, int slots, long kvTokens,
			double prefillTokensPerSecond, long highestFence, long uptimeMillis, Set<String> handles) {

		EndpointReport toReport() {
			return new EndpointReport(this.endpoint, this.bootId, this.isLeaving, this.models, this.slots,
					this.kvTokens, this.prefillTokensPerSecond, this.highestFence, this.uptimeMillis, this.handles, 0);
		}

	}

}
