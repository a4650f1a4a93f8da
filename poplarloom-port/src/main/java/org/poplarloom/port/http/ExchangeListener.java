package org.poplarloom.port.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one HTTP exchange.
 * <p>
 * Unless the exchange is cancelled, either {@link #end()} or {@link #fail} is called
 * once, and no method after it. Implementations need not be thread-safe: all calls come
 * from one event loop.
 */
public interface ExchangeListener {

	/**
	 * Receives the status line and the headers of a final response.
	 * @param head the status line and the headers
	 * @param exchangeNumber the number of the exchange on its connection, from 1; on its
	 * first exchange, a connection cannot deliver a response to an earlier one
	 * @return false if the response belongs to an earlier request; it is then skipped and
	 * the next response is awaited
	 */
	boolean head(HttpResponse head, int exchangeNumber);

	/**
	 * Receives the next bytes of the body.
	 * @param content the bytes, valid only during the call
	 */
	void content(ByteBuf content);

	/**
	 * Reports that the response is complete.
	 */
	void end();

	/**
	 * Reports that the exchange failed before the response was complete.
	 * @param failure the cause, with whether the request was sent
	 */
	void fail(HttpExchanger.ExchangeException failure);

}
