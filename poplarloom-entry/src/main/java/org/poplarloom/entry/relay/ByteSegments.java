package org.poplarloom.entry.relay;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Bytes in the order of their arrival, in segments of a fixed size.
 * <p>
 * The memory allocated exceeds the bytes held by less than a segment, unlike that of an
 * array that doubles when it is full. This class is not thread-safe; the event loop
 * guards it.
 */
final class ByteSegments {

	static final int SEGMENT_BYTES = 4_096;

	private final Deque<byte[]> segments = new ArrayDeque<>();

	private int lastLength;

	private int sizeBytes;

	/**
	 * Returns the number of bytes held.
	 * @return bytes, 0 or more
	 */
	int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Returns the memory that is allocated after a number of bytes is appended.
	 * @param addedBytes the number of bytes, 0 for the memory allocated now
	 * @return bytes, 0 or more
	 */
	long allocatedBytes(int addedBytes) {
		int used = this.segments.isEmpty() ? 0 : (this.segments.size() - 1) * SEGMENT_BYTES + this.lastLength;
		return (long) ((used + addedBytes + SEGMENT_BYTES - 1) / SEGMENT_BYTES) * SEGMENT_BYTES;
	}

	/**
	 * Appends bytes.
	 * @param content the bytes, which are read from it
	 */
	void append(ByteBuf content) {
		while (content.isReadable()) {
			if (this.segments.isEmpty() || this.lastLength == SEGMENT_BYTES) {
				this.segments.addLast(new byte[SEGMENT_BYTES]);
				this.lastLength = 0;
			}
			int copied = Math.min(SEGMENT_BYTES - this.lastLength, content.readableBytes());
			content.readBytes(this.segments.peekLast(), this.lastLength, copied);
			this.lastLength += copied;
			this.sizeBytes += copied;
		}
	}

	void append(byte[] content) {
		append(Unpooled.wrappedBuffer(content));
	}

	/**
	 * Removes the bytes of the first segment.
	 * @return the bytes, empty if none are held
	 */
	byte[] poll() {
		if (this.segments.isEmpty()) {
			return new byte[0];
		}
		int end = (this.segments.size() == 1) ? this.lastLength : SEGMENT_BYTES;
		byte[] first = Arrays.copyOf(this.segments.removeFirst(), end);
		this.sizeBytes -= first.length;
		return first;
	}

	/**
	 * Removes all bytes.
	 * @return the bytes
	 */
	byte[] pollAll() {
		byte[] all = new byte[this.sizeBytes];
		int length = 0;
		while (this.sizeBytes > 0) {
			byte[] next = poll();
			System.arraycopy(next, 0, all, length, next.length);
			length += next.length;
		}
		clear();
		return all;
	}

	void clear() {
		this.segments.clear();
		this.lastLength = 0;
		this.sizeBytes = 0;
	}

}
