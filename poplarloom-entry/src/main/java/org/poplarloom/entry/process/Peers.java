package org.poplarloom.entry.process;

import java.util.concurrent.CompletableFuture;

import org.poplarloom.core.InstanceId;
import org.poplarloom.wire.message.Message;

/**
 * Sends messages to other instances.
 * <p>
 * Implementations are thread-safe.
 */
public interface Peers {

	/**
	 * Sends a message that needs no reply; it is lost if the instance cannot be reached.
	 * @param instance the instance
	 * @param address its host and port for peers
	 * @param message the message
	 */
	void send(InstanceId instance, String address, Message message);

	/**
	 * Sends a message and returns its reply.
	 * @param instance the instance
	 * @param address its host and port for peers
	 * @param message the message
	 * @param timeoutMillis how long to wait for the reply, in milliseconds
	 * @return the reply, or a failed future if there is none in time
	 */
	CompletableFuture<Message> request(InstanceId instance, String address, Message message, long timeoutMillis);

}
