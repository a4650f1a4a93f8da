package org.poplarloom.wire.connection;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the messages and bytes that this instance exchanges with its peers.
 * <p>
 * The counts never decrease. This class is thread-safe.
 */
public final class PeerTraffic {

	/** The number of bytes that framing adds to a message. */
	public static final int FRAME_HEADER_BYTES = 4;

	private final LongAdder sentMessages = new LongAdder();

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private final LongAdder droppedMessages = new LongAdder();

	void countSent(int contentBytes) {
		this.sentMessages.increment();
		this.sentBytes.add(contentBytes + FRAME_HEADER_BYTES);
	}

	void countReceived(int contentBytes) {
		this.receivedBytes.add(contentBytes + FRAME_HEADER_BYTES);
	}

	void countDropped() {
		this.droppedMessages.increment();
	}

	/**
	 * Returns the number of messages sent.
	 * @return the count, from 0
	 */
	public long sentMessages() {
		return this.sentMessages.sum();
	}

	/**
	 * Returns the number of bytes sent, including framing.
	 * @return the count, from 0
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	/**
	 * Returns the number of bytes received, including framing.
	 * @return the count, from 0
	 */
	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

	/**
	 * Returns the number of messages dropped because a peer did not keep up.
	 * @return the count, from 0
	 */
	public long droppedMessages() {
		return this.droppedMessages.sum();
	}

}
