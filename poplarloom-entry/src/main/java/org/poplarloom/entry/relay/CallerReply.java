package org.poplarloom.entry.relay;

import io.netty.handler.codec.http.HttpResponse;

import org.poplarloom.core.PoplarloomException;

/**
 * The way back to a caller.
 * <p>
 * A reply ends once: by a refusal, by a whole answer, by the end of a stream or by being
 * broken off. Implementations need not be thread-safe; the event loop guards them.
 */
interface CallerReply {

	/**
	 * Answers with an error of the system's own.
	 * @param failure the reason
	 */
	void refuse(PoplarloomException failure);

	/**
	 * Answers with what an endpoint said.
	 * @param head the endpoint's status and headers
	 * @param body the whole body
	 */
	void answer(HttpResponse head, byte[] body);

	/**
	 * Starts to answer with a stream.
	 * @param head the endpoint's status and headers
	 */
	void begin(HttpResponse head);

	/**
	 * Passes on a part of a stream.
	 * @param content the bytes
	 */
	void write(byte[] content);

	/**
	 * Ends a stream as complete.
	 */
	void end();

	/**
	 * Ends a stream as incomplete.
	 */
	void abort();

}
