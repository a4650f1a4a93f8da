package org.poplarloom.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.MemoryBudget;

/**
 * Tests for {@link AnswerBuffers}: memory without bound, endpoints that are left unread,
 * and slow callers that take the room of others.
 */
public class AnswerBufferTests {

	private static final int READ = AnswerBuffers.READ_BYTES;

	private static final int MAX_PER_ANSWER = 4 * READ;

	private static final long CAPACITY = 16L * READ;

	private static final byte[] ONE_READ = new byte[READ];

	private final AtomicLong nowMillis = new AtomicLong();

	private MemoryBudget memory;

	private AnswerBuffers buffers;

	@BeforeMethod
	public void create() {
		this.nowMillis.set(0);
		this.memory = new MemoryBudget(4 * CAPACITY);
		this.buffers = new AnswerBuffers(CAPACITY, MAX_PER_ANSWER, this.nowMillis::get);
	}

	private List<Answer> answers(int count) {
		List<Answer> answers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			answers.add(new Answer("caller-" + i));
		}
		return answers;
	}

	/** Guards against an endpoint that is cut off because its caller pauses. */
	@Test
	public void oneSlowCallerLeavesItsEndpointUnreadOnlyWhenItsBufferIsFull() {
		Answer answer = new Answer("a");
		int reads = 0;
		while (answer.readIfAllowed()) {
			reads++;
		}
		Assert.assertEquals(reads, MAX_PER_ANSWER / READ);
		answer.buffer.poll();
		this.buffers.serveTurns();
		Assert.assertTrue(answer.isRead, "there is room again");
	}

	/**
	 * Guards against endpoints that see their answers unread for more than 1 s while
	 * callers still take some bytes, and against buffers that grow beyond their part of
	 * the memory.
	 */
	@Test
	public void manySlowCallersLeaveNoEndpointUnreadForASecond() {
		List<Answer> answers = answers(20);
		long most = 0;
		long longestMillis = 0;
		for (int tick = 0; tick < 200; tick++) {
			for (Answer answer : answers) {
				answer.readIfAllowed();
				longestMillis = Math.max(longestMillis, answer.unreadMillis());
				most = Math.max(most, this.buffers.heldBytes());
				// 80 KB/s, somewhat more than one read each second.
				answer.buffer.poll();
				answer.buffer.poll();
			}
			this.nowMillis.addAndGet(100);
			this.buffers.serveTurns();
		}
		Assert.assertTrue(longestMillis <= 1_000, longestMillis + " ms");
		Assert.assertTrue(most <= CAPACITY + 20L * READ, most + " bytes");
	}

	/** Guards against memory that grows by one read in each turn of each answer. */
	@Test
	public void callersThatTakeNothingHoldNoMoreThanTheCapacityAndOneReadEach() {
		List<Answer> answers = answers(200);
		for (int tick = 0; tick < 400; tick++) {
			answers.forEach(Answer::readIfAllowed);
			this.nowMillis.addAndGet(AnswerBuffers.TURN_INTERVAL_MILLIS);
			this.buffers.serveTurns();
		}
		long most = CAPACITY + 200L * READ;
		Assert.assertTrue(this.buffers.heldBytes() <= most, this.buffers.heldBytes() + " bytes");
		Assert.assertEquals(this.memory.heldBytes(), this.buffers.heldBytes());
		answers.forEach((answer) -> answer.buffer.close());
		Assert.assertEquals(this.memory.heldBytes(), 0);
		Assert.assertEquals(this.buffers.pausedCount(), 0);
	}

	/**
	 * Guards against memory that grows by one whole read of each answer when many callers
	 * that do not read start together.
	 */
	@Test
	public void readsOfManyAnswersShareTheRoom() {
		List<Answer> answers = answers(200);
		for (int tick = 0; tick < 400; tick++) {
			answers.forEach((answer) -> answer.readIfAllowed(this.buffers.maxReadBytes()));
			this.nowMillis.addAndGet(AnswerBuffers.TURN_INTERVAL_MILLIS);
			this.buffers.serveTurns();
		}
		long most = CAPACITY + 200L * ByteSegments.SEGMENT_BYTES;
		Assert.assertTrue(this.buffers.heldBytes() <= most, this.buffers.heldBytes() + " bytes");
		Assert.assertTrue(this.buffers.heldBytes() > CAPACITY / 2, this.buffers.heldBytes() + " bytes");
	}

	/** Guards against a quick caller that waits for room that slow ones hold. */
	@Test
	public void aQuickCallerGoesOnBesideFullBuffers() {
		answers(40).forEach((answer) -> {
			while (answer.readIfAllowed()) {
				continue;
			}
		});
		Answer quick = new Answer("quick");
		Assert.assertTrue(quick.readIfAllowed());
		while (!quick.buffer.isEmpty()) {
			quick.buffer.poll();
		}
		Assert.assertTrue(quick.isRead);
	}

	/**
	 * Guards against a caller that reads all of its streams slowly and takes more and
	 * more of the memory, and against a refusal of others.
	 */
	@Test
	public void onlyACallerThatReadsSlowlyIsRefusedWhileTheBuffersAreFull() {
		for (int i = 0; i < 8; i++) {
			Answer answer = new Answer("slow");
			while (answer.readIfAllowed()) {
				continue;
			}
		}
		this.buffers.requireRoom("slow");
		this.nowMillis.addAndGet(AnswerBuffers.SLOW_MILLIS);
		PoplarloomException refusal = Assert.expectThrows(PoplarloomException.class,
				() -> this.buffers.requireRoom("slow"));
		Assert.assertEquals(refusal.code(), ErrorCode.INSTANCE_BUSY);
		this.buffers.requireRoom("quick");
	}

	/** Guards against bytes that are lost, doubled or reordered between segments. */
	@Test
	public void bytesLeaveInTheirOrder() {
		ByteSegments segments = new ByteSegments();
		StringBuilder expected = new StringBuilder();
		StringBuilder polled = new StringBuilder();
		for (int i = 0; i < 3_000; i++) {
			String text = "event " + i + ";";
			expected.append(text);
			segments.append(text.getBytes(StandardCharsets.US_ASCII));
			if (i % 700 == 0) {
				polled.append(new String(segments.poll(), StandardCharsets.US_ASCII));
			}
			Assert.assertTrue(segments.allocatedBytes(0) < segments.sizeBytes() + ByteSegments.SEGMENT_BYTES);
		}
		polled.append(new String(segments.pollAll(), StandardCharsets.US_ASCII));
		Assert.assertEquals(polled.toString(), expected.toString());
		Assert.assertEquals(segments.allocatedBytes(0), 0);
	}

	/** An answer whose endpoint sends without end. */
	private final class Answer {

		private boolean isRead = true;

		private long unreadSinceMillis;

		private final AnswerBuffer buffer;

		Answer(String caller) {
			this.buffer = new AnswerBuffer(AnswerBufferTests.this.buffers, caller,
					AnswerBufferTests.this.memory.openShare(), (isReading) -> {
						this.isRead = isReading;
						this.unreadSinceMillis = AnswerBufferTests.this.nowMillis.get();
					});
		}

		long unreadMillis() {
			return this.isRead ? 0 : AnswerBufferTests.this.nowMillis.get() - this.unreadSinceMillis;
		}

		boolean readIfAllowed() {
			return readIfAllowed(READ);
		}

		boolean readIfAllowed(int bytes) {
			return this.isRead && this.buffer.append(Arrays.copyOf(ONE_READ, bytes));
		}

	}

}
