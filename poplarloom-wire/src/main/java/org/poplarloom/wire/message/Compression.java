package org.poplarloom.wire.message;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compresses parts of messages in the zlib format.
 * <p>
 * Compressed bytes of a peer fill at most the memory of one frame. This class has no
 * state and is thread-safe.
 */
final class Compression {

	/** The size of the largest frame. */
	private static final int MAX_DECOMPRESSED_BYTES = 32 * 1024 * 1024;

	private Compression() {
	}

	/**
	 * Compresses bytes with the fastest level, since instances have a fraction of a core.
	 * @param bytes the bytes
	 * @return the compressed bytes
	 * @throws IOException never, because it writes to memory
	 */
	static byte[] compress(byte[] bytes) throws IOException {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try {
			ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 4);
			try (DeflaterOutputStream output = new DeflaterOutputStream(compressed, deflater)) {
				output.write(bytes);
			}
			return compressed.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Decompresses bytes.
	 * @param compressed the compressed bytes
	 * @return the bytes
	 * @throws IOException if the bytes are damaged
	 * @throws org.poplarloom.core.PoplarloomException with code {@code bad_frame}, if the
	 * result would exceed the size of a frame
	 */
	static byte[] decompress(byte[] compressed) throws IOException {
		try (InflaterInputStream input = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
			byte[] bytes = input.readNBytes(MAX_DECOMPRESSED_BYTES + 1);
			if (bytes.length > MAX_DECOMPRESSED_BYTES) {
				throw RecordCodec.badFrame("compressed content exceeds " + MAX_DECOMPRESSED_BYTES + " bytes");
			}
			return bytes;
		}
	}

}
