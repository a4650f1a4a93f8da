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
	 * Sends a message that needs no reply, if the instance can be reached.
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
	 * @param timeoutMillis when to give up, in milliseconds
	 * @return a future that fails if there is no reply in time
	 */
	CompletableFuture<Message> request(InstanceId instance, String address, Message message, long timeoutMillis);

}
