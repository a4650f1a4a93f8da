package org.poplarloom.port.http;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Checks that the head of a response is the head of one response.
 * <p>
 * If a connection delivers a head that breaks off in the middle of a line and then
 * another response, the codec reads both as one head: its status is that of the first,
 * and its last headers are those of the second. This class has no state and is
 * thread-safe.
 */
final class ResponseHeads {

	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	private static final String PROTOCOL_NAME = "HTTP";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d+\\.\\d+\\s+\\d{3}", Pattern.CASE_INSENSITIVE);

	private ResponseHeads() {
	}

	/**
	 * Returns why a head cannot be trusted.
	 * @param head the status line and the headers
	 * @return the reason, or null if the head is sound
	 */
	static String findFault(HttpResponse head) {
		if (!PROTOCOL_NAME.equals(head.protocolVersion().protocolName())) {
			return "protocol is '" + head.protocolVersion().text() + "'";
		}
		int status = head.status().code();
		if (status < MIN_STATUS || status > MAX_STATUS) {
			return "status is " + status;
		}
		if (containsStatusLine(head.status().reasonPhrase())) {
			return "reason phrase contains the status line of another response";
		}
		for (Map.Entry<String, String> header : head.headers()) {
			if (containsStatusLine(header.getValue())) {
				return "header " + header.getKey() + " contains the status line of another response";
			}
		}
		return null;
	}

	private static boolean containsStatusLine(String text) {
		return STATUS_LINE.matcher(text).find();
	}

}
