package org.poplarloom.entry.relay;

import java.io.ByteArrayOutputStream;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.MemoryBudget;
import org.poplarloom.core.request.Grant;
import org.poplarloom.port.http.ExchangeListener;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.Dispatch;
import org.poplarloom.port.relay.EndpointProtocol;
import org.poplarloom.port.relay.EndpointProtocol.Reply;

/**
 * One attempt to run a request on the endpoints that were granted for it.
 * <p>
 * The grants are released exactly once, however the attempt ends. This class is not
 * thread-safe; the event loop guards it.
 */
final class RelayAttempt implements Attempt, ExchangeListener {

	private static final Logger logger = LoggerFactory.getLogger(RelayAttempt.class);

	/** Limit for answers that are not streamed, since these are buffered in memory. */
	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	/** Events hold some hundred bytes; one that never ends must not fill the memory. */
	private static final int MAX_EVENT_BYTES = 1024 * 1024;

	/** The body of a refusal is not used; it is read to its end up to this size. */
	private static final int MAX_IGNORED_BYTES = 64 * 1024;

	private static final String EVENT_STREAM = HttpHeaderValues.TEXT_EVENT_STREAM.toString();

	/** Maps the home's priorities 10 to 30 to the engine's ranks 5 to 1. */
	private static final int RANK_AT_PRIORITY_ZERO = 7;

	private static final int PRIORITY_PER_RANK = 5;

	/**
	 * An endpoint that a part of a prompt crashes ends within this time after the first
	 * byte.
	 */
	private static final long SURVIVAL_MILLIS = 1_000;

	private final RelayRun run;

	private final AttemptEndpoints endpoints;

	private final MemoryReservation reservation;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final EventBuffer events = new EventBuffer();

	private final MemoryBudget.Share memory;

	private final String reservationId;

	private final boolean isFirstAtAddress;

	/** Whether an earlier attempt has begun the stream that this one must continue. */
	private final boolean isContinuation;

	private HttpExchanger.Exchange exchange;

	private HttpResponse head;

	private Reply replyKind;

	private int exchangeNumber;

	private int ignoredBytes;

	private long sentMillis;

	private boolean firstByteReceived;

	private long firstByteMillis;

	private long lastReceivedMillis;

	private boolean survivedBeginning;

	private boolean eventAdded;

	private boolean ended;

	RelayAttempt(RelayRun run, AttemptEndpoints endpoints, String reservationId, boolean isFirstAtAddress) {
		this.isFirstAtAddress = isFirstAtAddress;
		this.run = run;
		this.endpoints = endpoints;
		this.reservation = endpoints.reservingHelpers().isEmpty() ? null
				: new MemoryReservation(reservationId, endpoints, () -> this.lastReceivedMillis, run.service());
		this.reservationId = reservationId;
		this.memory = run.service().memory().openShare();
		this.isContinuation = run.isStreamStarted();
	}

	EndpointId endpoint() {
		return this.endpoints.answering().endpoint();
	}

	String bootId() {
		return this.endpoints.answering().bootId();
	}

	@Override
	public String answeredBy() {
		return endpoint().value();
	}

	@Override
	public int exchangeNumber() {
		return this.exchangeNumber;
	}

	/**
	 * Returns how long ago the connection to the endpoint was opened.
	 * @return the time in milliseconds, 0 if it was not opened
	 */
	long connectionAgeMillis() {
		return (this.exchange != null) ? this.exchange.connectionAgeMillis() : 0;
	}

	/**
	 * Sends the request, after all helpers that need memory for it have reserved it.
	 */
	void start() {
		if (this.reservation == null) {
			send();
			return;
		}
		this.reservation.reserve((isReserved) -> {
			if (this.ended) {
				return;
			}
			if (isReserved) {
				send();
			}
			else {
				fail(AttemptFailure.notExecuted("a helper has no memory for its part", null), null);
			}
		});
	}

