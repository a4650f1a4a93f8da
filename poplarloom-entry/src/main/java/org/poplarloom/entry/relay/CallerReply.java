package org.poplarloom.entry.relay;

import io.netty.handler.codec.http.HttpResponse;

import org.poplarloom.core.PoplarloomException;

/**
 * Sends the response to one request of a caller.
 * <p>
 * A reply ends exactly once: with a refusal, a complete answer, the end of a stream or
 * the abort of a stream. Implementations need not be thread-safe; the event loop guards
 * them.
 */
interface CallerReply {

	/**
	 * Requires that the caller may start a stream now.
	 * @throws PoplarloomException if there is no room for one more stream that is read
	 * slowly, as this caller reads the others
	 */
	void requireRoom();

	/**
	 * Sends an error that does not come from an endpoint.
	 * @param failure the reason
	 */
	void refuse(PoplarloomException failure);

	/**
	 * Sends an endpoint's complete answer.
	 * @param head the endpoint's status and headers
	 * @param body the complete body
	 */
	void answer(HttpResponse head, byte[] body);

	/**
	 * Sends the status and headers of a streamed answer.
	 * @param head the endpoint's status and headers
	 */
	void startStream(HttpResponse head);

	/**
	 * Sends bytes of a streamed answer.
	 * @param content the bytes
	 */
	void writeChunk(byte[] content);

	/**
	 * Ends a streamed answer as complete, once the caller has taken all its bytes.
	 * @param remainingMillis the time until the request's timeout, at which an answer
	 * that the caller has not taken is cut off, in milliseconds
	 */
	void endStream(long remainingMillis);

	/**
	 * Closes the connection so that the caller sees that the streamed answer is
	 * incomplete.
	 */
	void abort();

}
