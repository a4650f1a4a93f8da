package org.poplarloom.entry.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import jakarta.inject.Singleton;

import org.poplarloom.core.PoplarloomException;
import org.poplarloom.entry.request.EntryMetrics;

/**
 * Responds with a problem body to requests that failed.
 * <p>
 * This class is thread-safe.
 */
@Singleton
final class ProblemHandler implements ExceptionHandler<PoplarloomException, HttpResponse<?>> {

	private final EntryMetrics metrics;

	ProblemHandler(EntryMetrics metrics) {
		this.metrics = metrics;
	}

	@Override
	public HttpResponse<?> handle(HttpRequest request, PoplarloomException exception) {
		this.metrics.countRefusal(exception.code());
		return Problem.response(exception);
	}

}
