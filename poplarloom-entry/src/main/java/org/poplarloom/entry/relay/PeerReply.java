package org.poplarloom.entry.relay;

import io.netty.handler.codec.http.HttpResponse;

import org.poplarloom.core.PoplarloomException;
import org.poplarloom.wire.connection.PeerReplies;
import org.poplarloom.wire.message.Bytes;
import org.poplarloom.wire.message.Message;

/**
 * Sends the response to a request that another instance has forwarded.
 * <p>
 * At most {@link #WINDOW_BYTES} and one event of a stream are sent before the instance
 * has taken what came before. This class is not thread-safe; the event loop guards it.
 */
final class PeerReply implements CallerReply {

	/** What one stream may have on its way. */
	static final long WINDOW_BYTES = 64 * 1024;

	private final PeerReplies replies;

	private final Runnable onEnd;

	private RelayRun run;

	private long untakenBytes;

	/**
	 * Creates a reply.
	 * @param replies sends the messages
	 * @param onEnd runs after the last message
	 */
	PeerReply(PeerReplies replies, Runnable onEnd) {
		this.replies = replies;
		this.onEnd = onEnd;
	}

	void setRun(RelayRun started) {
		this.run = started;
	}

	@Override
	public void requireRoom() {
		// The instance that has the caller has required it.
	}

	@Override
	public void refuse(PoplarloomException failure) {
		this.replies.accept(new Message.ForwardedRefusal(failure.code(), failure.executed(), failure.getMessage(),
				failure.retryAfterMillis()));
		this.onEnd.run();
	}

	@Override
	public void answer(HttpResponse head, byte[] body) {
		this.replies.accept(new Message.ForwardedAnswer(head.status().code(), head.status().reasonPhrase(),
				ForwardedHeads.headers(head.headers()), new Bytes(body)));
		this.onEnd.run();
	}

	@Override
	public void startStream(HttpResponse head) {
		this.replies.accept(new Message.ForwardedHead(head.status().code(), head.status().reasonPhrase(),
				ForwardedHeads.headers(head.headers())));
	}

	@Override
	public void writeChunk(byte[] content) {
		this.replies.accept(new Message.ForwardedContent(new Bytes(content)));
		this.untakenBytes += content.length;
		if (this.untakenBytes >= WINDOW_BYTES && this.run != null) {
			this.run.setReading(false);
		}
	}

	/**
	 * Records that the instance has taken a part of the stream.
	 * @param bytes how much of it
	 */
	void addCredit(long bytes) {
		this.untakenBytes -= bytes;
		if (this.untakenBytes < WINDOW_BYTES && this.run != null) {
			this.run.setReading(true);
		}
	}

	@Override
	public void endStream(long remainingMillis) {
		end(true);
	}

	@Override
	public void abort() {
		end(false);
	}

	private void end(boolean isComplete) {
		this.replies.accept(new Message.ForwardedEnd(isComplete));
		this.onEnd.run();
	}

}