	private void send() {
		long maxDelayMillis = HttpExchanger.NO_MAX_DELAY;
		if (this.endpoints.latestStartMillis() != Grant.NO_LATEST_START) {
			maxDelayMillis = this.endpoints.latestStartMillis() - this.run.service().nowMillis();
			if (maxDelayMillis < 0) {
				fail(AttemptFailure.notExecuted("the grant on a cold endpoint is too old", null), null);
				return;
			}
		}
		EndpointProtocol protocol = this.run.service().protocol();
		List<String> helpers = this.endpoints.helpers()
			.stream()
			.map((helper) -> protocol.formatHelper(helper.address(), (helper.kvTokens() > 0) ? this.reservationId : ""))
			.toList();
		int rank = RANK_AT_PRIORITY_ZERO - this.endpoints.priority() / PRIORITY_PER_RANK;
		Dispatch dispatch = new Dispatch(endpoint().value(), this.run.teamName(), this.run.remainingMillis(), rank,
				helpers, this.run.position().lastEventId());
		this.run.service().entries().notices().recordUse(endpoint());
		HttpExchanger exchanger = this.run.service().exchanger();
		String address = this.endpoints.answering().address();
		FullHttpRequest request = protocol.write(this.run.request(), dispatch);
		this.sentMillis = this.run.service().nowMillis();
		this.run.service().link().startAwaiting(this, endpoint(), address);
		// On a connection that carried the request before, its earlier answer may come
		// once more, and nothing would tell the two apart.
		this.exchange = this.isFirstAtAddress ? exchanger.send(address, request, maxDelayMillis, this)
				: exchanger.sendOnNewConnection(address, request, maxDelayMillis, this);
	}

	@Override
	public boolean head(HttpResponse response, int numberOnConnection) {
		this.run.service().link().recordContact(endpoint(), numberOnConnection == 1);
		this.exchangeNumber = numberOnConnection;
		Reply reply = this.run.service().protocol().classify(this.run.request(), response, numberOnConnection);
		if (reply == Reply.OTHER_REQUEST) {
			logger.info("request={} event=response_skipped endpoint={} exchange={} status={}", this.run.request().id(),
					endpoint(), numberOnConnection, response.status().code());
			this.run.service().metrics().recordSkippedResponse();
			return false;
		}
		this.head = response;
		this.replyKind = reply;
		if (reply == Reply.ANSWER || reply == Reply.FAILED || reply == Reply.NOT_EXECUTED) {
			this.run.service()
				.recordNotice(this.run.service().protocol().notice(response), this.endpoints.answering(),
						this.endpoints);
		}
		if (reply == Reply.UNVERIFIED) {
			this.exchange.cancel();
			fail(AttemptFailure.executionUnknown("answer does not prove its origin", false), null);
			return true;
		}
		setReading(this.run.isReading());
		return true;
	}

	@Override
	public void content(ByteBuf content) {
		if (this.ended) {
			return;
		}
		this.run.service().link().recordContact(endpoint(), false);
		recordProgress();
		if (isStream()) {
			writeEvents(content);
			return;
		}
		if (this.isContinuation && this.replyKind == Reply.ANSWER) {
			this.exchange.cancel();
			failNoStream();
			return;
		}
		if (this.replyKind != Reply.ANSWER && this.replyKind != Reply.FAILED) {
			ignore(content);
			return;
		}
		if (!reserve("answer", this.body.size() + content.readableBytes(), MAX_BODY_BYTES)) {
			return;
		}
		byte[] bytes = new byte[content.readableBytes()];
		content.readBytes(bytes);
		this.body.writeBytes(bytes);
	}

	private void writeEvents(ByteBuf content) {
		for (EventBuffer.Event event : this.events.add(content)) {
			if (this.isContinuation && !this.run.position().isContinuedBy(event)) {
				this.exchange.cancel();
				failNotContinued("event " + event.id() + " after event " + this.run.position().lastEventId());
				return;
			}
			this.eventAdded |= !event.isComment() && !this.run.position().isRepetition(event);
			this.run.writeEvent(this.head, event);
			if (this.ended) {
				return;
			}
		}
		reserve("event", this.events.pendingBytes(), MAX_EVENT_BYTES);
	}

	private void failNoStream() {
		failNotContinued("status " + this.head.status().code() + ", type "
				+ this.head.headers().get(HttpHeaderNames.CONTENT_TYPE));
	}

	private void failNotContinued(String detail) {
		fail(AttemptFailure.executionUnknown("answer does not continue the stream: " + detail, false), null);
	}

	private void ignore(ByteBuf content) {
		this.ignoredBytes += content.readableBytes();
		if (this.ignoredBytes > MAX_IGNORED_BYTES) {
			this.exchange.cancel();
			failNotExecuted();
		}
	}

