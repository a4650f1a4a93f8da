package org.poplarloom.entry.relay;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.version.PrefillPlan;
import org.poplarloom.core.version.Route;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.entry.process.InstanceView;
import org.poplarloom.entry.request.Fingerprint;
import org.poplarloom.entry.request.PlannedStop;
import org.poplarloom.port.relay.RelayRequest;

/**
 * Relays one request: acquires grants, makes attempts and passes on the answer.
 * <p>
 * A request that is not idempotent is sent again only if no endpoint can have run it. A
 * refusal that says "not executed" is sent only in the same case. This class is not
 * thread-safe; the event loop guards it.
 */
final class RelayRun {

	private static final Logger logger = LoggerFactory.getLogger(RelayRun.class);

	private static final long MIN_RETRY_AFTER_MILLIS = 500;

	/**
	 * Callers that are refused because all endpoints back off come back over this time.
	 */
	private static final long BACK_OFF_SPREAD_MILLIS = 500;

	/**
	 * Endpoints that have ended without notice are listed for some seconds, so several of
	 * them may be granted before one that runs.
	 */
	private static final int MAX_UNRECEIVED_ATTEMPTS = 4;

	/** Instances that are cut off too, or stop, refuse at once. */
	private static final int MAX_FORWARDS = 6;

	private static final long NOT_MEASURED = -1;

	private static final TeamId PUBLIC_TEAM = TeamId.of("public");

	private final RelayService service;

	private final RelayRequest request;

	private final CallerReply reply;

	/** What a peer has said that forwarded the request, or null. */
	private final ForwardedOrigin origin;

	private final long startedMillis;

	private final Set<EndpointId> excluded = new HashSet<>();

	private final Set<EndpointId> unreached = new HashSet<>();

	/** Connections belong to addresses, which endpoints with other ids may take over. */
	private final Set<String> attemptedAddresses = new HashSet<>();

	private final StreamPosition position;

	private Route route;

	private RoutingTable.Team team;

	private long configurationVersion;

	private String serviceName = "";

	private long deadlineMillis;

	private ScheduledFuture<?> deadlineTimer;

	private GrantSearch grantSearch;

	private Attempt attempt;

	private int attemptCount;

	private final Set<InstanceId> triedPeers = new HashSet<>();

	private boolean prefersPeers;

	/** Attempts that did not reach the endpoint that was granted for them. */
	private int unreceivedCount;

	private boolean mayHaveRun;

	private AttemptFailure endpointFailure;

	private boolean ended;

	private boolean streamStarted;

	private boolean reading = true;

	private PrefillPlan prefillPlan;

	private long returnFingerprint = GrantRequest.NO_FINGERPRINT;

	private long firstEventMillis = NOT_MEASURED;

	private long lastWriteMillis = NOT_MEASURED;

	private long maxPauseMillis;

	private int endpointCount;

	RelayRun(RelayService service, RelayRequest request, CallerReply reply, ForwardedOrigin origin) {
		this.origin = origin;
		if (origin != null) {
			this.excluded.addAll(origin.excluded());
		}
		this.service = service;
		this.request = request;
		this.reply = reply;
		this.startedMillis = service.nowMillis();
		this.position = new StreamPosition(request.lastEventId());
	}

	void start(RoutingTable table, Route chosen, RoutingTable.Team caller) {
		this.route = chosen;
		this.team = caller;
		this.configurationVersion = table.version();
		this.serviceName = chosen.service(this.request.id().hashCode());
		long timeoutMillis = (this.request.clientTimeoutMillis() == RelayRequest.NO_CLIENT_TIMEOUT)
				? chosen.timeoutMillis() : Math.min(chosen.timeoutMillis(), this.request.clientTimeoutMillis());
		this.deadlineMillis = this.startedMillis + timeoutMillis;
		this.deadlineTimer = this.service.loop().schedule(this::deadlinePassed, timeoutMillis, TimeUnit.MILLISECONDS);
		if (this.origin == null) {
			this.service.earnRetry(this.serviceName);
		}
		this.prefillPlan = table.service(this.serviceName)
			.flatMap((target) -> PrefillPlan.of(target, this.request.promptTokens(), this.request.answerTokens()))
			.orElse(null);
		acquireGrant();
	}

