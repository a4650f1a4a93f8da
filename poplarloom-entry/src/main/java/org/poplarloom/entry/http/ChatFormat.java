package org.poplarloom.entry.http;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

import org.poplarloom.entry.request.ChatRequest;
import org.poplarloom.port.EndpointPort.EngineEvent;

/**
 * Writes answers as chat completions JSON.
 * <p>
 * This class is immutable and thread-safe.
 */
final class ChatFormat {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

	private final String chunkPrefix;

	private final String completionPrefix;

	ChatFormat(ChatRequest request, long nowMillis) {
		String commonFields = "\",\"created\":" + nowMillis / MILLIS_PER_SECOND + ",\"model\":\""
				+ escape(request.shape().model()) + "\",";
		this.chunkPrefix = "{\"id\":\"" + request.id() + "\",\"object\":\"chat.completion.chunk" + commonFields;
		this.completionPrefix = "{\"id\":\"" + request.id() + "\",\"object\":\"chat.completion" + commonFields;
	}

	String chunk(EngineEvent event) {
		if (event.finishReason() != null) {
			return this.chunkPrefix + "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\""
					+ escape(event.finishReason()) + "\"}]," + usage(event) + "}";
		}
		String role = (event.position() == 0) ? "\"role\":\"assistant\"," : "";
		return this.chunkPrefix + "\"choices\":[{\"index\":0,\"delta\":{" + role + "\"content\":\""
				+ escape(event.text()) + "\"},\"finish_reason\":null}]}";
	}

	String completion(String text, EngineEvent last) {
		return this.completionPrefix + "\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\""
				+ escape(text) + "\"},\"finish_reason\":\"" + escape(last.finishReason()) + "\"}]," + usage(last) + "}";
	}

	private static String usage(EngineEvent last) {
		return "\"usage\":{\"prompt_tokens\":" + last.promptTokens() + ",\"completion_tokens\":" + last.answerTokens()
				+ ",\"total_tokens\":" + (last.promptTokens() + last.answerTokens()) + "}";
	}

	private static String escape(String text) {
		return String.valueOf(ENCODER.quoteAsString(text));
	}

}
