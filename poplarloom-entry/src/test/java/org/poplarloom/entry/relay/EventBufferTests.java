package org.poplarloom.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.port.relay.RelayRequest;

/**
 * Tests for {@link EventBuffer}.
 * <p>
 * The network splits a stream at arbitrary bytes. If an incomplete event were passed on,
 * a stream that breaks off could not be resumed at that event.
 */
public class EventBufferTests {

	private static final String COMPLETE_EVENTS = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: x\n\n";

	private static final String STREAM = COMPLETE_EVENTS + "id: 4\nda";

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Test
	public void returnsCompleteEventsWhereverTheStreamIsSplit() {
		for (int chunkSize = 1; chunkSize < STREAM.length(); chunkSize++) {
			EventBuffer buffer = new EventBuffer();
			List<Long> ids = new ArrayList<>();
			StringBuilder text = new StringBuilder();
			for (int start = 0; start < STREAM.length(); start += chunkSize) {
				String chunk = STREAM.substring(start, Math.min(STREAM.length(), start + chunkSize));
				for (EventBuffer.Event event : buffer.add(Unpooled.wrappedBuffer(bytes(chunk)))) {
					ids.add(event.id());
					text.append(new String(event.bytes(), StandardCharsets.UTF_8));
				}
			}
			Assert.assertEquals(ids, List.of(1L, 2L, RelayRequest.NO_EVENT, RelayRequest.NO_EVENT));
			Assert.assertEquals(text.toString(), COMPLETE_EVENTS);
			Assert.assertEquals(buffer.pendingBytes(), STREAM.length() - COMPLETE_EVENTS.length());
		}
	}

}
