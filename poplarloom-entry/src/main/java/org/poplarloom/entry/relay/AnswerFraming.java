package org.poplarloom.entry.relay;

import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/**
 * What marks the end of an answer's body.
 */
enum AnswerFraming {

	/** The header {@code Content-Length}. */
	LENGTH,
	/** The last chunk. */
	CHUNKED,
	/** The end of the connection, which does not prove that the body is complete. */
	CONNECTION_END,
	/** The end of the head: by its status or the request's method there is no body. */
	NO_BODY;

	private static final Set<HttpResponseStatus> STATUSES_WITHOUT_BODY = Set.of(HttpResponseStatus.NO_CONTENT,
			HttpResponseStatus.NOT_MODIFIED);

	/**
	 * Returns the framing of an answer.
	 * @param method the method of the request
	 * @param head the status and headers of the answer
	 * @return the framing
	 */
	static AnswerFraming of(String method, HttpResponse head) {
		if (HttpMethod.HEAD.name().equals(method) || STATUSES_WITHOUT_BODY.contains(head.status())) {
			return NO_BODY;
		}
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return CHUNKED;
		}
		return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_END;
	}

	String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
