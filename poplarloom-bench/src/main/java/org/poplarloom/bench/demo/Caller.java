package org.poplarloom.bench.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

import org.poplarloom.core.version.Documents;

/**
 * A caller of the chat interface and of plain services.
 * <p>
 * Each call blocks its thread. This class is thread-safe.
 */
public final class Caller {

	private static final String DATA = "data: ";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	/**
	 * Returns a chat request.
	 * @param promptTokens the prompt length in tokens
	 * @param answerTokens the answer length in tokens
	 * @param text the start of the prompt
	 * @return the body
	 */
	public static byte[] prompt(long promptTokens, long answerTokens, String text) {
		StringBuilder body = new StringBuilder(
				"{\"model\":\"" + LocalSystem.MODEL + "\",\"stream\":true,\"max_tokens\":" + answerTokens
						+ ",\"messages\":[{\"role\":\"user\",\"content\":\"");
		body.append(text);
		String filler = "ash blank. ";
		long characters = Math.max(0, promptTokens * 4 - text.length());
		body.append(filler.repeat((int) (characters / filler.length())));
		body.append("x".repeat((int) (characters % filler.length())));
		return body.append("\"}]}").toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Asks and reads the streamed answer to its end.
	 * @param url the URL of an entry instance or engine
	 * @param key the team's key
	 * @param body the request
	 * @param timeoutMillis the deadline that is sent along, in milliseconds
	 * @return what came back
	 */
	public Answer ask(String url, String key, byte[] body, long timeoutMillis) {
		HttpRequest request = HttpRequest.newBuilder(URI.create(url + "/v1/chat/completions"))
			.header("Authorization", "Bearer " + key)
			.header("Content-Type", "application/json")
			.header("X-Timeout-Ms", Long.toString(timeoutMillis))
			.header("X-Attempt", "1")
			.POST(HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		long start = System.nanoTime();
		try {
			HttpResponse<InputStream> response = this.client.send(request, HttpResponse.BodyHandlers.ofInputStream());
			return read(response, start);
		}
		catch (IOException ex) {
			return new Answer(0, -1, elapsed(start), 0, false, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Answer(0, -1, elapsed(start), 0, false, "interrupted");
		}
	}

	private static double elapsed(long start) {
		return (double) (System.nanoTime() - start) / NANOS_PER_MILLI;
	}

	private static Answer read(HttpResponse<InputStream> response, long start) throws IOException {
		if (response.statusCode() != 200) {
			String text = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
			return new Answer(response.statusCode(), -1, elapsed(start), 0, false, text);
		}
		double firstMillis = -1;
		int pieces = 0;
		boolean isWhole = false;
		String error = "";
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				if (!line.startsWith(DATA)) {
					continue;
				}
				firstMillis = (firstMillis < 0) ? elapsed(start) : firstMillis;
				if (line.contains("\"error\"")) {
					error = line.substring(DATA.length());
				}
				isWhole |= line.equals("data: [DONE]");
				pieces += line.contains("\"w" + pieces + " \"") ? 1 : 0;
			}
		}
		return new Answer(200, firstMillis, elapsed(start), pieces, isWhole, error);
	}

	/**
	 * Calls a plain service.
	 * @param url the URL of an entry instance
	 * @param key the team's key
	 * @param idempotencyKey the key of the order
	 * @param body the content
	 * @return the status and body, status 0 if the connection ended
	 */
	public ServiceReply order(String url, String key, String idempotencyKey, String body) {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create(url + "/v1/services/" + LocalSystem.SERVICE + "/orders"))
			.header("Authorization", "Bearer " + key)
			.header("Content-Type", "application/json")
			.header("Idempotency-Key", idempotencyKey)
			.header("X-Timeout-Ms", "5000")
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			JsonNode json = Documents.read(response.body(), JsonNode.class);
			return new ServiceReply(response.statusCode(), json.path("executed").asText(""),
					json.path("code").asText(""));
		}
		catch (IOException ex) {
			return new ServiceReply(0, "unknown", "");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new ServiceReply(0, "unknown", "");
		}
	}

	/**
	 * What came back for a question.
	 *
	 * @param status the HTTP status, 0 if there was no response
	 * @param firstMillis the time to the first token in milliseconds, -1 if there was
	 * none
	 * @param totalMillis the time to the end in milliseconds
	 * @param pieces the number of tokens that came in order
	 * @param isWhole whether the answer ended as it should
	 * @param error the error, empty if there was none
	 */
	public record Answer(int status, double firstMillis, double totalMillis, int pieces, boolean isWhole,
			String error) {
	}

	/**
	 * What came back for an order.
	 *
	 * @param status the HTTP status, 0 if there was no response
	 * @param executed what the answer says about execution, empty for a success
	 * @param code the error code, empty for a success
	 */
	public record ServiceReply(int status, String executed, String code) {
	}

}
