package org.poplarloom.entry.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Notices that the socket of a connection takes nothing of what is written to it.
 * <p>
 * Progress is any byte that the socket takes, also within a message. No time passes while
 * nothing is left to be written. This class is not thread-safe; the event loop of the
 * connection guards it.
 */
final class WriteStallTimer {

	/** A stall is noticed this fraction of the time allowed too late, at most. */
	private static final int CHECKS_PER_STALL = 4;

	private final Channel channel;

	private final LongSupplier maxStallMillis;

	private final Runnable onStall;

	private ScheduledFuture<?> nextCheck;

	private long completedWrites;

	private long completedWritesSeen;

	private long partialBytesSeen;

	private long lastProgressNanos;

	/**
	 * Creates a timer that is not running.
	 * @param channel the connection
	 * @param maxStallMillis supplies the time that is allowed without progress, in
	 * milliseconds
	 * @param onStall runs once for each stall
	 */
	WriteStallTimer(Channel channel, LongSupplier maxStallMillis, Runnable onStall) {
		this.channel = channel;
		this.maxStallMillis = maxStallMillis;
		this.onStall = onStall;
	}

	/**
	 * Observes a write until it is complete.
	 * @param write a write to the connection
	 */
	void observe(ChannelFuture write) {
		if (write.isDone()) {
			return;
		}
		write.addListener((result) -> this.completedWrites++);
		if (this.nextCheck == null) {
			recordProgress();
			scheduleCheck();
		}
	}

	private void recordProgress() {
		this.completedWritesSeen = this.completedWrites;
		this.partialBytesSeen = partialBytes();
		this.lastProgressNanos = System.nanoTime();
	}

	private long partialBytes() {
		ChannelOutboundBuffer unwritten = this.channel.unsafe().outboundBuffer();
		return (unwritten != null) ? unwritten.currentProgress() : 0;
	}

	private boolean hasUnwrittenBytes() {
		ChannelOutboundBuffer unwritten = this.channel.unsafe().outboundBuffer();
		return unwritten != null && unwritten.totalPendingWriteBytes() > 0;
	}

	private void scheduleCheck() {
		long delayMillis = Math.max(1, this.maxStallMillis.getAsLong() / CHECKS_PER_STALL);
		this.nextCheck = this.channel.eventLoop().schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void check() {
		this.nextCheck = null;
		if (!hasUnwrittenBytes()) {
			return;
		}
		if (this.completedWrites != this.completedWritesSeen || partialBytes() != this.partialBytesSeen) {
			recordProgress();
		}
		long stalledMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastProgressNanos);
		if (stalledMillis >= this.maxStallMillis.getAsLong()) {
			this.onStall.run();
			return;
		}
		scheduleCheck();
	}

	/**
	 * Stops the timer until the next write is observed.
	 */
	void stop() {
		if (this.nextCheck != null) {
			this.nextCheck.cancel(false);
			this.nextCheck = null;
		}
	}

}
