package org.poplarloom.wire.message;

import java.io.IOException;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes envelopes as the content of frames and decodes them.
 * <p>
 * The content is an array of protocol version, message type, correlation id, reply flag
 * and the message's fields. Large table content is compressed, if the receiver can read
 * that. A frame that cannot be decoded completely is refused. This class is thread-safe.
 */
public final class MessageCodec {

	/** The protocol version, which must be equal at both sides. */
	public static final int VERSION = 1;

	private static final int ENVELOPE_FIELDS = 5;

	/**
	 * In the place of the message type, it marks compressed table content. The fields are
	 * then the binary form of the compressed fields.
	 */
	private static final int COMPRESSED_TABLE_CONTENT = 1_000;

	/** Smaller content is sent faster than it is compressed. */
	private static final int MIN_COMPRESSED_BYTES = 4 * 1024;

	/**
	 * Message types by the number that stands for them in a frame. A type keeps its
	 * number; new types are added at the end.
	 */
	private static final List<Class<? extends Message>> TYPES = List.of(Message.Challenge.class, Message.Hello.class,
			Message.Welcome.class, Message.Failure.class, Message.Gossip.class, Message.ConfigurationFetch.class,
			Message.ConfigurationContent.class, Message.AcquireGrant.class, Message.GrantAcquired.class,
			Message.GrantRefused.class, Message.FirstToken.class, Message.Release.class, Message.AnnounceGrants.class,
			Message.VersionQuery.class, Message.VersionReply.class, Message.Heartbeat.class,
			Message.SegmentPrefilled.class, Message.Acknowledgement.class, Message.TableFetch.class,
			Message.TableContent.class, Message.TableNotice.class, Message.CrashReport.class,
			Message.SurvivalQuery.class, Message.SurvivalReply.class, Message.EndpointLeaving.class,
			Message.ForwardRequest.class, Message.ForwardedHead.class, Message.ForwardedContent.class,
			Message.ForwardedEnd.class, Message.ForwardedAnswer.class, Message.ForwardedRefusal.class,
			Message.ForwardCredit.class, Message.ForwardCancel.class);

	/** The same content is sent to all members of a zone in turn. */
	private static volatile Compressed lastCompressed = new Compressed(null, null);

	private MessageCodec() {
	}

	/**
	 * Writes an envelope.
	 * @param envelope the envelope
	 * @return the content of a frame
	 */
	public static byte[] write(Envelope envelope) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(ENVELOPE_FIELDS);
			packer.packInt(VERSION);
			byte[] compressed = compressedFields(envelope.message());
			packer.packInt(
					(compressed != null) ? COMPRESSED_TABLE_CONTENT : TYPES.indexOf(envelope.message().getClass()));
			packer.packLong(envelope.correlationId());
			packer.packBoolean(envelope.isReply());
			if (compressed != null) {
				packer.packBinaryHeader(compressed.length);
				packer.writePayload(compressed);
			}
			else {
				RecordCodec.write(packer, envelope.message());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw RecordCodec.badFrame("message cannot be written: " + ex.getMessage());
		}
	}

	// Returns null if the message is to be written as it is.
	private static byte[] compressedFields(Message message) throws IOException {
		if (!(message instanceof Message.TableContent content) || !content.isCompressible()) {
			return null;
		}
		Compressed last = lastCompressed;
		if (last.content == content) {
			return last.fields;
		}
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			RecordCodec.write(packer, content);
			byte[] fields = packer.toByteArray();
			if (fields.length <= MIN_COMPRESSED_BYTES) {
				return null;
			}
			Compressed compressed = new Compressed(content, Compression.compress(fields));
			lastCompressed = compressed;
			return compressed.fields;
		}
	}

	/**
	 * Reads an envelope.
	 * @param frame the content of a frame
	 * @return the envelope
	 * @throws org.poplarloom.core.PoplarloomException with code {@code bad_frame}, if the
	 * frame cannot be decoded or has another version
	 */
	public static Envelope read(byte[] frame) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
			int fieldCount = unpacker.unpackArrayHeader();
			int version = unpacker.unpackInt();
			int type = unpacker.unpackInt();
			boolean isCompressed = type == COMPRESSED_TABLE_CONTENT;
			boolean isKnown = isCompressed || (type >= 0 && type < TYPES.size());
			if (fieldCount < ENVELOPE_FIELDS || version != VERSION || !isKnown) {
				throw RecordCodec.badFrame("unsupported frame: version " + version + ", message type " + type + ", "
						+ fieldCount + " fields");
			}
			long correlationId = unpacker.unpackLong();
			boolean isReply = unpacker.unpackBoolean();
			return new Envelope(correlationId, isReply, isCompressed ? readCompressed(unpacker, frame.length)
					: RecordCodec.read(unpacker, TYPES.get(type)));
		}
		catch (IOException | MessagePackException ex) {
			throw RecordCodec.badFrame("frame cannot be read: " + ex.getMessage());
		}
	}

	private static Message readCompressed(MessageUnpacker unpacker, int frameBytes) throws IOException {
		int bytes = unpacker.unpackBinaryHeader();
		if (bytes > frameBytes) {
			throw RecordCodec.badFrame("compressed content of " + bytes + " bytes in a frame of " + frameBytes);
		}
		byte[] fields = Compression.decompress(unpacker.readPayload(bytes));
		try (MessageUnpacker content = MessagePack.newDefaultUnpacker(fields)) {
			return RecordCodec.read(content, Message.TableContent.class);
		}
	}

	/**
	 * Table content and its compressed fields.
	 */
	private record Compressed(Message.TableContent content, byte[] fields) {
	}

	/**
	 * A message and the request that it belongs to.
	 *
	 * @param correlationId matches a reply to its request, 0 if no reply is expected
	 * @param isReply whether the message is a reply
	 * @param message the message
	 */
	public record Envelope(long correlationId, boolean isReply, Message message) {
	}

}
