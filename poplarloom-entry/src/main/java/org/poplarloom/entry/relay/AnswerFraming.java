package org.poplarloom.entry.relay;

import java.util.Locale;

import io.netty.handler.codec.http.HttpResponse;
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
	CONNECTION_END;

	static AnswerFraming of(HttpResponse head) {
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return CHUNKED;
		}
		return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION_END;
	}

	String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
