package org.poplarloom.wire.message;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.ParallelPrefill;
import org.poplarloom.core.request.Share;
import org.poplarloom.wire.message.MessageCodec.Envelope;

/**
 * Tests for {@link MessageCodec}.
 * <p>
 * They guard against a component that is lost or takes another place when a message is
 * encoded and decoded, against failures between instances of different versions, whose
 * records have more or fewer components, and against frames damaged in transit that raise
 * an error other than {@code bad_frame}.
 */
public class MessageCodecTests {

	private static final int FUZZ_ROUNDS = 20_000;

	private static final ShardId SHARD = new ShardId(AvailabilityZone.of("gijon"), 3);

	private static final GrantRequest REQUEST = new GrantRequest("r", 2, TeamId.of("rota"), "model", 1_000, 50, 77,
			123_456, true, Set.of(EndpointId.of("e1")), LatencyTarget.untilDeadline(99),
			new ParallelPrefill(2, 3, 1.5, 9), 0x8000_0000_0000_0001L, 7);

	private static final Grant GRANT = new Grant(REQUEST, List.of(new Share(EndpointId.of("e2"), 1_050)),
			new FencingToken(99), 200_000, 30, true, 1_500);

	private static final Message.TableContent LARGE_CONTENT = content(100_000, true);

	private static Message.TableContent content(int bytes, boolean isCompressible) {
		return new Message.TableContent("t", TablePosition.of(2, 9),
				List.of(new Message.TableRecord("k", "route ".repeat(bytes / 6), TablePosition.of(1, 8))),
				isCompressible);
	}

	@DataProvider
	public static Object[] messages() {
		InstanceId instance = InstanceId.of("i1");
		Member member = new Member(instance, AvailabilityZone.of("gijon"), "127.0.0.1:1", 5, 6, true, 1.5);
		ShardStatus status = new ShardStatus(SHARD, instance, "127.0.0.1:1", 7, new HomeSummary(1, 2, 3, 4, false));
		return new Object[] { new Message.Challenge("n"), new Message.Hello(instance, "p", "n"),
				new Message.Welcome(instance, "p"), new Message.Failure(ErrorCode.NOT_HOME, "t"),
				new Message.Gossip(List.of(member), List.of(status), 8, 9, List.of("{}"),
						List.of(new CrashRegistry.Crash("f", 1, "e@b", 10,
								List.of(new CrashRegistry.Occurrence("e@b", 9)), 7, 8)),
						TablePosition.of(1, 11), TablePosition.of(1, 12), 13),
				new Message.ConfigurationFetch(3), new Message.ConfigurationContent("{}"),
				new Message.AcquireGrant(SHARD, REQUEST, "00-1-2-01", 1_234, true),
				new Message.GrantAcquired(GRANT, List.of("a"), List.of("b")),
				new Message.GrantRefused(ErrorCode.ZONE_OUT, 5), new Message.FirstToken(SHARD, "k"),
				new Message.Release(SHARD, "k", null), new Message.Release(SHARD, "k", EndpointId.of("e")),
				new Message.AnnounceGrants(SHARD, List.of(GRANT), 1_234), new Message.SegmentPrefilled(SHARD, "k", 2),
				new Message.Acknowledgement(true), new Message.TableFetch("t", TablePosition.of(2, 4), true),
				new Message.TableNotice("t", TablePosition.NONE),
				new Message.TableContent("t", TablePosition.of(2, 9),
						List.of(new Message.TableRecord("k", "v", TablePosition.of(1, 8))), true),
				LARGE_CONTENT, new Message.EndpointLeaving(EndpointId.of("i-1"), "7"),
				new Message.CrashReport("e@b", "r", List.of("p"), 5), new Message.SurvivalQuery(List.of("p", "q")),
				new Message.SurvivalReply(List.of(new Message.SurvivalReply.Age(-1), new Message.SurvivalReply.Age(20)),
						List.of(new Message.SurvivalReply.Count(0), new Message.SurvivalReply.Count(3))),
				new Message.VersionQuery("p"), new Message.VersionReply(1, 2, true, 3),
				new Message.Heartbeat(1, 2, 3, 4, List.of(new Message.ShardLoad(5, new HomeSummary(1, 2, 3, 4, true))),
						TablePosition.of(0, 6), TablePosition.of(0, 7),
						new Message.TableCopies(true, 900, 20, TablePosition.of(0, 8)), 9),
				new Message.Heartbeat(1, 2, 3, 4, List.of(), TablePosition.of(0, 6), TablePosition.of(0, 7), null, 0),
				new Message.ForwardRequest("k", "POST", "/a?b", List.of(new Message.Header("h", "v")),
						new Bytes(new byte[] { 1, -1 }), 900, -1, 2, Set.of(EndpointId.of("e")), 7),
				new Message.ForwardedHead(200, "OK", List.of()), new Message.ForwardedContent(new Bytes(new byte[3])),
				new Message.ForwardedEnd(true),
				new Message.ForwardedAnswer(200, "OK", List.of(), new Bytes(new byte[0])),
				new Message.ForwardedRefusal(ErrorCode.NOT_READY, Executed.NO, "t", 5),
				new Message.ForwardCredit("k", 9), new Message.ForwardCancel("k") };
	}

