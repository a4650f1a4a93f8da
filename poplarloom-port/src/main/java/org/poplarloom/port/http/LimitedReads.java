package org.poplarloom.port.http;

import java.util.function.IntSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Sizes the buffers for reads of a connection as Netty does, up to a limit that may
 * change with each read. This class is thread-safe if the limit is.
 */
final class LimitedReads extends AdaptiveRecvByteBufAllocator {

	private final IntSupplier maxBytes;

	/**
	 * Creates an allocator of buffers.
	 * @param maxBytes supplies the most that the next read may bring, in bytes, 1 or more
	 */
	LimitedReads(IntSupplier maxBytes) {
		this.maxBytes = maxBytes;
	}

	@Override
	@SuppressWarnings("deprecation")
	public RecvByteBufAllocator.Handle newHandle() {
		return new RecvByteBufAllocator.DelegatingHandle(super.newHandle()) {

			@Override
			public ByteBuf allocate(ByteBufAllocator allocator) {
				return allocator.ioBuffer(guess());
			}

			@Override
			public int guess() {
				return Math.min(super.guess(), LimitedReads.this.maxBytes.getAsInt());
			}

		};
	}

}
