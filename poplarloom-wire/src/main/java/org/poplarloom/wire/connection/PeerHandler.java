package org.poplarloom.wire.connection;

import java.util.function.Consumer;

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
	 * @param reply receives the reply, during the call or later; does nothing if the
	 * sender expects none
	 */
	void handle(InstanceId peer, Message message, Consumer<Message> reply);

}
