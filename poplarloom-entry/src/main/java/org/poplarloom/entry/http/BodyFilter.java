package org.poplarloom.entry.http;

import java.time.Duration;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Filter;
import io.micronaut.http.filter.HttpServerFilter;
import io.micronaut.http.filter.ServerFilterChain;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.entry.request.BodyBudget;

/**
 * Reserves memory for a request's body before it is read and rejects requests whose body
 * does not arrive in time.
 * <p>
 * Every reservation is released when the response has been produced or the request is
 * cancelled. This class is thread-safe.
 */
@Filter("/v1/**")
final class BodyFilter implements HttpServerFilter {

	/** The request attribute that a controller sets once it has received the body. */
	static final String BODY_RECEIVED = "poplarloom.body-received";

	private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);

	/** The memory reserved for a body of unknown length, which is sent in chunks. */
	private static final long UNKNOWN_LENGTH_BYTES = 16L * 1024 * 1024;

	private final BodyBudget budget;

	BodyFilter(BodyBudget budget) {
		this.budget = budget;
	}

	@Override
	public Publisher<MutableHttpResponse<?>> doFilter(HttpRequest<?> request, ServerFilterChain chain) {
		long declaredBytes = request.getContentLength();
		boolean hasNoBody = declaredBytes < 0 && request.getHeaders().get("Transfer-Encoding") == null;
		long bytes = (declaredBytes >= 0) ? declaredBytes : UNKNOWN_LENGTH_BYTES;
		long reservedBytes = hasNoBody ? 0 : bytes;
		try {
			this.budget.reserve(reservedBytes);
		}
		catch (PoplarloomException ex) {
			return Mono.just(Problem.response(ex));
		}
		return Flux.from(chain.proceed(request))
			.takeUntilOther(bodyTimeout(request))
			.onErrorResume(BodyFilter::isBodyTimeout, (failure) -> Mono.just(Problem.response(failure)))
			.doFinally((signal) -> this.budget.release(reservedBytes));
	}

	private static Mono<Void> bodyTimeout(HttpRequest<?> request) {
		return Mono.delay(BODY_TIMEOUT).flatMap((tick) -> {
			boolean isReceived = request.getAttribute(BODY_RECEIVED).isPresent();
			return isReceived ? Mono.never() : Mono.error(new PoplarloomException(ErrorCode.BODY_TIMEOUT,
					"the body did not arrive within " + BODY_TIMEOUT.toSeconds() + " s"));
		});
	}

	private static boolean isBodyTimeout(Throwable failure) {
		return failure instanceof PoplarloomException known && known.code() == ErrorCode.BODY_TIMEOUT;
	}

}
