package org.poplarloom.wire.connection;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.poplarloom.wire.message.Message;

/**
 * Counts the messages and bytes that this instance exchanges with its peers.
 * <p>
 * The counts never decrease. This class is thread-safe.
 */
public final class PeerTraffic {

	/** The number of bytes that framing adds to a message. */
	public static final int FRAME_HEADER_BYTES = 4;

	private final Map<Class<? extends Message>, SentCounters> sent = new ConcurrentHashMap<>();

	private final LongAdder receivedBytes = new LongAdder();

	private final LongAdder droppedMessages = new LongAdder();

	void countSent(Class<? extends Message> kind, int contentBytes) {
		SentCounters counters = this.sent.get(kind);
		if (counters == null) {
			counters = this.sent.computeIfAbsent(kind, (key) -> new SentCounters(new LongAdder(), new LongAdder()));
		}
		counters.messages.increment();
		counters.bytes.add(contentBytes + FRAME_HEADER_BYTES);
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
		return this.sent.values().stream().mapToLong((counters) -> counters.messages.sum()).sum();
	}

	/**
	 * Returns the number of bytes sent, including framing.
	 * @return the count, from 0
	 */
	public long sentBytes() {
		return this.sent.values().stream().mapToLong((counters) -> counters.bytes.sum()).sum();
	}

	/**
	 * Returns the messages sent so far.
	 * @return the counts by the simple name of the message's class, sorted; a kind that
	 * was never sent is missing
	 */
	public Map<String, Sent> sentByKind() {
		Map<String, Sent> byKind = new TreeMap<>();
		this.sent.forEach((kind, counters) -> byKind.put(kind.getSimpleName(),
				new Sent(counters.messages.sum(), counters.bytes.sum())));
		return byKind;
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

	/**
	 * The messages of one kind that were sent.
	 *
	 * @param messages their number
	 * @param bytes their size in bytes, including framing
	 */
	public record Sent(long messages, long bytes) {
	}

	private record SentCounters(LongAdder messages, LongAdder bytes) {
	}

}
