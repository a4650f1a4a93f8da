package org.poplarloom.entry.relay;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.MemoryBudget;
import org.poplarloom.entry.process.InstanceView;
import org.poplarloom.wire.connection.ReplyListener;
import org.poplarloom.wire.connection.ReplyStream;
import org.poplarloom.wire.message.Bytes;
import org.poplarloom.wire.message.Message;

/**
 * An attempt that another instance makes, since this one cannot reach the endpoints.
 * <p>
 * The instance does with the request what it does with those of its own callers. One that
 * does not accept the request soon is given up if the request may be repeated. This class
 * is not thread-safe; the event loop guards it.
 */
final class ForwardedAttempt implements Attempt, ReplyListener {

	/** An instance that runs accepts a request at once. */
	private static final long ACCEPTANCE_MILLIS = 400;

	private final RelayRun run;

	private final InstanceView.Instance peer;

	private final String key;

	private final MemoryBudget.Share memory;

	private final EventBuffer events = new EventBuffer();

	private ReplyStream replies;

	private ScheduledFuture<?> acceptanceTimer;

	private HttpResponse head;

	private boolean accepted;

	private boolean reading = true;

	private long untakenBytes;

	private boolean ended;

	ForwardedAttempt(RelayRun run, InstanceView.Instance peer, String key) {
		this.run = run;
		this.peer = peer;
		this.key = key;
		this.memory = run.service().memory().openShare();
	}

	/**
	 * Sends the request to the instance.
	 * @param message the request
	 */
	void start(Message.ForwardRequest message) {
		this.acceptanceTimer = this.run.service()
			.loop()
			.schedule(this::acceptanceOverdue, ACCEPTANCE_MILLIS, TimeUnit.MILLISECONDS);
		this.replies = this.run.service().node().network().open(this.peer.address(), message, this);
	}

	// Who has not accepted it may still have received it.
	private void acceptanceOverdue() {
		if (this.ended || this.accepted) {
			return;
		}
		boolean isReceived = !this.replies.closeUnlessSent();
		if (!isReceived || this.run.mayRepeat()) {
			if (isReceived) {
				this.replies.close();
				sendCancel();
			}
			fail("instance " + this.peer.id() + " does not accept requests", isReceived);
		}
	}

	@Override
	public void receive(Message reply) {
		this.run.service().loop().execute(() -> handle(reply));
	}

	private void handle(Message reply) {
		if (this.ended) {
			return;
		}
		this.accepted = true;
		if (reply instanceof Message.ForwardedHead start) {
			this.head = ForwardedHeads.response(start.status(), start.reason(), start.headers());
		}
		else if (reply instanceof Message.ForwardedContent content && this.head != null) {
			writeEvents(content.content().value());
		}
		else if (reply instanceof Message.ForwardedEnd streamEnd && this.head != null) {
			finish();
			if (streamEnd.isComplete()) {
				this.run.endStream(this.head);
			}
			else {
				this.run.forwardFailed(this, "stream was broken off at " + this.peer.id(), true);
			}
		}
		else if (reply instanceof Message.ForwardedAnswer answer) {
			handleAnswer(answer);
		}
		else if (reply instanceof Message.ForwardedRefusal refusal) {
			handleRefusal(refusal);
		}
	}

	private void writeEvents(byte[] content) {
		this.untakenBytes += content.length;
		for (EventBuffer.Event event : this.events.add(Unpooled.wrappedBuffer(content))) {
			this.run.writeEvent(this.head, event);
			if (this.ended) {
				return;
			}
		}
		sendCredit();
	}

	private void sendCredit() {
		if (this.reading && this.untakenBytes >= PeerReply.WINDOW_BYTES / 2) {
			this.run.service()
				.node()
				.network()
				.send(this.peer.address(), new Message.ForwardCredit(this.key, this.untakenBytes));
			this.untakenBytes = 0;
		}
	}

	private void handleAnswer(Message.ForwardedAnswer answer) {
		byte[] body = answer.body().value();
		boolean isHeld = this.memory.tryResize(body.length);
		finish();
		if (isHeld) {
			this.run.answer(ForwardedHeads.response(answer.status(), answer.reason(), answer.headers()), body);
		}
		else {
			this.run.forwardRefused(new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN,
					"answer of " + body.length + " bytes exceeds the memory"));
		}
	}

	private void handleRefusal(Message.ForwardedRefusal refusal) {
		if (refusal.executed() == Executed.NO && isOfInstance(refusal.code())) {
			fail("instance " + this.peer.id() + " refuses: " + refusal.code().text(), false);
			return;
		}
		finish();
		this.run.forwardRefused(new PoplarloomException(refusal.code(), refusal.executed(), refusal.text(),
				refusal.retryAfterMillis()));
	}

	// Another instance may run the request.
	private static boolean isOfInstance(ErrorCode code) {
		return code == ErrorCode.NOT_READY || code == ErrorCode.SHUTTING_DOWN || code == ErrorCode.INSTANCE_BUSY;
	}

	@Override
	public void disconnected(boolean isSent, Throwable cause) {
		this.run.service().loop().execute(() -> {
			if (!this.ended) {
				fail("connection to " + this.peer.id() + " was lost: " + cause.getMessage(), isSent);
			}
		});
	}

	private void fail(String cause, boolean mayHaveRun) {
		finish();
		this.run.service().forwarding().avoid(this.peer.id());
		this.run.forwardFailed(this, cause, mayHaveRun);
	}

	private void finish() {
		this.ended = true;
		this.memory.close();
		this.acceptanceTimer.cancel(false);
		if (this.replies != null) {
			this.replies.close();
		}
	}

	private void sendCancel() {
		this.run.service().node().network().send(this.peer.address(), new Message.ForwardCancel(this.key));
	}

	@Override
	public String answeredBy() {
		return "via " + this.peer.id();
	}

	@Override
	public int exchangeNumber() {
		return 0;
	}

	@Override
	public boolean isSent() {
		return true;
	}

	@Override
	public void setReading(boolean isReading) {
		this.reading = isReading;
		sendCredit();
	}

	@Override
	public void cancel() {
		if (!this.ended) {
			finish();
			sendCancel();
		}
	}

	/**
	 * Returns the request as it is sent to the instance.
	 * @param run the run of the request
	 * @param key the key of the forwarding
	 * @param maxAttempts how many endpoints may receive it
	 * @return the message
	 */
	static Message.ForwardRequest message(RelayRun run, String key, int maxAttempts) {
		return new Message.ForwardRequest(key, run.request().method(), run.request().target(),
				ForwardedHeads.headers(run.request().headers()), new Bytes(run.request().body()), run.remainingMillis(),
				run.position().lastEventId(), maxAttempts, run.failedEndpoints(), run.service().routingVersion());
	}

}
