package org.poplarloom.wire.connection;

import org.poplarloom.wire.message.Message;

/**
 * Receives the replies to a message that has several.
 * <p>
 * Either some reply is the last one by its type, or {@link #disconnected} is called once.
 * Implementations need not be thread-safe if all connections run on one event loop.
 */
public interface ReplyListener {

	/**
	 * Receives the next reply.
	 * @param reply the reply
	 */
	void receive(Message reply);

	/**
	 * Reports that no further reply comes, since the connection could not be opened or
	 * was lost.
	 * @param isSent whether the peer may have received the message
	 * @param cause the reason
	 */
	void disconnected(boolean isSent, Throwable cause);

}
