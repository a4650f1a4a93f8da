package org.poplarloom.wire.connection;

/**
 * The replies to a message that has several. Implementations are thread-safe.
 */
public interface ReplyStream {

	/**
	 * Returns whether the peer may have received the message.
	 * @return false while the connection is being opened
	 */
	boolean isSent();

	/**
	 * Ends the interest in replies; the listener is not called any more, and a message
	 * that was not sent is not sent.
	 */
	void close();

}