	private void acquireGrant() {
		if (!this.mayHaveRun && !this.service.isAdmitting()) {
			sendRefusal(PlannedStop.refusal());
			return;
		}
		OptionalLong backOffMillis = this.service.entries().remainingBackOffMillis(this.serviceName);
		if (backOffMillis.isPresent()) {
			// Spread, so that the callers do not come back all at once.
			long spreadMillis = ThreadLocalRandom.current().nextLong(BACK_OFF_SPREAD_MILLIS);
			grantRefused(new PoplarloomException(ErrorCode.NO_ENDPOINT, Executed.NO,
					"no endpoint of the service takes requests for " + backOffMillis.getAsLong() + " ms",
					backOffMillis.getAsLong() + spreadMillis));
			return;
		}
		if (isForwardingDue()) {
			if (forward()) {
				return;
			}
			if (this.service.link().isLost() && this.service.forwarding().hasPeers()) {
				grantRefused(new PoplarloomException(ErrorCode.NO_ENDPOINT,
						"neither this instance nor another one reaches the endpoints"));
				return;
			}
		}
		long attemptStartedMillis = (this.attemptCount == 0) ? this.startedMillis : this.service.nowMillis();
		LatencyTarget latencyTarget = GrantSearch.Criteria.latencyTarget(this.route, attemptStartedMillis,
				this.deadlineMillis);
		GrantSearch.Criteria criteria = new GrantSearch.Criteria(this.request, attemptId(), teamId(), this.serviceName,
				this.prefillPlan, this.deadlineMillis, latencyTarget, this.excluded, returnFingerprint(), priority());
		this.grantSearch = new GrantSearch(this.service, criteria, this::startAttempt, this::grantRefused);
		this.grantSearch.start();
	}

	// Unique in the system, also if another instance continues the request.
	private String attemptId() {
		return ((this.origin != null) ? this.origin.key() : this.request.id()) + "." + this.attemptCount;
	}

	private boolean isForwardingDue() {
		return this.origin == null && (this.prefersPeers || this.service.link().isInDoubt());
	}

	private boolean forward() {
		Optional<InstanceView.Instance> peer = (this.triedPeers.size() < MAX_FORWARDS)
				? this.service.forwarding().choose(this.triedPeers) : Optional.empty();
		if (peer.isEmpty()) {
			return false;
		}
		this.triedPeers.add(peer.get().id());
		this.endpointCount = 1;
		String key = this.service.forwarding().nextKey(this.request.id());
		ForwardedAttempt forwarded = new ForwardedAttempt(this, peer.get(), key);
		this.attempt = forwarded;
		forwarded.start(ForwardedAttempt.message(this, key, attemptsLeft()));
		return true;
	}

	// Homes recognize callers that return only if they share time among teams.
	private long returnFingerprint() {
		if (!this.service.node().settings().load().hasTeamShares()) {
			return GrantRequest.NO_FINGERPRINT;
		}
		if (this.returnFingerprint == GrantRequest.NO_FINGERPRINT) {
			this.returnFingerprint = Fingerprint.of(this.request.target(), this.request.apiKey(), this.request.body());
		}
		return this.returnFingerprint;
	}

	private int priority() {
		boolean hasTeamPriority = this.team != null && this.team.priority() != RoutingTable.Team.NO_PRIORITY;
		return hasTeamPriority ? this.team.priority() : this.route.priority();
	}

	private TeamId teamId() {
		return (this.team != null) ? this.team.id() : PUBLIC_TEAM;
	}

	private void startAttempt(AttemptEndpoints endpoints) {
		try {
			this.service.requireHarmless(this);
		}
		catch (PoplarloomException ex) {
			endpoints.release(null);
			grantRefused(ex);
			return;
		}
		this.attemptCount++;
		this.endpointCount = endpoints.helpers().size() + 1;
		boolean isFirstAtAddress = this.attemptedAddresses.add(endpoints.answering().address());
		RelayAttempt direct = new RelayAttempt(this, endpoints, attemptId(), isFirstAtAddress);
		this.attempt = direct;
		direct.start();
	}

