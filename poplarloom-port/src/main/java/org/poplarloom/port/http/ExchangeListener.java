package org.poplarloom.port.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes what happens in an exchange.
 * <p>
 * Either {@link #end()} or {@link #fail} is called once, and nothing after it.
 * Implementations need not be thread-safe; the event loop guards them.
 */
public interface ExchangeListener {

	/**
	 * Takes the status line and the headers.
	 * @param head the head
	 * @return false if the answer belongs to an earlier request, so that the next one is
	 * awaited
	 */
	boolean head(HttpResponse head);

	/**
	 * Takes a part of the body.
	 * @param content the bytes, valid during the call only
	 */
	void content(ByteBuf content);

	/**
	 * Notes that the answer is whole.
	 */
	void end();

	/**
	 * Notes that the answer will not become whole.
	 * @param failure what happened, and whether the request was sent
	 */
	void fail(HttpExchanger.ExchangeException failure);

}
