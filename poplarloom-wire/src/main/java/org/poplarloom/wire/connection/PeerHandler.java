package org.poplarloom.wire.connection;

import org.poplarloom.core.InstanceId;
import org.poplarloom.wire.message.Message;

/**
 * Handles the messages of authenticated peers.
 * <p>
 * Implementations are thread-safe and do not block.
 */
public interface PeerHandler {

	/**
	 * Handles a message.
	 * @param peer the authenticated sender
	 * @param message the message
	 * @param replies sends the reply, during the call or later
	 */
	void handle(InstanceId peer, Message message, PeerReplies replies);

}
