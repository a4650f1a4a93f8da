package org.poplarloom.entry.relay;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.MemoryBudget;

/**
 * The buffers of all answers whose callers read slowly, and the decision which answers
 * are read on from their endpoints.
 * <p>
 * An answer is read while its buffer and all buffers together have room. A paused answer
 * goes on when its buffer is empty, so that a caller that keeps up never waits for
 * others; the rest go on in the order in which they were paused, one read each, as room
 * becomes available. The last part of the capacity is only for answers that their
 * endpoints have seen unread for some time. What the connections to callers have taken
 * and not sent yet counts as well. The room is shared among the next reads of all
 * answers, so the capacity is exceeded by at most the smallest read of each; the memory
 * budget limits that too. This class is not thread-safe; the event loop guards it.
 */
public final class AnswerBuffers {

	/** How often answers that are paused are given their turn. */
	static final long TURN_INTERVAL_MILLIS = 250;

	/**
	 * An answer that was paused for so long is read in its turn: with the interval above,
	 * its endpoint sees it unread for less than 1 s.
	 */
	private static final long TURN_WAIT_MILLIS = 500;

	/** The most that one read of a connection brings. */
	static final int READ_BYTES = 64 * 1024;

	/**
	 * The least that one read brings while the buffers are full, so that callers that
	 * keep up are served.
	 */
	static final int MIN_READ_BYTES = 2 * 1024;

	/** A caller that leaves bytes unread for longer reads slowly. */
	static final long SLOW_MILLIS = 1_000;

	/** Slow callers free a buffer of 1 MB within some seconds, or when they time out. */
	private static final long RETRY_AFTER_MILLIS = 2_000;

	private static final int MAX_BYTES_PER_ANSWER = 1024 * 1024;

	/** All buffers together hold one part in so many of the memory. */
	private static final int BUDGET_DIVISOR = 4;

	/** One part in so many of the capacity is kept for answers paused for long. */
	private static final int TURN_DIVISOR = 8;

	private final long capacityBytes;

	private final int maxBytesPerAnswer;

	private final LongSupplier nowMillis;

	private final Set<AnswerBuffer> open = new HashSet<>();

	private final Set<AnswerBuffer> paused = new LinkedHashSet<>();

	private long heldBytes;

	private long cutOffCount;

	AnswerBuffers(long capacityBytes, int maxBytesPerAnswer, LongSupplier nowMillis) {
		this.capacityBytes = capacityBytes;
		this.maxBytesPerAnswer = maxBytesPerAnswer;
		this.nowMillis = nowMillis;
	}

	/**
	 * Returns buffers without room: an answer is read only while its caller takes it.
	 * @param nowMillis supplies the time in milliseconds
	 * @return the buffers
	 */
	public static AnswerBuffers withoutRoom(LongSupplier nowMillis) {
		return new AnswerBuffers(0, 0, nowMillis);
	}

	/**
	 * Returns buffers with a part of the memory.
	 * @param memory the memory for callers and endpoints
	 * @param nowMillis supplies the time in milliseconds
	 * @return the buffers
	 */
	public static AnswerBuffers ofBudget(MemoryBudget memory, LongSupplier nowMillis) {
		return new AnswerBuffers(memory.capacityBytes() / BUDGET_DIVISOR, MAX_BYTES_PER_ANSWER, nowMillis);
	}

	/**
	 * Returns whether answers are read on while their callers read slowly.
	 * @return false if the buffers have no room
	 */
	boolean hasRoomForAny() {
		return this.capacityBytes > 0;
	}

	long nowMillis() {
		return this.nowMillis.getAsLong();
	}

	void open(AnswerBuffer buffer) {
		this.open.add(buffer);
	}

	void close(AnswerBuffer buffer) {
		this.open.remove(buffer);
		this.paused.remove(buffer);
		serveTurns();
	}

	void addHeld(long addedBytes) {
		this.heldBytes += addedBytes;
	}

	/**
	 * Returns the most that the next read of an answer may bring.
	 * @return bytes
	 */
	public int maxReadBytes() {
		if (this.open.isEmpty()) {
			return READ_BYTES;
		}
		long room = (this.capacityBytes - this.heldBytes) / this.open.size();
		return (int) Math.max(MIN_READ_BYTES, Math.min(READ_BYTES, room));
	}

	boolean mayRead(AnswerBuffer buffer) {
		return buffer.sizeBytes() < this.maxBytesPerAnswer && this.heldBytes < pauseBytes();
	}

	private long pauseBytes() {
		return this.capacityBytes - this.capacityBytes / TURN_DIVISOR;
	}

	void pause(AnswerBuffer buffer) {
		this.paused.add(buffer);
	}

	void resume(AnswerBuffer buffer) {
		this.paused.remove(buffer);
	}

	/**
	 * Resumes the answers that were paused first, as far as there is room for one read of
	 * each.
	 */
	void serveTurns() {
		long room = this.capacityBytes - this.heldBytes;
		if (this.paused.isEmpty() || room < READ_BYTES) {
			return;
		}
		long now = nowMillis();
		for (AnswerBuffer buffer : List.copyOf(this.paused)) {
			if (room < READ_BYTES) {
				return;
			}
			boolean hasWaited = now - buffer.pausedSinceMillis() >= TURN_WAIT_MILLIS;
			if (buffer.sizeBytes() < this.maxBytesPerAnswer && (hasWaited || this.heldBytes < pauseBytes())) {
				this.paused.remove(buffer);
				buffer.takeTurn();
				room -= READ_BYTES;
			}
		}
	}

	/**
	 * Requires that a caller may start a stream: one that reads most of its streams
	 * slowly may not while the buffers are full.
	 * @param caller identifies the caller
	 * @throws PoplarloomException if it may not
	 */
	void requireRoom(String caller) {
		if (!hasRoomForAny() || this.heldBytes < pauseBytes()) {
			return;
		}
		long now = nowMillis();
		int streams = 0;
		int slow = 0;
		for (AnswerBuffer buffer : this.open) {
			if (buffer.caller().equals(caller)) {
				streams++;
				slow += buffer.isSlow(now) ? 1 : 0;
			}
		}
		if (slow > 0 && slow * 2 >= streams) {
			throw new PoplarloomException(ErrorCode.INSTANCE_BUSY, Executed.NO,
					"buffers are full and " + slow + " of " + streams + " streams of this caller are read slowly",
					RETRY_AFTER_MILLIS);
		}
	}

	void recordCutOff() {
		this.cutOffCount++;
	}

	/**
	 * Returns the memory that all buffers hold.
	 * @return bytes, 0 or more
	 */
	public long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the number of answers that are not read since there is no room for them.
	 * @return a number from 0
	 */
	public long pausedCount() {
		return this.paused.size();
	}

	/**
	 * Returns the number of answers whose callers read slowly.
	 * @return a number from 0
	 */
	public long slowCount() {
		long now = nowMillis();
		return this.open.stream().filter((buffer) -> buffer.isSlow(now)).count();
	}

	/**
	 * Returns how many answers were cut off because their callers read too slowly.
	 * @return a number from 0
	 */
	public long cutOffCount() {
		return this.cutOffCount;
	}

}
