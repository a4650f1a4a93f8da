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
	 * @param peer the sender
	 * @param message the message
	 * @param reply takes the reply, at once or later; does nothing if none is expected
	 */
	void handle(InstanceId peer, Message message, Consumer<Message> reply);

}
