package org.poplarloom.wire.connection;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * The frames on connections between instances: a length and a message.
 * <p>
 * Until the peer has proved that it knows the peer key, only small frames are read, so
 * that a stranger cannot fill the memory. This class has no state and is thread-safe.
 */
public final class PeerFrames {

	/** The name of the decoder in the pipeline. */
	public static final String NAME = "frames";

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 32 * 1024 * 1024;

	/** Messages of the handshake have some hundred bytes. */
	private static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

	private PeerFrames() {
	}

	/**
	 * Returns a decoder for the frames of the handshake.
	 * @return the decoder, which closes the connection at a larger frame
	 */
	public static ChannelHandler ofHandshake() {
		return decoder(MAX_HANDSHAKE_FRAME_BYTES);
	}

	/**
	 * Returns a decoder for the frames of an authenticated peer.
	 * @return the decoder
	 */
	static ChannelHandler ofAuthenticatedPeer() {
		return decoder(MAX_FRAME_BYTES);
	}

	private static ChannelHandler decoder(int maxFrameBytes) {
		return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	/**
	 * Returns an encoder that writes the length before each message.
	 * @return the encoder
	 */
	public static ChannelHandler newPrepender() {
		return new LengthFieldPrepender(LENGTH_BYTES);
	}

}
