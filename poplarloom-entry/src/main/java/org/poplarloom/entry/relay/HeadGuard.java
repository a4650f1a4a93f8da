package org.poplarloom.entry.relay;

/**
 * Decides what the heads of one connection's requests may hold.
 * <p>
 * An implementation belongs to one connection; the connection's event loop guards it.
 */
interface HeadGuard {

	/**
	 * Returns how long the header lines of a request may be together, and the empty lines
	 * before it.
	 * @return the limit in force, in bytes
	 */
	int maxHeaderBytes();

	/**
	 * Notes that the first byte of a request has arrived; empty lines are none.
	 */
	void beginHead();

	/**
	 * Counts the memory of the head that is being read, or of the trailers.
	 * @param bytes the memory that it holds now, in bytes
	 * @throws org.poplarloom.core.PoplarloomException if the request is refused as there
	 * is too little memory
	 */
	void hold(long bytes);

}
