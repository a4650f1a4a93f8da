package org.poplarloom.wire.process;

import java.util.concurrent.CompletableFuture;

import org.poplarloom.wire.connection.PeerTraffic;
import org.poplarloom.wire.connection.ReplyListener;
import org.poplarloom.wire.connection.ReplyStream;
import org.poplarloom.wire.message.Message;

/**
 * Carries messages between instances.
 * <p>
 * Implementations are thread-safe.
 */
public interface PeerTransport extends AutoCloseable {

	/**
	 * Starts to accept connections from peers.
	 * @param host the local address to bind to
	 * @param port the port, 0 for any free one
	 * @return the port that the socket is bound to
	 */
	int listen(String host, int port);

	/**
	 * Sends a message that needs no reply; it is lost if the peer cannot be reached or
	 * does not keep up.
	 * @param address the peer's host and port
	 * @param message the message
	 */
	void send(String address, Message message);

	/**
	 * Sends a message and returns its reply.
	 * @param address the peer's host and port
	 * @param message the message
	 * @param timeoutMillis the timeout of connecting and of the reply together, in
	 * milliseconds
	 * @return a future that fails if the peer cannot be reached or does not reply in time
	 */
	CompletableFuture<Message> request(String address, Message message, long timeoutMillis);

	/**
	 * Sends a message that has several replies.
	 * @param address the peer's host and port
	 * @param message the message
	 * @param listener receives the replies
	 * @return the replies
	 */
	ReplyStream open(String address, Message message, ReplyListener listener);

	/**
	 * Looks for connections on which a peer has fallen silent, and replaces them; called
	 * periodically.
	 */
	default void replaceSilentConnections() {
	}

	/**
	 * Returns the counters of messages and bytes on all connections to peers.
	 * @return the counters
	 */
	PeerTraffic traffic();

	@Override
	void close();

}
