package org.poplarloom.entry.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.sse.Event;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.request.PromptScanner;
import org.poplarloom.core.request.PromptShape;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.Documents;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.request.ChatRequest;
import org.poplarloom.entry.request.ChatService;
import org.poplarloom.entry.request.EntryMetrics;
import org.poplarloom.entry.request.Fingerprint;
import org.poplarloom.platform.port.EndpointPort.EngineEvent;

/**
 * The chat completions interface.
 * <p>
 * A stream ends with a last piece and {@code [DONE]}, or with an error event. This class
 * is thread-safe.
 */
@Controller("/v1")
final class ChatController {

	private static final String TIMEOUT_HEADER = "X-Timeout-Ms";

	private static final String DONE = "[DONE]";

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
		Contract contract = this.authentication.requireContract(http);
		ChatRequest request = chatRequest(http, contract, body);
		ChatFormat format = new ChatFormat(request, this.node.clock().nowMillis());
		Flux<EngineEvent> answer = this.chat.answer(request);
		return request.shape().isStream() ? stream(answer, format, request) : whole(answer, format, request);
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
		long deadline = this.node.clock().nowMillis() + timeoutMillis(http, contract);
		return new ChatRequest("chatcmpl-" + UUID.randomUUID(), contract, shape, body, Fingerprint.of(body), deadline);
	}

	private static long timeoutMillis(HttpRequest<?> http, Contract contract) {
		long longest = TimeUnit.SECONDS.toMillis(contract.longestAnswerSeconds());
		String header = http.getHeaders().get(TIMEOUT_HEADER);
		if (header == null) {
			return longest;
		}
		try {
			return Math.max(1, Math.min(longest, Long.parseLong(header)));
		}
		catch (NumberFormatException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_REQUEST,
					TIMEOUT_HEADER + " must be a number of milliseconds, but was '" + header + "'");
		}
	}

	private Mono<MutableHttpResponse<?>> stream(Flux<EngineEvent> answer, ChatFormat format, ChatRequest request) {
		return FirstSignal.of(answer).map((pieces) -> {
			Flux<Event<String>> events = pieces.map((event) -> Event.of(format.chunk(event)))
				.concatWith(Flux.just(Event.of(DONE)))
				.onErrorResume((failure) -> Flux.just(errorEvent(failure)));
			return HttpResponse.ok(events)
				.contentType(MediaType.TEXT_EVENT_STREAM_TYPE)
				.header("X-Request-Id", request.id());
		});
	}

	private Event<String> errorEvent(Throwable failure) {
		PoplarloomException problem = Problem.of(failure);
		this.metrics.countRefusal(problem.code());
		return Event.of(Problem.json(problem));
	}

	private Mono<MutableHttpResponse<?>> whole(Flux<EngineEvent> answer, ChatFormat format, ChatRequest request) {
		return answer.collectList().map((events) -> {
			StringBuilder text = new StringBuilder();
			events.forEach((event) -> text.append(event.text()));
			return HttpResponse.ok(format.whole(text.toString(), events.get(events.size() - 1)))
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
