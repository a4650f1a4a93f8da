package org.poplarloom.wire.connection;

/**
 * The replies to a message that has several. Implementations are thread-safe.
 */
@FunctionalInterface
public interface ReplyStream {

	/**
	 * Ends the interest in replies; the listener is not called any more.
	 */
	void close();

}
