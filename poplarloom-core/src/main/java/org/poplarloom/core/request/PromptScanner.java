package org.poplarloom.core.request;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;

/**
 * Extracts the shape of a chat request, which routing needs, without copying the prompt.
 * <p>
 * Prompt texts are skipped in place, so that a body of any size needs no additional
 * memory. This class has no state and is thread-safe.
 */
public final class PromptScanner {

	/** The answer length assumed if the request has no limit, in tokens. */
	public static final long DEFAULT_ANSWER_TOKENS = 256;

	private static final int BYTES_PER_TOKEN = 4;

	private static final int PREFIX_BLOCK_BYTES = 4_096;

	private static final int MAX_NESTING_DEPTH = 32;

	private static final long NO_TEXT_START = -1;

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final JsonFactory JSON_FACTORY = new JsonFactory();

	private PromptScanner() {
	}

	/**
	 * Extracts the shape of a request body.
	 * @param body the JSON text in UTF-8
	 * @return the shape
	 * @throws PoplarloomException that lists every finding if the body is not a valid
	 * chat request
	 */
	public static PromptShape scan(byte[] body) {
		Scan scan = new Scan(body);
		try (JsonParser parser = JSON_FACTORY.createParser(body)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				throw new PoplarloomException(ErrorCode.INVALID_REQUEST, "body must be a JSON object");
			}
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				scan.readField(parser);
			}
			if (parser.nextToken() != null) {
				scan.findings.add("body", ErrorCode.INVALID_REQUEST, "unexpected text after the JSON object");
			}
		}
		catch (IOException ex) {
			String problem = String.valueOf(ex.getMessage()).lines().findFirst().orElse("");
			throw new PoplarloomException(ErrorCode.INVALID_REQUEST, "body is not well-formed JSON: " + problem);
		}
		return scan.shape();
	}

	/**
	 * The state of one scan.
	 */
	private static final class Scan {

		private final byte[] body;

		private final Findings findings = new Findings();

		private String model;

		private boolean isStream;

		private long answerTokens = DEFAULT_ANSWER_TOKENS;

		private long promptBytes;

		private long prefixHash = FNV_OFFSET;

		private int hashedBytes;

		private boolean hasMessages;

		Scan(byte[] body) {
			this.body = body;
		}

		void readField(JsonParser parser) throws IOException {
			String name = parser.currentName();
			JsonToken value = parser.nextToken();
			switch (name) {
				case "model" -> readModel(parser, value);
				case "stream" -> readStream(value);
				case "max_tokens", "max_completion_tokens" -> readAnswerTokens(parser, value);
				case "messages" -> readMessages(parser, value);
				default -> skip(parser, value);
			}
		}

		private void readModel(JsonParser parser, JsonToken value) throws IOException {
			if (value == JsonToken.VALUE_STRING) {
				this.model = parser.getText();
				return;
			}
			skipInvalid("model", "must be a string", parser, value);
		}

		private void readStream(JsonToken value) {
			if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE && value != JsonToken.VALUE_NULL) {
				this.findings.add("stream", ErrorCode.INVALID_REQUEST, "must be true or false");
			}
			this.isStream = value == JsonToken.VALUE_TRUE;
		}

		private void readAnswerTokens(JsonParser parser, JsonToken value) throws IOException {
			if (value == JsonToken.VALUE_NULL) {
				return;
			}
			if (value == JsonToken.VALUE_NUMBER_INT && parser.getNumberType() == JsonParser.NumberType.INT
					&& parser.getIntValue() > 0) {
				this.answerTokens = parser.getIntValue();
				return;
			}
			skipInvalid("max_tokens", "must be a positive integer", parser, value);
		}

		private void readMessages(JsonParser parser, JsonToken value) throws IOException {
			if (value != JsonToken.START_ARRAY) {
				skipInvalid("messages", "must be an array", parser, value);
				return;
			}
			this.hasMessages = true;
			skip(parser, value);
		}

		private void skipInvalid(String place, String message, JsonParser parser, JsonToken value) throws IOException {
			this.findings.add(place, ErrorCode.INVALID_REQUEST, message);
			skip(parser, value);
		}

		// A string ends where the next token starts, so that it is counted without
		// decoding.
		private void skip(JsonParser parser, JsonToken first) throws IOException {
			int depth = first.isStructStart() ? 1 : 0;
			long textStart = NO_TEXT_START;
			while (depth > 0) {
				JsonToken token = parser.nextToken();
				if (token == null) {
					return;
				}
				long offset = parser.currentTokenLocation().getByteOffset();
				if (textStart != NO_TEXT_START) {
					countText(textStart, offset);
				}
				textStart = (token == JsonToken.VALUE_STRING) ? offset : NO_TEXT_START;
				depth += depthChange(token);
				if (depth > MAX_NESTING_DEPTH) {
					throw new PoplarloomException(ErrorCode.INVALID_REQUEST,
							"body is nested deeper than " + MAX_NESTING_DEPTH + " levels");
				}
			}
		}

		private int depthChange(JsonToken token) {
			if (token.isStructStart()) {
				return 1;
			}
			return token.isStructEnd() ? -1 : 0;
		}

		private void countText(long start, long end) {
			this.promptBytes += Math.max(0, end - start - 2);
			for (long i = start; i < end && this.hashedBytes < PREFIX_BLOCK_BYTES; i++) {
				this.prefixHash = (this.prefixHash ^ this.body[(int) i]) * FNV_PRIME;
				this.hashedBytes++;
			}
		}

		PromptShape shape() {
			if (this.model == null) {
				this.findings.add("model", ErrorCode.INVALID_REQUEST, "is required");
			}
			if (!this.hasMessages) {
				this.findings.add("messages", ErrorCode.INVALID_REQUEST, "is required");
			}
			this.findings.throwIfAny();
			long tokens = Math.max(1, this.promptBytes / BYTES_PER_TOKEN);
			long hash = (this.hashedBytes >= PREFIX_BLOCK_BYTES) ? this.prefixHash : 0;
			return new PromptShape(this.model, this.isStream, this.answerTokens, tokens, hash);
		}

	}

}
