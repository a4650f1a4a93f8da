package org.poplarloom.entry.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

	private final ByteBuf pending = Unpooled.buffer();

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
			events.add(new Event(id(bytes), bytes));
			end = endOfEvent();
		}
		this.pending.discardSomeReadBytes();
		return events;
	}

	// An event ends with an empty line; a line ends with LF or CR LF.
	private int endOfEvent() {
		boolean isLineEmpty = false;
		for (int i = this.pending.readerIndex(); i < this.pending.writerIndex(); i++) {
			byte next = this.pending.getByte(i);
			if (next == '\n') {
				if (isLineEmpty) {
					return i + 1;
				}
				isLineEmpty = true;
			}
			else if (next != '\r') {
				isLineEmpty = false;
			}
		}
		return -1;
	}

	private static long id(byte[] event) {
		for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
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
	 * Returns and removes the bytes after the last complete event.
	 * @return the bytes, empty if there are none
	 */
	byte[] drainRemainder() {
		ByteArrayOutputStream remainder = new ByteArrayOutputStream();
		while (this.pending.isReadable()) {
			remainder.write(this.pending.readByte());
		}
		return remainder.toByteArray();
	}

	/**
	 * A complete event.
	 *
	 * @param id its numeric id, or {@link RelayRequest#NO_EVENT} if it has none
	 * @param bytes its bytes including the empty line at the end
	 */
	record Event(long id, byte[] bytes) {
	}

}
