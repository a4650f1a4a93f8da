package org.poplarloom.wire.connection;

import org.poplarloom.wire.message.Message;

/**
 * Sends the replies to one message of a peer.
 * <p>
 * Most messages have one reply; a peer that expects several recognizes the last one by
 * its type. Implementations are thread-safe.
 */
@FunctionalInterface
public interface PeerReplies {

	/**
	 * Sends a reply; does nothing if the sender expects none or has disconnected.
	 * @param reply the reply
	 */
	void accept(Message reply);

	/**
	 * Sets what happens when the peer disconnects, after which replies reach nobody.
	 * @param task runs once, at once if the peer has disconnected already
	 */
	default void whenDisconnected(Runnable task) {
	}

}
