package org.poplarloom.entry.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.poplarloom.port.relay.RelayRequest;

/**
 * Divides the bytes of a stream into events.
 * <p>
 * Only whole events leave the buffer, so that a stream that breaks off inside an event
 * can go on with that event. This class is not thread-safe; the event loop guards it.
 */
final class EventBuffer {

	private static final String ID = "id:";

	private final ByteBuf pending = Unpooled.buffer();

	/**
	 * Adds bytes.
	 * @param content the bytes
	 * @return the events that are whole now
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

	// An event ends with an empty line; lines may end with a carriage return as well.
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
			if (line.startsWith(ID)) {
				try {
					return Long.parseLong(line.substring(ID.length()).trim());
				}
				catch (NumberFormatException ex) {
					return RelayRequest.NO_EVENT;
				}
			}
		}
		return RelayRequest.NO_EVENT;
	}

	/**
	 * Returns the bytes behind the last whole event.
	 * @return the bytes, which leave the buffer
	 */
	byte[] rest() {
		ByteArrayOutputStream rest = new ByteArrayOutputStream();
		while (this.pending.isReadable()) {
			rest.write(this.pending.readByte());
		}
		return rest.toByteArray();
	}

	/**
	 * A whole event.
	 *
	 * @param id its number, or {@link RelayRequest#NO_EVENT}
	 * @param bytes its bytes with the empty line at the end
	 */
	record Event(long id, byte[] bytes) {
	}

}