	// An endpoint whose answers do not end is not granted for a while, like one that
	// cannot be reached.
	private boolean reserve(String part, int bytes, int maxBytes) {
		boolean isTooLarge = bytes > maxBytes;
		if (!isTooLarge && this.memory.tryResize(bytes)) {
			return true;
		}
		this.exchange.cancel();
		MemoryBudget budget = this.run.service().memory();
		String cause = isTooLarge ? part + " is larger than " + maxBytes + " bytes"
				: part + " of " + bytes + " bytes exceeds its part of the memory, of which " + budget.heldBytes()
						+ " of " + budget.capacityBytes() + " bytes are held";
		logger.warn("request={} event=memory_refused endpoint={} bytes={} cause=\"{}\"", this.run.request().id(),
				endpoint(), bytes, cause);
		fail(AttemptFailure.executionUnknown(cause, false), endpoint());
		return false;
	}

	private boolean isStream() {
		return this.replyKind == Reply.ANSWER && this.run.route().isStream()
				&& this.head.status().equals(HttpResponseStatus.OK) && mayContainEvents();
	}

	private boolean mayContainEvents() {
		String contentType = this.head.headers().get(HttpHeaderNames.CONTENT_TYPE);
		return contentType == null || HttpUtil.getMimeType(contentType).toString().equalsIgnoreCase(EVENT_STREAM);
	}

	private void recordProgress() {
		this.lastReceivedMillis = this.run.service().nowMillis();
		if (!this.firstByteReceived && this.replyKind == Reply.ANSWER) {
			this.firstByteReceived = true;
			this.firstByteMillis = this.run.service().nowMillis();
			this.endpoints.reportFirstToken();
		}
		else if (this.firstByteReceived && this.run.service().nowMillis() - this.firstByteMillis >= SURVIVAL_MILLIS) {
			recordSurvival();
		}
	}

	private void recordSurvival() {
		if (!this.survivedBeginning) {
			this.survivedBeginning = true;
			this.run.service().crashInvestigation().recordSurvivor(this.run.possiblePartCauses(), this.firstByteMillis);
		}
	}

	/**
	 * Returns whether the answer continued so long after its beginning that the endpoint
	 * cannot have crashed because of a part of the prompt.
	 * @return false if the endpoint may have begun to answer shortly before it failed
	 */
	boolean hasSurvivedBeginning() {
		return this.survivedBeginning;
	}

	@Override
	public void end() {
		if (this.ended) {
			return;
		}
		switch (this.replyKind) {
			case ANSWER -> endAnswer();
			case FAILED -> fail(AttemptFailure.endpointError(this.head, this.body.toByteArray()), null);
			case NOT_EXECUTED -> failNotExecuted();
			case MISDIRECTED -> failMisdirected();
			default -> throw new IllegalStateException("unexpected end of a response of class " + this.replyKind);
		}
	}

	private void endAnswer() {
		if (this.isContinuation && !isStream()) {
			failNoStream();
		}
		else if (isBrokenOff()) {
			fail(AttemptFailure.executionUnknown("answer ended inside an event or before its body", true), null);
		}
		else if (this.isContinuation && !this.eventAdded) {
			// The end of an answer without events does not prove that the last event of
			// the earlier answer was the last one of the stream.
			failNotContinued("no event after event " + this.run.position().lastEventId());
		}
		else if (this.run.framing(this.head) == AnswerFraming.CONNECTION_END) {
			completeIfEndpointRuns(true);
		}
		else {
			completeAnswer();
		}
	}

	// The connection of an endpoint that has crashed ends like that of one that has
	// finished. A busy endpoint may take longer than one check waits.
	private void completeIfEndpointRuns(boolean isRepeatable) {
		EndpointCommand.checkRunning(this.run.service(), this.endpoints, (result) -> {
			if (this.ended) {
				return;
			}
			if (result.isAnswered()) {
				completeAnswer();
			}
			else if (isRepeatable) {
				completeIfEndpointRuns(false);
			}
			else {
				fail(AttemptFailure.executionUnknown("the endpoint ended with the connection: " + result.detail(),
						true), null);
			}
		});
	}

