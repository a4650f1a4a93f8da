package org.poplarloom.entry.http;

import io.micronaut.context.annotation.Replaces;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.exceptions.ContentLengthExceededException;
import io.micronaut.http.server.exceptions.ContentLengthExceededHandler;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import jakarta.inject.Singleton;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.entry.request.EntryMetrics;

/**
 * Responds with a problem body to requests whose body is larger than the limit.
 * <p>
 * This class is thread-safe.
 */
@Singleton
@Replaces(ContentLengthExceededHandler.class)
final class BodyTooLargeHandler implements ExceptionHandler<ContentLengthExceededException, HttpResponse<?>> {

	private final EntryMetrics metrics;

	BodyTooLargeHandler(EntryMetrics metrics) {
		this.metrics = metrics;
	}

	@Override
	public HttpResponse<?> handle(HttpRequest request, ContentLengthExceededException exception) {
		this.metrics.countRefusal(ErrorCode.BODY_TOO_LARGE);
		return Problem.response(new PoplarloomException(ErrorCode.BODY_TOO_LARGE, exception.getMessage()));
	}

}