	@Test(dataProvider = "messages")
	public void messageIsUnchangedAfterWritingAndReading(Message message) {
		Envelope envelope = new Envelope(42, true, message);
		Assert.assertEquals(MessageCodec.read(MessageCodec.write(envelope)), envelope);
	}

	/**
	 * Guards against a configuration that takes a second on the reader's link, because
	 * all members of its zone fetch it at once, and against an instance of an earlier
	 * version that is sent a message which it cannot read.
	 */
	@Test
	public void onlyLargeContentForReceiversThatCanReadItIsCompressed() {
		Assert.assertTrue(sizeOf(LARGE_CONTENT) < 10_000, "size " + sizeOf(LARGE_CONTENT));
		Assert.assertTrue(sizeOf(content(100_000, false)) > 99_000);
		Assert.assertTrue(sizeOf(content(3_600, true)) > 3_600);
	}

	private static int sizeOf(Message message) {
		return MessageCodec.write(new Envelope(0, true, message)).length;
	}

	/** Guards against a small frame that fills the memory once it is decompressed. */
	@Test(expectedExceptions = PoplarloomException.class, expectedExceptionsMessageRegExp = ".*exceeds.*")
	public void contentThatExceedsAFrameOnceItIsDecompressedIsRefused() throws IOException {
		Compression.decompress(Compression.compress(new byte[33 * 1024 * 1024]));
	}

	/** docs/CAPACITY.md counts on its size. */
	@Test
	public void theNoticeOfALeavingEndpointHas33Bytes() {
		Message notice = new Message.EndpointLeaving(EndpointId.of("i-2be14884"), "1796469953294");
		Assert.assertEquals(MessageCodec.write(new Envelope(0, false, notice)).length, 33);
	}

	@Test
	public void unknownFieldsAreSkippedAndMissingFieldsTakeDefaults() throws IOException {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(5).packInt(MessageCodec.VERSION).packInt(10).packLong(0).packBoolean(false);
			packer.packMapHeader(2).packInt(1).packString("k").packInt(9).packArrayHeader(1).packString("new");
			Envelope envelope = MessageCodec.read(packer.toByteArray());
			Assert.assertEquals(envelope.message(), new Message.FirstToken(null, "k"));
		}
	}

	@Test(dataProvider = "messages")
	public void damagedFrameIsReadOrFailsWithBadFrame(Message message) {
		Random random = new Random(3);
		byte[] encoded = MessageCodec.write(new Envelope(1, false, message));
		for (int round = 0; round < FUZZ_ROUNDS / 16; round++) {
			byte[] damaged = encoded.clone();
			damaged[random.nextInt(damaged.length)] = (byte) random.nextInt(256);
			byte[] truncated = Arrays.copyOf(damaged, random.nextInt(damaged.length + 1));
			try {
				MessageCodec.read(truncated);
			}
			catch (PoplarloomException ex) {
				Assert.assertEquals(ex.code(), ErrorCode.BAD_FRAME);
			}
		}
	}

}