	private void completeAnswer() {
		if (this.firstByteReceived) {
			recordSurvival();
			this.run.service()
				.crashInvestigation()
				.recordSurvivor(List.of(this.run.fingerprint()), this.firstByteMillis);
		}
		release(null);
		if (isStream()) {
			this.run.endStream(this.head);
		}
		else {
			this.run.answer(this.head, this.body.toByteArray());
		}
	}

	// An endpoint that gives up inside an event may still delimit its answer. One that
	// gives up after the head leaves an answer without a length and without a body.
	private boolean isBrokenOff() {
		boolean isEmpty = this.run.framing(this.head) == AnswerFraming.CONNECTION_END && !this.firstByteReceived;
		return isEmpty || (isStream() && this.events.pendingBytes() > 0);
	}

	// The answering endpoint also refuses the request if a helper cannot be reached.
	private void failNotExecuted() {
		String nameOrAddress = this.run.service().protocol().faultyEndpoint(this.head);
		failNotExecuted(nameOrAddress, this.endpoints.findHelper(nameOrAddress));
	}

	private void failNotExecuted(String nameOrAddress, EndpointId faulty) {
		fail(AttemptFailure.notExecuted(
				"not executed, status " + this.head.status().code() + " by '" + nameOrAddress + "'", faulty), faulty);
	}

	// The home may still list the endpoint that had the address before. The answering
	// endpoint also passes on that a helper is another one.
	private void failMisdirected() {
		String nameOrAddress = this.run.service().protocol().faultyEndpoint(this.head);
		EndpointId helper = this.endpoints.findHelper(nameOrAddress);
		if (helper != null) {
			failNotExecuted(nameOrAddress, helper);
			return;
		}
		fail(AttemptFailure.notReceived("another endpoint is at the address, status " + this.head.status().code()),
				endpoint());
	}

	@Override
	public void fail(HttpExchanger.ExchangeException failure) {
		if (!this.ended) {
			if (failure.isSent()) {
				if (failure.isConnectionLost()) {
					this.run.service().link().recordUnanswered(endpoint(), connectionAgeMillis());
				}
				fail(AttemptFailure.executionUnknown(failure.getMessage(), failure.isConnectionLost()), null);
			}
			else if (connectionAgeMillis() > 0) {
				fail(AttemptFailure.notReceived(failure.getMessage()), endpoint());
			}
			else {
				failUnreachable(failure);
			}
		}
	}

	// Homes must not doubt an endpoint because this instance has lost its link.
	private void failUnreachable(HttpExchanger.ExchangeException failure) {
		this.run.service()
			.link()
			.recordUnreachable(endpoint(), () -> this.endpoints.reportUnreachable(this.endpoints.answering()));
		fail(AttemptFailure.unreachable(failure.getMessage(), failure.isConnectTimeout()), null);
	}

	@Override
	public void handleLostLink() {
		long silentMillis = this.run.service().nowMillis() - Math.max(this.sentMillis, this.lastReceivedMillis);
		boolean isSilent = connectionAgeMillis() > 0 && this.run.isReading()
				&& silentMillis >= EndpointLink.SILENCE_MILLIS;
		if (!this.ended && isSilent && this.run.mayRepeat()) {
			this.exchange.cancel();
			fail(AttemptFailure.executionUnknown("link to the endpoints was lost", false), null);
		}
	}

	private void fail(AttemptFailure reason, EndpointId unreachable) {
		release(unreachable);
		this.run.attemptFailed(this, reason);
	}

	private void release(EndpointId unreachable) {
		this.ended = true;
		this.run.service().link().stopAwaiting(this);
		this.memory.close();
		if (this.reservation != null) {
			this.reservation.release();
		}
		this.endpoints.release(unreachable);
	}

	@Override
	public boolean isSent() {
		return this.exchange != null;
	}

	@Override
	public void cancel() {
		if (!this.ended) {
			if (this.exchange != null) {
				this.exchange.cancel();
			}
			release(null);
		}
	}

	@Override
	public void setReading(boolean isReading) {
		if (this.exchange != null && !this.ended) {
			this.exchange.setAutoRead(isReading);
			awaitIfReading(isReading);
		}
	}

	// An endpoint that is not read from cannot show that it is reached.
	private void awaitIfReading(boolean isReading) {
		EndpointLink link = this.run.service().link();
		if (isReading) {
			link.startAwaiting(this, endpoint(), this.endpoints.answering().address());
		}
		else {
			link.stopAwaiting(this);
		}
	}

}
