package org.poplarloom.ctl;

import java.net.URI;

import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.BlockingHttpClient;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Documents;

/**
 * HTTP client of the operator API of one entry instance.
 * <p>
 * This class is thread-safe.
 */
final class OperatorClient implements AutoCloseable {

	private static final String BASE_PATH = "/operator/v1";

	private final HttpClient client = HttpClient.create(null);

	private final String url;

	private final String token;

	OperatorClient(String url, String token) {
		this.url = url;
		this.token = token;
	}

	JsonNode get(String path) {
		return send(HttpRequest.GET(uri(path)));
	}

	JsonNode post(String path, String body, String publishId) {
		return send(HttpRequest.POST(uri(path), body).header("X-Publish-Id", publishId));
	}

	JsonNode put(String path, String body, String publishId) {
		return send(HttpRequest.PUT(uri(path), body).header("X-Publish-Id", publishId));
	}

	private URI uri(String path) {
		return URI.create(this.url + BASE_PATH + path);
	}

	private JsonNode send(MutableHttpRequest<?> request) {
		request.header("Authorization", "Bearer " + this.token);
		BlockingHttpClient blocking = this.client.toBlocking();
		try {
			HttpResponse<String> response = blocking.exchange(request, String.class);
			return Documents.read(response.body(), JsonNode.class);
		}
		catch (HttpClientResponseException ex) {
			throw toException(ex);
		}
	}

	private static PoplarloomException toException(HttpClientResponseException ex) {
		String body = ex.getResponse().getBody(String.class).orElse("{}");
		JsonNode problem = Documents.read(body, JsonNode.class);
		ErrorCode code = ErrorCode.parse(problem.path("code").asText());
		return new PoplarloomException(code, Executed.UNKNOWN, problem.path("detail").asText(ex.getMessage()));
	}

	@Override
	public void close() {
		this.client.close();
	}

}
