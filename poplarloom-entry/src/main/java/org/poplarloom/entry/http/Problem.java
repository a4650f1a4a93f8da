package org.poplarloom.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Documents;

/**
 * Converts exceptions to problem bodies.
 * <p>
 * A body has the members of RFC 9457, the error code, whether the request was executed,
 * and an {@code error} member in the format of the chat completions interface. This class
 * has no state and is thread-safe.
 */
final class Problem {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final long MILLIS_PER_SECOND = 1_000;

	private Problem() {
	}

	static PoplarloomException asException(Throwable failure) {
		return (failure instanceof PoplarloomException known) ? known : new PoplarloomException(ErrorCode.INTERNAL,
				org.poplarloom.core.Executed.UNKNOWN, "internal error: " + failure.getClass().getSimpleName());
	}

	static MutableHttpResponse<?> response(Throwable failure) {
		PoplarloomException problem = asException(failure);
		MutableHttpResponse<String> response = HttpResponse.<String>status(HttpStatus.valueOf(problem.code().status()))
			.body(json(problem))
			.contentType(CONTENT_TYPE);
		if (problem.retryAfterMillis() > 0) {
			long seconds = (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			response.header("Retry-After", Long.toString(seconds));
		}
		return response;
	}

	static String json(PoplarloomException problem) {
		Map<String, Object> error = new LinkedHashMap<>();
		error.put("message", problem.getMessage());
		error.put("type", (problem.code().status() < 500) ? "invalid_request_error" : "server_error");
		error.put("code", problem.code().text());
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("title", problem.code().text());
		body.put("status", problem.code().status());
		body.put("detail", problem.getMessage());
		body.put("code", problem.code().text());
		body.put("executed", problem.executed().text());
		if (problem.retryAfterMillis() > 0) {
			body.put("retryAfterMillis", problem.retryAfterMillis());
		}
		body.put("error", error);
		return Documents.write(body);
	}

}
