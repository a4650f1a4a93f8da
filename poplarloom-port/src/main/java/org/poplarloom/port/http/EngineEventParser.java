package org.poplarloom.port.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.port.EndpointPort.EngineEvent;

/**
 * Parses the stream of server-sent events that answers a call into engine events.
 * <p>
 * Only {@code data} lines are parsed. What follows the last event of the answer is
 * ignored. Parsing fails with code {@code endpoint_failed} if the data of a line is not a
 * JSON object or the line that is still incomplete after a chunk exceeds the maximum
 * length. This class is not thread-safe.
 */
final class EngineEventParser {

	private static final int MAX_LINE_BYTES = 1024 * 1024;

	/** An engine ends its answer with a few bytes. */
	private static final int MAX_IGNORED_BYTES = 64 * 1024;

	private static final byte[] DATA_PREFIX = { 'd', 'a', 't', 'a', ':' };

	private static final JsonFactory JSON_FACTORY = new JsonFactory();

	private final String requestId;

	private final int attempt;

	private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

	private boolean ended;

	private long ignoredBytes;

	/**
	 * Creates a parser for the answer to a call.
	 * @param requestId the request of the call
	 * @param attempt the attempt of the call
	 */
	EngineEventParser(String requestId, int attempt) {
		this.requestId = requestId;
		this.attempt = attempt;
	}

	/**
	 * Returns whether the last event of the answer has been parsed.
	 * @return false as long as events are missing
	 */
	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether so much has followed the last event that the stream is not awaited
	 * any more.
	 * @return false as long as the end may follow
	 */
	boolean isEndOverdue() {
		return this.ignoredBytes > MAX_IGNORED_BYTES;
	}

	List<EngineEvent> addChunk(byte[] chunk) {
		if (this.ended) {
			this.ignoredBytes += chunk.length;
			return List.of();
		}
		List<EngineEvent> events = new ArrayList<>();
		int start = 0;
		for (int i = 0; i < chunk.length && !this.ended; i++) {
			if (chunk[i] == '\n') {
				addLine(chunk, start, i, events);
				start = i + 1;
			}
		}
		if (this.ended) {
			return events;
		}
		this.partialLine.write(chunk, start, chunk.length - start);
		if (this.partialLine.size() > MAX_LINE_BYTES) {
			throw invalidEvent("line is longer than " + MAX_LINE_BYTES + " bytes");
		}
		return events;
	}

	private void addLine(byte[] chunk, int start, int end, List<EngineEvent> events) {
		if (this.partialLine.size() == 0) {
			parseLine(chunk, start, end, events);
			return;
		}
		this.partialLine.write(chunk, start, end - start);
		byte[] line = this.partialLine.toByteArray();
		this.partialLine.reset();
		parseLine(line, 0, line.length, events);
	}

	private void parseLine(byte[] bytes, int start, int end, List<EngineEvent> events) {
		if (end - start <= DATA_PREFIX.length) {
			return;
		}
		for (int i = 0; i < DATA_PREFIX.length; i++) {
			if (bytes[start + i] != DATA_PREFIX[i]) {
				return;
			}
		}
		int offset = start + DATA_PREFIX.length;
		try (JsonParser parser = JSON_FACTORY.createParser(bytes, offset, end - offset)) {
			EngineEvent event = parseEvent(parser);
			events.add(event);
			this.ended = event.finishReason() != null && event.requestId().equals(this.requestId)
					&& event.attempt() == this.attempt;
		}
		catch (IOException ex) {
			throw invalidEvent(ex.getMessage());
		}
	}

	private static EngineEvent parseEvent(JsonParser parser) throws IOException {
		String requestId = "";
		int attempt = 0;
		long position = 0;
		int tokens = 0;
		String text = "";
		String finishReason = null;
		long promptTokens = 0;
		long answerTokens = 0;
		if (parser.nextToken() != JsonToken.START_OBJECT) {
			throw invalidEvent("data is not a JSON object");
		}
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			parser.nextToken();
			switch (name) {
				case "request" -> requestId = parser.getText();
				case "attempt" -> attempt = parser.getValueAsInt();
				case "position" -> position = parser.getValueAsLong();
				case "tokens" -> tokens = parser.getValueAsInt();
				case "text" -> text = parser.getText();
				case "finish" -> finishReason = parser.getText();
				case "promptTokens" -> promptTokens = parser.getValueAsLong();
				case "answerTokens" -> answerTokens = parser.getValueAsLong();
				default -> parser.skipChildren();
			}
		}
		return new EngineEvent(requestId, attempt, position, tokens, text, finishReason, promptTokens, answerTokens);
	}

	private static PoplarloomException invalidEvent(String problem) {
		return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN, "endpoint event: " + problem);
	}

}
