package org.poplarloom.entry.process;

import java.util.concurrent.CompletableFuture;

import org.poplarloom.wire.message.Message;

/**
 * The other instances, as the follower of a platform table reaches them.
 * <p>
 * Implementations are thread-safe.
 */
interface TablePeers {

	/**
	 * Sends a query to a random instance.
	 * @param query the message
	 * @return the reply, or a failed future if there is none in time
	 */
	CompletableFuture<Message> queryAny(Message query);

	/**
	 * Sends a query to one instance.
	 * @param address the host and port of the instance
	 * @param query the message
	 * @return the reply, or a failed future if there is none in time
	 */
	CompletableFuture<Message> query(String address, Message query);

	/**
	 * Sends a message to a few random instances, and to all members of the zone if they
	 * rely on the reads of this instance.
	 * @param notice the message
	 */
	void notifySome(Message notice);

}
