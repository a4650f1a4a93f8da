package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.poplarloom.wire.message.Message;

/**
 * Converts the heads of forwarded requests and answers to and from their form in
 * messages. This class has no state and is thread-safe.
 */
final class ForwardedHeads {

	private ForwardedHeads() {
	}

	static List<Message.Header> headers(HttpHeaders headers) {
		List<Message.Header> list = new ArrayList<>();
		for (Map.Entry<String, String> header : headers) {
			list.add(new Message.Header(header.getKey(), header.getValue()));
		}
		return list;
	}

	// The headers are as valid as those that the sender has received.
	static HttpHeaders headers(List<Message.Header> list) {
		HttpHeaders headers = new DefaultHttpHeaders();
		list.forEach((header) -> headers.add(header.name(), header.text()));
		return headers;
	}

	/**
	 * Returns the memory that headers hold while their request is in progress.
	 * @param list the headers
	 * @return bytes
	 */
	static long heldBytes(List<Message.Header> list) {
		return list.stream().mapToLong((header) -> GuardedRequestDecoder.lineBytes(header.name(), header.text())).sum();
	}

	static HttpResponse response(int status, String reason, List<Message.Header> headers) {
		return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status, reason),
				headers(headers));
	}

}
