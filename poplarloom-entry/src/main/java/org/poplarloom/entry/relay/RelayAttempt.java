package org.poplarloom.entry.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import org.poplarloom.core.EndpointId;
import org.poplarloom.port.http.ExchangeListener;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.Dispatch;
import org.poplarloom.port.relay.EndpointProtocol;
import org.poplarloom.port.relay.EndpointProtocol.Reply;

/**
 * One attempt of a request on one endpoint.
 * <p>
 * The grant is given back once, however the attempt ends. This class is not thread-safe;
 * the event loop guards it.
 */
final class RelayAttempt implements ExchangeListener {

	/** Larger answers of plain services are not kept in memory as a whole. */
	private static final int LARGEST_BODY_BYTES = 8 * 1024 * 1024;

	/** The home's priorities from 10 to 30 become ranks from 5 to 1. */
	private static final int LOWEST_RANK = 7;

	private static final int PRIORITY_PER_RANK = 5;

	private final RelayRun run;

	private final AttemptPlace place;

	private final TicketLease lease;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final EventBuffer events = new EventBuffer();

	private final String ticket;

	private HttpExchanger.Exchange exchange;

	private HttpResponse head;

	private Reply meaning;

	private boolean started;

	private boolean done;

	RelayAttempt(RelayRun run, AttemptPlace place, String ticket) {
		this.run = run;
		this.place = place;
		List<AttemptPlace.Part> keepers = place.helpers().stream().filter((part) -> part.kvTokens() > 0).toList();
		this.lease = keepers.isEmpty() ? null : new TicketLease(ticket, keepers, run.service());
		this.ticket = ticket;
	}

	EndpointId endpoint() {
		return this.place.answering().endpoint();
	}

	String lifetime() {
		return this.place.answering().lifetime();
	}

	/**
	 * Sends the request once all helpers have set memory aside.
	 */
	void start() {
		if (this.lease == null) {
			send();
			return;
		}
		this.lease.reserve((isReserved) -> {
			if (this.done) {
				return;
			}
			if (isReserved) {
				send();
			}
			else {
				fail(AttemptFailure.notRun("a helper has no memory for its part", null), null);
			}
		});
	}

	private void send() {
		EndpointProtocol protocol = this.run.service().protocol();
		List<String> helpers = this.place.helpers()
			.stream()
			.map((part) -> protocol.helper(part.address(), (part.kvTokens() > 0) ? this.ticket : ""))
			.toList();
		int rank = LOWEST_RANK - this.place.priority() / PRIORITY_PER_RANK;
		Dispatch dispatch = new Dispatch(endpoint().value(), this.run.teamName(), this.run.remainingMillis(), rank,
				helpers, this.run.lastEventId());
		this.exchange = this.run.service()
			.exchanger()
			.send(this.place.answering().address(), protocol.write(this.run.request(), dispatch), this);
	}

	@Override
	public boolean head(HttpResponse next) {
		Reply reply = this.run.service().protocol().read(this.run.request(), next);
		if (reply == Reply.FOREIGN) {
			return false;
		}
		this.head = next;
		this.meaning = reply;
		return true;
	}

	@Override
	public void content(ByteBuf content) {
		if (this.done) {
			return;
		}
		firstByte();
		if (isStream()) {
			for (EventBuffer.Event event : this.events.add(content)) {
				this.run.event(this.head, event);
			}
			return;
		}
		if (this.body.size() + content.readableBytes() > LARGEST_BODY_BYTES) {
			this.exchange.cancel();
			fail(AttemptFailure.unknown("answer is larger than " + LARGEST_BODY_BYTES + " bytes", false), null);
			return;
		}
		byte[] bytes = new byte[content.readableBytes()];
		content.readBytes(bytes);
		this.body.writeBytes(bytes);
	}

	private boolean isStream() {
		return this.meaning == Reply.ANSWER && this.run.route().isStream()
				&& this.head.status().equals(HttpResponseStatus.OK);
	}

	private void firstByte() {
		if (!this.started && this.meaning == Reply.ANSWER) {
			this.started = true;
			this.place.firstToken();
		}
	}

	@Override
	public void end() {
		if (this.done) {
			return;
		}
		switch (this.meaning) {
			case ANSWER -> {
				release(null);
				if (isStream()) {
					this.run.endStream(this.head, this.events.rest());
				}
				else {
					this.run.answer(this.head, this.body.toByteArray());
				}
			}
			case FAILED -> fail(AttemptFailure.answered(this.head, this.body.toByteArray()), null);
			case NOT_EXECUTED, MISDIRECTED -> failNotRun();
			default -> fail(AttemptFailure.unknown("answer does not prove its origin", false), null);
		}
	}

	// A helper that is gone makes the answering endpoint refuse.
	private void failNotRun() {
		String named = this.run.service().protocol().faultyEndpoint(this.head);
		EndpointId faulty = this.place.helper(named);
		fail(AttemptFailure.notRun("not executed, status " + this.head.status().code() + " by '" + named + "'", faulty),
				faulty);
	}

	@Override
	public void fail(HttpExchanger.ExchangeException failure) {
		if (!this.done) {
			AttemptFailure reason = failure.isSent() ? AttemptFailure.unknown(failure.getMessage(), true)
					: AttemptFailure.notRun(failure.getMessage(), null);
			fail(reason, failure.isSent() ? null : endpoint());
		}
	}

	private void fail(AttemptFailure reason, EndpointId failed) {
		release(failed);
		this.run.attemptFailed(this, reason);
	}

	private void release(EndpointId failed) {
		this.done = true;
		if (this.lease != null) {
			this.lease.release();
		}
		this.place.release(failed);
	}

	void cancel() {
		if (!this.done) {
			if (this.exchange != null) {
				this.exchange.cancel();
			}
			release(null);
		}
	}

	void read(boolean isReading) {
		if (this.exchange != null) {
			this.exchange.read(isReading);
		}
	}

}
