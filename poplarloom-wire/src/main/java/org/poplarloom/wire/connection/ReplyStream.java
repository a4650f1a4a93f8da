package org.poplarloom.wire.connection;

/**
 * The replies to a message that has several. Implementations are thread-safe.
 */
public interface ReplyStream {

	/**
	 * Closes the stream unless the peer may have received the message. A check of its own
	 * would not exclude that the message is sent just before the stream is closed.
	 * @return true if the message was not sent and will not be
	 */
	boolean closeUnlessSent();

	/**
	 * Ends the interest in replies; the listener is not called any more, and a message
	 * that was not sent is not sent.
	 */
	void close();

}
