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
 * A client that sends chat requests and orders to entry instances or engines.
 * <p>
 * Each call blocks its thread until the answer has ended. This class is thread-safe.
 */
public final class Caller {

	private static final String SSE_DATA_PREFIX = "data: ";

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	/**
	 * Returns the body of a streaming chat request.
	 * @param promptTokens the prompt length in tokens
	 * @param answerTokens the answer length in tokens
	 * @param text the start of the prompt
	 * @return the JSON body
	 */
	public static byte[] chatRequestBody(long promptTokens, long answerTokens, String text) {
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
	 * Sends a chat request and reads the streamed answer to its end.
	 * @param url the URL of an entry instance or engine
	 * @param key the team's key
	 * @param body the JSON body
	 * @param timeoutMillis the timeout that the request states, in milliseconds
	 * @return the outcome, with status 0 if the connection failed
	 */
	public Answer sendChatRequest(String url, String key, byte[] body, long timeoutMillis) {
		HttpRequest request = HttpRequest.newBuilder(URI.create(url + "/v1/chat/completions"))
			.header("Authorization", "Bearer " + key)
			.header("Content-Type", "application/json")
			.header("X-Timeout-Ms", Long.toString(timeoutMillis))
			.header("X-Attempt", "1")
			.POST(HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		long startNanos = System.nanoTime();
		try {
			HttpResponse<InputStream> response = this.client.send(request, HttpResponse.BodyHandlers.ofInputStream());
			return readAnswer(response, startNanos);
		}
		catch (IOException ex) {
			return new Answer(0, -1, elapsedMillis(startNanos), 0, false, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Answer(0, -1, elapsedMillis(startNanos), 0, false, "interrupted");
		}
	}

	private static double elapsedMillis(long startNanos) {
		return (double) (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
	}

	private static Answer readAnswer(HttpResponse<InputStream> response, long startNanos) throws IOException {
		if (response.statusCode() != 200) {
			String text = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
			return new Answer(response.statusCode(), -1, elapsedMillis(startNanos), 0, false, text);
		}
		double firstTokenMillis = -1;
		int contiguousTokens = 0;
		boolean isComplete = false;
		String error = "";
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				if (!line.startsWith(SSE_DATA_PREFIX)) {
					continue;
				}
				firstTokenMillis = (firstTokenMillis < 0) ? elapsedMillis(startNanos) : firstTokenMillis;
				if (line.contains("\"error\"")) {
					error = line.substring(SSE_DATA_PREFIX.length());
				}
				isComplete |= line.equals("data: [DONE]");
				contiguousTokens += line.contains("\"w" + contiguousTokens + " \"") ? 1 : 0;
			}
		}
		return new Answer(200, firstTokenMillis, elapsedMillis(startNanos), contiguousTokens, isComplete, error);
	}

	/**
	 * Sends an order to the plain service.
	 * @param url the URL of an entry instance
	 * @param key the team's key
	 * @param idempotencyKey the idempotency key of the order
	 * @param body the JSON body
	 * @return the outcome, with status 0 if the connection failed
	 */
	public ServiceReply sendOrder(String url, String key, String idempotencyKey, String body) {
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
	 * The outcome of a chat request.
	 * <p>
	 * {@link #toString()} shows it under the keys that the zone experiment prints for
	 * failed requests.
	 *
	 * @param status the HTTP status, 0 if there was no response
	 * @param firstTokenMillis the time to the first token in milliseconds, -1 if there
	 * was none
	 * @param totalMillis the time to the end in milliseconds
	 * @param contiguousTokens the number of tokens received in sequence without a gap,
	 * from the first one
	 * @param isComplete whether the stream ended with its end marker
	 * @param error the error, empty if there was none
	 */
	public record Answer(int status, double firstTokenMillis, double totalMillis, int contiguousTokens,
			boolean isComplete, String error) {

		@Override
		public String toString() {
			return "Answer[status=" + this.status + ", firstMillis=" + this.firstTokenMillis + ", totalMillis="
					+ this.totalMillis + ", pieces=" + this.contiguousTokens + ", isWhole=" + this.isComplete
					+ ", error=" + this.error + "]";
		}

	}

	/**
	 * The outcome of an order.
	 *
	 * @param status the HTTP status, 0 if there was no response
	 * @param executed whether the order was executed, as the error states it; empty for a
	 * success, {@code unknown} if the connection failed
	 * @param code the error code, empty for a success
	 */
	public record ServiceReply(int status, String executed, String code) {
	}

}
