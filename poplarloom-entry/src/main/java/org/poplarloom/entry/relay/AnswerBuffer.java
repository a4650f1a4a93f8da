package org.poplarloom.entry.relay;

import java.util.function.Consumer;

import org.poplarloom.core.process.MemoryBudget;

/**
 * The bytes of one answer that have been read from the endpoint and that the caller has
 * not taken yet.
 * <p>
 * Bytes leave it in the order in which they were appended. Its memory counts in the
 * budget of the process. This class is not thread-safe; the event loop guards it.
 */
final class AnswerBuffer {

	private static final long NOT_SLOW = Long.MAX_VALUE;

	private final AnswerBuffers buffers;

	private final String caller;

	private final MemoryBudget.Share memory;

	private final Consumer<Boolean> reading;

	private final ByteSegments bytes = new ByteSegments();

	private boolean paused;

	private long pausedSinceMillis;

	private long filledSinceMillis = NOT_SLOW;

	private long slowMillis;

	private long pausedMillis;

	private int maxBytes;

	/**
	 * Opens a buffer that is empty.
	 * @param buffers the buffers of all answers
	 * @param caller identifies the caller
	 * @param memory the share that the buffer resizes, and closes at the end
	 * @param reading is told whether to read the answer from the endpoint
	 */
	AnswerBuffer(AnswerBuffers buffers, String caller, MemoryBudget.Share memory, Consumer<Boolean> reading) {
		this.buffers = buffers;
		this.caller = caller;
		this.memory = memory;
		this.reading = reading;
		buffers.open(this);
	}

	String caller() {
		return this.caller;
	}

	int sizeBytes() {
		return this.bytes.sizeBytes();
	}

	boolean isEmpty() {
		return this.bytes.sizeBytes() == 0;
	}

	/**
	 * Appends bytes, and pauses the answer if there is no room for more.
	 * @param content the bytes
	 * @return false if the memory budget has too little left; nothing is appended then
	 */
	boolean append(byte[] content) {
		long allocated = this.bytes.allocatedBytes(content.length);
		long addedBytes = allocated - this.memory.sizeBytes();
		if (!this.memory.tryResize(allocated)) {
			return false;
		}
		this.buffers.addHeld(addedBytes);
		this.bytes.append(content);
		this.maxBytes = Math.max(this.maxBytes, this.bytes.sizeBytes());
		this.filledSinceMillis = Math.min(this.filledSinceMillis, this.buffers.nowMillis());
		if (!this.paused && !this.buffers.mayRead(this)) {
			this.paused = true;
			this.pausedSinceMillis = this.buffers.nowMillis();
			this.buffers.pause(this);
			this.reading.accept(false);
		}
		return true;
	}

	/**
	 * Removes some bytes, and reads the answer on once there is room again.
	 * @return the bytes, empty if the buffer is empty
	 */
	byte[] poll() {
		byte[] next = this.bytes.poll();
		resizeTo(this.bytes.allocatedBytes(0));
		if (isEmpty()) {
			endSlowPeriod();
			if (this.paused) {
				this.buffers.resume(this);
				takeTurn();
			}
		}
		this.buffers.serveTurns();
		return next;
	}

	private void resizeTo(long allocated) {
		this.buffers.addHeld(allocated - this.memory.sizeBytes());
		this.memory.tryResize(allocated);
	}

	private void endSlowPeriod() {
		if (this.filledSinceMillis != NOT_SLOW) {
			this.slowMillis += this.buffers.nowMillis() - this.filledSinceMillis;
			this.filledSinceMillis = NOT_SLOW;
		}
	}

	/**
	 * Reads the answer on; the buffers no longer count it as paused.
	 */
	void takeTurn() {
		this.paused = false;
		this.pausedMillis += this.buffers.nowMillis() - this.pausedSinceMillis;
		this.reading.accept(true);
	}

	/**
	 * Drops all bytes and releases the memory; has no effect when repeated.
	 */
	void close() {
		this.bytes.clear();
		resizeTo(0);
		endSlowPeriod();
		this.paused = false;
		this.buffers.close(this);
	}

	boolean isSlow(long nowMillis) {
		return this.filledSinceMillis != NOT_SLOW && nowMillis - this.filledSinceMillis >= AnswerBuffers.SLOW_MILLIS;
	}

	boolean isPaused() {
		return this.paused;
	}

	long pausedSinceMillis() {
		return this.pausedSinceMillis;
	}

	/**
	 * Describes how the caller has read, for the log.
	 * @return empty if the caller has never left bytes unread for long
	 */
	String describe() {
		if (this.slowMillis < AnswerBuffers.SLOW_MILLIS) {
			return "";
		}
		return "slow_ms=" + this.slowMillis + " paused_ms=" + this.pausedMillis + " buffered_bytes=" + this.maxBytes;
	}

}
