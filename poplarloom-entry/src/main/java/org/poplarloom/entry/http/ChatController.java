package org.poplarloom.entry.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.request.PromptScanner;
import org.poplarloom.core.request.PromptShape;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.Documents;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.process.Tracing;
import org.poplarloom.entry.request.ChatRequest;
import org.poplarloom.entry.request.ChatService;
import org.poplarloom.entry.request.EntryMetrics;
import org.poplarloom.entry.request.Fingerprint;
import org.poplarloom.port.EndpointPort.EngineEvent;

/**
 * The chat completions interface for callers.
 * <p>
 * A streamed answer ends with a last chunk and {@code [DONE]}, or with an error event.
 * This class is thread-safe.
 */
@Controller("/v1")
final class ChatController {

	private static final String DONE = "[DONE]";

	/**
	 * How long a streamed answer waits for its first chunk before the response status is
	 * sent, so that an earlier failure can still set the status.
	 */
	private static final Duration FIRST_CHUNK_TIMEOUT = Duration.ofSeconds(2);

	/** The interval of the comments that keep an idle stream open. */
	private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(10);

	private static final String KEEP_ALIVE_COMMENT = ": keep-alive\n\n";

	private final Node node;

	private final ChatService chat;

	private final CallerAuthentication authentication;

	private final EntryMetrics metrics;

	ChatController(Node node, ChatService chat, CallerAuthentication authentication, EntryMetrics metrics) {
		this.node = node;
		this.chat = chat;
		this.authentication = authentication;
		this.metrics = metrics;
	}

	@Post("/chat/completions")
	@Consumes(MediaType.ALL)
	@ExecuteOn(TaskExecutors.IO)
	Mono<MutableHttpResponse<?>> complete(HttpRequest<?> http, @Body byte[] body) {
		http.setAttribute(BodyFilter.BODY_RECEIVED, true);
		Contract contract = this.authentication.requireContract(http);
		ChatRequest request = chatRequest(http, contract, body);
		ChatFormat format = new ChatFormat(request, this.node.clock().nowMillis());
		Flux<EngineEvent> answer = this.chat.answer(request);
		return request.shape().isStream() ? stream(answer, format, request) : collect(answer, format, request);
	}

	private ChatRequest chatRequest(HttpRequest<?> http, Contract contract, byte[] body) {
		PromptShape shape = PromptScanner.scan(body);
		if (!contract.models().contains(shape.model())) {
			throw new PoplarloomException(ErrorCode.NOT_IN_CONTRACT,
					"the contract does not include the model '" + shape.model() + "'");
		}
		if (shape.promptTokens() > contract.longestPromptTokens()) {
			throw new PoplarloomException(ErrorCode.PROMPT_TOO_LONG, "the prompt has about " + shape.promptTokens()
					+ " tokens, but the contract allows " + contract.longestPromptTokens());
		}
		String traceParent = http.getHeaders().get(Tracing.PARENT_HEADER);
		long deadline = this.node.clock().nowMillis() + Timeouts.millis(http, contract);
		return new ChatRequest("chatcmpl-" + UUID.randomUUID(), contract, shape, body, Fingerprint.of(body), deadline,
				(traceParent != null) ? traceParent : "");
	}

	private Mono<MutableHttpResponse<?>> stream(Flux<EngineEvent> answer, ChatFormat format, ChatRequest request) {
		return FirstSignal.of(answer, FIRST_CHUNK_TIMEOUT)
			.map((chunks) -> HttpResponse.ok(serverSentEvents(chunks, format))
				.contentType(MediaType.TEXT_EVENT_STREAM_TYPE)
				.header("X-Request-Id", request.id()));
	}

	private Flux<ByteBuf> serverSentEvents(Flux<EngineEvent> chunks, ChatFormat format) {
		Sinks.Empty<Void> ended = Sinks.empty();
		Flux<ByteBuf> events = chunks.map((event) -> data(format.chunk(event)))
			.concatWith(Mono.fromSupplier(() -> data(DONE)))
			.onErrorResume((failure) -> Mono.just(data(errorBody(failure))))
			.doFinally((signal) -> ended.tryEmitEmpty());
		Flux<ByteBuf> comments = Flux.interval(KEEP_ALIVE_INTERVAL)
			.onBackpressureDrop()
			.map((tick) -> bytes(KEEP_ALIVE_COMMENT))
			.takeUntilOther(ended.asMono());
		return events.mergeWith(comments);
	}

	private static ByteBuf data(String content) {
		return bytes("data: " + content + "\n\n");
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
	}

	private String errorBody(Throwable failure) {
		PoplarloomException problem = Problem.asException(failure);
		this.metrics.countRefusal(problem.code());
		return Problem.json(problem);
	}

	private Mono<MutableHttpResponse<?>> collect(Flux<EngineEvent> answer, ChatFormat format, ChatRequest request) {
		return answer.collectList().map((events) -> {
			StringBuilder text = new StringBuilder();
			events.forEach((event) -> text.append(event.text()));
			return HttpResponse.ok(format.completion(text.toString(), events.get(events.size() - 1)))
				.contentType(MediaType.APPLICATION_JSON_TYPE)
				.header("X-Request-Id", request.id());
		});
	}

	@Get("/models")
	HttpResponse<String> models(HttpRequest<?> http) {
		Contract contract = this.authentication.requireContract(http);
		List<Map<String, Object>> models = contract.models().stream().sorted().map(ChatController::model).toList();
		Map<String, Object> listing = new LinkedHashMap<>();
		listing.put("object", "list");
		listing.put("data", models);
		return HttpResponse.ok(Documents.write(listing)).contentType(MediaType.APPLICATION_JSON_TYPE);
	}

	private static Map<String, Object> model(String name) {
		Map<String, Object> model = new LinkedHashMap<>();
		model.put("id", name);
		model.put("object", "model");
		model.put("created", 0);
		model.put("owned_by", "poplarloom");
		return model;
	}

}
