package org.poplarloom.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.poplarloom.port.relay.RelayRequest;

/**
 * Splits the bytes of a stream into server-sent events.
 * <p>
 * Only complete events are passed on, so that a stream that breaks off inside an event
 * can be resumed at that event. This class is not thread-safe; the event loop guards it.
 */
final class EventBuffer {

	private static final String ID_FIELD = "id:";

	private static final String DATA_FIELD = "data";

	private final ByteBuf pending = Unpooled.buffer();

	/** Bytes after the reader index that have been searched for the end of the event. */
	private int searchedBytes;

	private boolean lineEmpty;

	/**
	 * Appends bytes to the buffer.
	 * @param content the bytes
	 * @return the events that are now complete, in their order
	 */
	List<Event> add(ByteBuf content) {
		this.pending.writeBytes(content);
		List<Event> events = new ArrayList<>();
		int end = endOfEvent();
		while (end >= 0) {
			byte[] bytes = new byte[end - this.pending.readerIndex()];
			this.pending.readBytes(bytes);
			this.searchedBytes = 0;
			this.lineEmpty = false;
			events.add(event(bytes));
			end = endOfEvent();
		}
		this.pending.discardSomeReadBytes();
		return events;
	}

	// An event ends with an empty line; a line ends with LF or CR LF.
	private int endOfEvent() {
		for (; this.searchedBytes < this.pending.readableBytes(); this.searchedBytes++) {
			byte next = this.pending.getByte(this.pending.readerIndex() + this.searchedBytes);
			if (next == '\n') {
				if (this.lineEmpty) {
					return this.pending.readerIndex() + this.searchedBytes + 1;
				}
				this.lineEmpty = true;
			}
			else if (next != '\r') {
				this.lineEmpty = false;
			}
		}
		return -1;
	}

	private static Event event(byte[] bytes) {
		String[] lines = new String(bytes, StandardCharsets.UTF_8).split("\r?\n");
		long id = id(lines);
		boolean hasData = Arrays.stream(lines).anyMatch((line) -> line.startsWith(DATA_FIELD));
		return new Event(id, bytes, id == RelayRequest.NO_EVENT && !hasData);
	}

	private static long id(String[] lines) {
		for (String line : lines) {
			if (line.startsWith(ID_FIELD)) {
				try {
					return Long.parseLong(line.substring(ID_FIELD.length()).trim());
				}
				catch (NumberFormatException ex) {
					return RelayRequest.NO_EVENT;
				}
			}
		}
		return RelayRequest.NO_EVENT;
	}

	/**
	 * Returns the size of the event that is not complete yet.
	 * @return the bytes received of it, 0 or more
	 */
	int pendingBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * A complete event.
	 *
	 * @param id its numeric id, or {@link RelayRequest#NO_EVENT} if it has none
	 * @param bytes its bytes including the empty line at the end
	 * @param isComment whether it has neither an id nor data, so that receivers ignore it
	 */
	record Event(long id, byte[] bytes, boolean isComment) {
	}

}