	private void grantRefused(PoplarloomException cause) {
		if (mayReachMoreThroughPeers()) {
			this.prefersPeers = true;
			if (forward()) {
				return;
			}
		}
		if (this.streamStarted) {
			abort(cause.code().text());
		}
		else {
			sendFailure(cause);
		}
	}

	private boolean mayReachMoreThroughPeers() {
		return this.origin == null && !this.prefersPeers && !this.unreached.isEmpty() && mayTryAgain();
	}

	// An error response of an endpoint tells the caller more than a refusal by the relay.
	private void sendFailure(PoplarloomException cause) {
		if (this.endpointFailure != null) {
			answer(this.endpointFailure.answer(), this.endpointFailure.body());
		}
		else if (this.origin != null && !this.mayHaveRun && !this.unreached.isEmpty()) {
			// Lets the instance that has the caller try another one.
			sendRefusal(new PoplarloomException(ErrorCode.NOT_READY, "endpoints cannot be reached from here"));
		}
		else {
			sendRefusal(refusal(cause));
		}
	}

	// A status that means "not executed" is allowed only if no endpoint can have run it.
	private PoplarloomException refusal(PoplarloomException cause) {
		if (this.mayHaveRun) {
			return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN, cause.getMessage());
		}
		boolean isExecutionUnclear = cause.code() == ErrorCode.DEADLINE_EXCEEDED || cause.code() == ErrorCode.INTERNAL;
		ErrorCode code = isExecutionUnclear ? ErrorCode.NO_ENDPOINT : cause.code();
		return new PoplarloomException(code, Executed.NO, cause.getMessage(),
				Math.max(MIN_RETRY_AFTER_MILLIS, cause.retryAfterMillis()));
	}

	private boolean hasAttemptsLeft() {
		return attemptsLeft() > 0 && this.unreceivedCount <= MAX_UNRECEIVED_ATTEMPTS;
	}

	private int attemptsLeft() {
		int maxAttempts = (this.origin != null) ? Math.min(this.origin.maxAttempts(), this.route.maxAttempts())
				: this.route.maxAttempts();
		return maxAttempts - (this.attemptCount - this.unreceivedCount);
	}

	/**
	 * Returns whether the request may be sent once more although an endpoint may have run
	 * it.
	 * @return false if it may run only once or cannot be continued where it broke off
	 */
	boolean mayRepeat() {
		boolean isContinuable = !this.streamStarted
				|| (this.route.retryMode() == Route.RetryMode.RESUME && this.position.isKnown());
		return this.route.isRepeatable() && isContinuable && hasAttemptsLeft();
	}

	private boolean mayTryAgain() {
		return this.mayHaveRun ? mayRepeat() : hasAttemptsLeft();
	}

	/**
	 * Handles an attempt that ended without an answer: retries the request or fails it.
	 * @param failed the attempt
	 * @param failure why it failed
	 */
	void attemptFailed(RelayAttempt failed, AttemptFailure failure) {
		this.attempt = null;
		this.mayHaveRun |= failure.mayHaveRun();
		this.unreceivedCount += failure.isReceived() ? 0 : 1;
		this.excluded.add((failure.faultyEndpoint() != null) ? failure.faultyEndpoint() : failed.endpoint());
		logger.info(
				"request={} event=attempt_failed attempt={} endpoint={} lifetime={} exchange={} faulty={} mayHaveRun={}"
						+ " shared_parts={} cause=\"{}\"",
				this.request.id(), this.attemptCount, failed.endpoint(), failed.bootId(), failed.exchangeNumber(),
				failure.faultyEndpoint(), failure.mayHaveRun(), this.request.sharedParts(), failure.cause());
		this.service.metrics().recordFailedAttempt(failure.mayHaveRun());
		if (failure.answer() != null) {
			this.endpointFailure = failure;
		}
		if (failure.isConnectionLost()) {
			this.service.crashInvestigation()
				.report(failed.endpoint(), failed.bootId(), fingerprint(),
						failed.hasSurvivedBeginning() ? List.of() : possiblePartCauses(), failed.connectionAgeMillis());
		}
		if (failure.isUnreachable() || this.service.link().isInDoubt()) {
			this.unreached.add(failed.endpoint());
		}
		if (failure.isUnreachable()) {
			this.prefersPeers |= failure.reception() == AttemptFailure.Reception.TIMED_OUT || this.unreached.size() > 1;
		}
		tryAgainOrFail(failure.cause(), !failure.isUnreachable());
	}

	private void tryAgainOrFail(String cause, boolean isRepetition) {
		if (mayTryAgain() && (!isRepetition || this.service.trySpendRetry(this.serviceName))) {
			acquireGrant();
		}
		else if (this.streamStarted) {
			abort(cause);
		}
		else {
			sendFailure(new PoplarloomException(ErrorCode.NO_ENDPOINT, cause));
		}
	}

	/**
	 * Handles an attempt of another instance that ended without an answer.
	 * @param failed the attempt
	 * @param cause the reason
	 * @param isUnknown whether an endpoint may have run the request
	 */
	void forwardFailed(ForwardedAttempt failed, String cause, boolean isUnknown) {
		this.attempt = null;
		this.mayHaveRun |= isUnknown;
		this.attemptCount += isUnknown ? 1 : 0;
		logger.info("request={} event=forward_failed {} mayHaveRun={} cause=\"{}\"", this.request.id(),
				failed.answeredBy(), isUnknown, cause);
		tryAgainOrFail(cause, isUnknown);
	}

	/**
	 * Handles the refusal of an instance that has run the request as if it was of one of
	 * its own callers.
	 * @param refusal the refusal
	 */
	void forwardRefused(PoplarloomException refusal) {
		this.attempt = null;
		this.mayHaveRun |= refusal.executed() != Executed.NO;
		if (this.streamStarted || this.endpointFailure != null || refusal.executed() == Executed.NO) {
			grantRefused(refusal);
		}
		else {
			sendRefusal(refusal);
		}
	}

	/**
	 * Handles the loss of the link to the endpoints; does nothing after the end.
	 */
	void handleLostLink() {
		if (!this.ended && this.attempt != null) {
			this.attempt.handleLostLink();
		}
	}

	/**
	 * Returns the endpoints that other instances must not use for the request.
	 * @return those that have failed it, without those that only this instance may not
	 * reach
	 */
	Set<EndpointId> failedEndpoints() {
		Set<EndpointId> failed = new HashSet<>(this.excluded);
		failed.removeAll(this.unreached);
		return failed;
	}

	private void deadlinePassed() {
		if (this.ended) {
			return;
		}
		boolean isStreamStarted = this.streamStarted;
		cancelAttempt();
		if (isStreamStarted) {
			abort("deadline_exceeded");
		}
		else if (this.mayHaveRun) {
			sendRefusal(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED, Executed.UNKNOWN,
					"the request did not end by its deadline"));
		}
		else {
			sendRefusal(new PoplarloomException(ErrorCode.NO_ENDPOINT, "no endpoint was free before the deadline"));
		}
	}

	private void cancelAttempt() {
		if (this.grantSearch != null) {
			this.grantSearch.cancel();
		}
		if (this.attempt != null) {
			this.mayHaveRun = true;
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	/**
	 * Cancels the request because the caller has disconnected; does nothing after the
	 * end.
	 * @param reason the reason, for the log
	 */
	void cancel(String reason) {
		if (!this.ended) {
			cancelAttempt();
			complete("cancelled", reason);
		}
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Refuses the request if no endpoint can have received it, whatever it waits for;
	 * does nothing otherwise or after the end.
	 */
	void refuseIfWaiting() {
		boolean isSent = this.attempt != null && this.attempt.isSent();
		if (!this.ended && !this.mayHaveRun && !isSent) {
			cancelAttempt();
			sendRefusal(PlannedStop.refusal());
		}
	}

	/**
	 * Ends the request because the process ends; does nothing after the end.
	 */
	void endAtShutdown() {
		if (this.ended) {
			return;
		}
		cancelAttempt();
		if (this.streamStarted) {
			abort(ErrorCode.SHUTTING_DOWN.text());
		}
		else {
			sendFailure(new PoplarloomException(ErrorCode.SHUTTING_DOWN, "the instance stops before the answer"));
		}
	}

	void refuse(PoplarloomException failure) {
		sendRefusal(failure);
	}

	private void sendRefusal(PoplarloomException failure) {
		complete(failure.code().text(), failure.getMessage());
		this.reply.refuse(failure);
	}

	void answer(HttpResponse head, byte[] body) {
		complete("answered", head.status().code() + " framing=" + framing(head).text());
		this.reply.answer(head, body);
	}

	/**
	 * Passes on an event unless the caller has already received it.
	 * @param head the status and headers of the answer that contains the event
	 * @param event the event
	 */
	void writeEvent(HttpResponse head, EventBuffer.Event event) {
		if (this.position.isRepetition(event)) {
			return;
		}
		this.position.advance(event);
		startStream(head);
		recordPause();
		this.reply.writeChunk(event.bytes());
	}

	private void recordPause() {
		long now = this.service.nowMillis();
		if (this.lastWriteMillis != NOT_MEASURED) {
			this.maxPauseMillis = Math.max(this.maxPauseMillis, now - this.lastWriteMillis);
		}
		this.lastWriteMillis = now;
	}

	private void startStream(HttpResponse head) {
		if (!this.streamStarted) {
			this.streamStarted = true;
			this.firstEventMillis = this.service.nowMillis() - this.startedMillis;
			this.reply.startStream(head);
		}
	}

	void endStream(HttpResponse head) {
		startStream(head);
		complete("streamed", "last event " + this.position.lastEventId() + " framing=" + framing(head).text());
		this.reply.endStream(remainingMillis());
	}

	AnswerFraming framing(HttpResponse head) {
		return AnswerFraming.of(this.request.method(), head);
	}

	private void abort(String cause) {
		complete("broken_off", cause);
		this.reply.abort();
	}

	private void complete(String outcome, String detail) {
		this.ended = true;
		this.service.remove(this);
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		long ageMillis = this.service.nowMillis() - this.startedMillis;
		this.service.metrics().recordEnd(outcome, this.request.promptTokens(), this.firstEventMillis, ageMillis);
		logger.info(
				"request={} event=ended outcome={} detail=\"{}\" route={} service={} team={} prompt={} attempts={}"
						+ " endpoint={} exchange={} parts={} configuration={} first_ms={} pause_ms={} age_ms={}",
				this.request.id(), outcome, detail, (this.route != null) ? this.route.name() : "", this.serviceName,
				teamId(), this.request.promptTokens(), this.attemptCount,
				(this.attempt != null) ? this.attempt.answeredBy() : "",
				(this.attempt != null) ? this.attempt.exchangeNumber() : 0, this.endpointCount,
				this.configurationVersion, this.firstEventMillis, this.maxPauseMillis, ageMillis);
	}

	/**
	 * Pauses or resumes reading the answer from the endpoint.
	 * @param isReading true if there is room for more of the answer
	 */
	void setReading(boolean isReading) {
		this.reading = isReading;
		if (this.attempt != null) {
			this.attempt.setReading(isReading);
		}
	}

	boolean isReading() {
		return this.reading;
	}

	String fingerprint() {
		int hash = Objects.hash(this.request.method(), this.request.apiKey(), Arrays.hashCode(this.request.body()));
		return this.request.target() + "#" + Integer.toHexString(hash) + "." + this.request.body().length;
	}

	/**
	 * Returns what may crash an endpoint that begins to answer the request.
	 * @return the fingerprint of the request and the parts of its prompt that others may
	 * share
	 */
	List<String> possibleCrashCauses() {
		return Stream.concat(Stream.of(fingerprint()), possiblePartCauses().stream()).toList();
	}

	// Parts and fingerprints, which begin with a path, share one registry.
	List<String> possiblePartCauses() {
		return this.request.sharedParts().stream().map((part) -> "part " + part).toList();
	}

	RelayService service() {
		return this.service;
	}

	RelayRequest request() {
		return this.request;
	}

	Route route() {
		return this.route;
	}

	String teamName() {
		return (this.team != null) ? this.team.name() : "";
	}

	long remainingMillis() {
		return this.deadlineMillis - this.service.nowMillis();
	}

	StreamPosition position() {
		return this.position;
	}

	/**
	 * Returns whether the caller has received the head of a stream, which only events of
	 * this stream may follow.
	 * @return true if an earlier attempt has begun the stream
	 */
	boolean isStreamStarted() {
		return this.streamStarted;
	}

}
