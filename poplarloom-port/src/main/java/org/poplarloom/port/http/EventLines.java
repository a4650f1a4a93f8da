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
 * Cuts a stream of server-sent events into engine events.
 * <p>
 * A line that is longer than the limit or is not JSON ends the stream with an error. This
 * class is not thread-safe.
 */
final class EventLines {

	private static final int LONGEST_LINE_BYTES = 1024 * 1024;

	private static final byte[] DATA = { 'd', 'a', 't', 'a', ':' };

	private static final JsonFactory FACTORY = new JsonFactory();

	private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

	List<EngineEvent> add(byte[] chunk) {
		List<EngineEvent> events = new ArrayList<>();
		int start = 0;
		for (int i = 0; i < chunk.length; i++) {
			if (chunk[i] == '\n') {
				addLine(chunk, start, i, events);
				start = i + 1;
			}
		}
		this.partial.write(chunk, start, chunk.length - start);
		if (this.partial.size() > LONGEST_LINE_BYTES) {
			throw bad("line is too long");
		}
		return events;
	}

	private void addLine(byte[] chunk, int start, int end, List<EngineEvent> events) {
		if (this.partial.size() == 0) {
			parseLine(chunk, start, end, events);
			return;
		}
		this.partial.write(chunk, start, end - start);
		byte[] line = this.partial.toByteArray();
		this.partial.reset();
		parseLine(line, 0, line.length, events);
	}

	private void parseLine(byte[] bytes, int start, int end, List<EngineEvent> events) {
		if (end - start <= DATA.length) {
			return;
		}
		for (int i = 0; i < DATA.length; i++) {
			if (bytes[start + i] != DATA[i]) {
				return;
			}
		}
		int offset = start + DATA.length;
		try (JsonParser parser = FACTORY.createParser(bytes, offset, end - offset)) {
			events.add(parse(parser));
		}
		catch (IOException ex) {
			throw bad(ex.getMessage());
		}
	}

	private static EngineEvent parse(JsonParser parser) throws IOException {
		String request = "";
		int attempt = 0;
		long position = 0;
		int tokens = 0;
		String text = "";
		String finish = null;
		long promptTokens = 0;
		long answerTokens = 0;
		if (parser.nextToken() != JsonToken.START_OBJECT) {
			throw bad("event is not an object");
		}
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			parser.nextToken();
			switch (name) {
				case "request" -> request = parser.getText();
				case "attempt" -> attempt = parser.getValueAsInt();
				case "position" -> position = parser.getValueAsLong();
				case "tokens" -> tokens = parser.getValueAsInt();
				case "text" -> text = parser.getText();
				case "finish" -> finish = parser.getText();
				case "promptTokens" -> promptTokens = parser.getValueAsLong();
				case "answerTokens" -> answerTokens = parser.getValueAsLong();
				default -> parser.skipChildren();
			}
		}
		return new EngineEvent(request, attempt, position, tokens, text, finish, promptTokens, answerTokens);
	}

	private static PoplarloomException bad(String problem) {
		return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN, "endpoint event: " + problem);
	}

}
