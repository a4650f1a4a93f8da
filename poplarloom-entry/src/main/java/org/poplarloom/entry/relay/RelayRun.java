package org.poplarloom.entry.relay;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.AnswerPace;
import org.poplarloom.core.version.PrefillPlan;
import org.poplarloom.core.version.Route;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.port.relay.RelayRequest;

/**
 * One request on its way through admission, grants and attempts to its end.
 * <p>
 * A request that may not be repeated is sent again only if no endpoint can have run it. A
 * refusal that says "not run" is given only in the same case. This class is not
 * thread-safe; the event loop guards it.
 */
final class RelayRun {

	private static final Logger logger = LoggerFactory.getLogger(RelayRun.class);

	/** By then the entry of an endpoint that crashed is gone or names another start. */
	private static final long CRASH_CHECK_MILLIS = 6_000;

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final long NO_TIME = -1;

	private static final TeamId NO_TEAM = TeamId.of("public");

	private final RelayService service;

	private final RelayRequest request;

	private final CallerReply reply;

	private final long startedMillis;

	private final Set<EndpointId> excluded = new HashSet<>();

	private Route route;

	private RoutingTable.Team team;

	private long version;

	private String serviceName = "";

	private long deadlineMillis;

	private ScheduledFuture<?> timer;

	private GrantSearch search;

	private RelayAttempt attempt;

	private int attempts;

	private boolean mayHaveRun;

	private AttemptFailure ownFailure;

	private boolean ended;

	private boolean begun;

	private PrefillPlan plan;

	private long firstMillis = NO_TIME;

	private long lastWriteMillis = NO_TIME;

	private long longestPauseMillis;

	private int parts;

	private long lastEventId;

	RelayRun(RelayService service, RelayRequest request, CallerReply reply) {
		this.service = service;
		this.request = request;
		this.reply = reply;
		this.startedMillis = service.nowMillis();
		this.lastEventId = request.lastEventId();
	}

	void start(RoutingTable table, Route chosen, RoutingTable.Team caller) {
		this.route = chosen;
		this.team = caller;
		this.version = table.version();
		this.serviceName = chosen.service(this.request.id().hashCode());
		long patience = (this.request.patienceMillis() == RelayRequest.NO_DEADLINE) ? chosen.timeoutMillis()
				: Math.min(chosen.timeoutMillis(), this.request.patienceMillis());
		this.deadlineMillis = this.startedMillis + patience;
		this.timer = this.service.loop().schedule(this::timeOut, patience, TimeUnit.MILLISECONDS);
		this.service.earnRetry(this.serviceName);
		this.plan = table.service(this.serviceName)
			.flatMap((target) -> PrefillPlan.of(target, this.request.promptTokens(), this.request.answerTokens()))
			.orElse(null);
		askForGrant();
	}

	private void askForGrant() {
		long started = (this.attempts == 0) ? this.startedMillis : this.service.nowMillis();
		AnswerPace pace = GrantSearch.Wanted.pace(this.route, started, this.deadlineMillis);
		GrantSearch.Wanted wanted = new GrantSearch.Wanted(this.request, this.request.id() + "." + this.attempts,
				teamId(), this.serviceName, this.plan, this.deadlineMillis, pace, this.excluded);
		this.search = new GrantSearch(this.service, wanted, this::startAttempt, this::denied);
		this.search.start();
	}

	private TeamId teamId() {
		return (this.team != null) ? this.team.id() : NO_TEAM;
	}

	private void startAttempt(AttemptPlace place) {
		this.attempts++;
		this.parts = place.helpers().size() + 1;
		this.attempt = new RelayAttempt(this, place, this.request.id() + "." + this.attempts);
		this.attempt.start();
	}

	private void denied(PoplarloomException cause) {
		if (this.begun) {
			abort(cause.code().text());
		}
		else {
			fail(cause);
		}
	}

	// An endpoint's own failure tells the caller more than one of the system's.
	private void fail(PoplarloomException cause) {
		if (this.ownFailure != null) {
			answer(this.ownFailure.answer(), this.ownFailure.body());
		}
		else {
			finish(refusal(cause));
		}
	}

	// Only what has certainly not run may be refused with a status that says so.
	private PoplarloomException refusal(PoplarloomException cause) {
		if (this.mayHaveRun) {
			return new PoplarloomException(ErrorCode.ENDPOINT_FAILED, Executed.UNKNOWN, cause.getMessage());
		}
		boolean isTimeout = cause.code() == ErrorCode.DEADLINE_EXCEEDED || cause.code() == ErrorCode.INTERNAL;
		ErrorCode code = isTimeout ? ErrorCode.NO_ENDPOINT : cause.code();
		return new PoplarloomException(code, Executed.NO, cause.getMessage(),
				Math.max(RETRY_AFTER_MILLIS, cause.retryAfterMillis()));
	}

	/**
	 * Takes the end of an attempt without an answer.
	 * @param ended the attempt
	 * @param failure why it ended
	 */
	void attemptFailed(RelayAttempt ended, AttemptFailure failure) {
		this.attempt = null;
		this.mayHaveRun |= failure.mayHaveRun();
		this.excluded.add((failure.faulty() != null) ? failure.faulty() : ended.endpoint());
		logger.info(
				"request={} event=attempt_failed attempt={} endpoint={} lifetime={} faulty={} mayHaveRun={} cause=\"{}\"",
				this.request.id(), this.attempts, ended.endpoint(), ended.lifetime(), failure.faulty(),
				failure.mayHaveRun(), failure.cause());
		this.service.metrics().attemptFailed(failure.mayHaveRun());
		if (failure.answer() != null) {
			this.ownFailure = failure;
		}
		if (failure.isConnectionLost()) {
			checkCrash(ended);
		}
		boolean mayRepeat = !this.mayHaveRun
				|| (this.route.isRepeatable() && (!this.begun || this.route.repetition() == Route.Repetition.RESUME));
		if (mayRepeat && this.attempts < this.route.attempts() && this.service.trySpendRetry(this.serviceName)) {
			askForGrant();
			return;
		}
		if (this.begun) {
			abort(failure.cause());
		}
		else {
			fail(new PoplarloomException(ErrorCode.NO_ENDPOINT, failure.cause()));
		}
	}

	private void checkCrash(RelayAttempt lost) {
		this.service.loop().schedule(() -> {
			if (!this.service.entries().isAlive(lost.endpoint(), lost.lifetime())) {
				this.service.noteCrash(fingerprint(), lost.endpoint(), lost.lifetime());
			}
		}, CRASH_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void timeOut() {
		if (this.ended) {
			return;
		}
		boolean isBegun = this.begun;
		dropAttempt();
		if (isBegun) {
			abort("deadline_exceeded");
		}
		else if (this.mayHaveRun) {
			finish(new PoplarloomException(ErrorCode.DEADLINE_EXCEEDED, Executed.UNKNOWN,
					"the request did not end by its deadline"));
		}
		else {
			finish(new PoplarloomException(ErrorCode.NO_ENDPOINT, "no endpoint was free before the deadline"));
		}
	}

	private void dropAttempt() {
		if (this.search != null) {
			this.search.cancel();
		}
		if (this.attempt != null) {
			this.mayHaveRun = true;
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	/**
	 * Ends the run because the caller has gone.
	 * @param reason the reason
	 */
	void cancel(String reason) {
		if (!this.ended) {
			dropAttempt();
			close("cancelled", reason);
		}
	}

	void refuse(PoplarloomException failure) {
		finish(failure);
	}

	private void finish(PoplarloomException failure) {
		close(failure.code().text(), failure.getMessage());
		this.reply.refuse(failure);
	}

	void answer(HttpResponse head, byte[] body) {
		close("answered", String.valueOf(head.status().code()));
		this.reply.answer(head, body);
	}

	/**
	 * Passes on an event unless the caller has it.
	 * @param head the head of the answer that it belongs to
	 * @param event the event
	 */
	void event(HttpResponse head, EventBuffer.Event event) {
		if (event.id() != RelayRequest.NO_EVENT) {
			if (event.id() <= this.lastEventId) {
				return;
			}
			this.lastEventId = event.id();
		}
		begin(head);
		notePause();
		this.reply.write(event.bytes());
	}

	private void notePause() {
		long now = this.service.nowMillis();
		if (this.lastWriteMillis != NO_TIME) {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, now - this.lastWriteMillis);
		}
		this.lastWriteMillis = now;
	}

	private void begin(HttpResponse head) {
		if (!this.begun) {
			this.begun = true;
			this.firstMillis = this.service.nowMillis() - this.startedMillis;
			this.reply.begin(head);
		}
	}

	void endStream(HttpResponse head, byte[] rest) {
		begin(head);
		if (rest.length > 0) {
			this.reply.write(rest);
		}
		close("streamed", "last event " + this.lastEventId);
		this.reply.end();
	}

	private void abort(String cause) {
		close("broken_off", cause);
		this.reply.abort();
	}

	private void close(String outcome, String detail) {
		this.ended = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		long ageMillis = this.service.nowMillis() - this.startedMillis;
		this.service.metrics().ended(outcome, this.request.promptTokens(), this.firstMillis, ageMillis);
		logger.info(
				"request={} event=ended outcome={} detail=\"{}\" route={} service={} team={} prompt={} attempts={}"
						+ " parts={} configuration={} first_ms={} pause_ms={} age_ms={}",
				this.request.id(), outcome, detail, (this.route != null) ? this.route.name() : "", this.serviceName,
				teamId(), this.request.promptTokens(), this.attempts, this.parts, this.version, this.firstMillis,
				this.longestPauseMillis, ageMillis);
	}

	/**
	 * Stops or resumes reading the answer.
	 * @param isReading whether the caller takes more
	 */
	void read(boolean isReading) {
		if (this.attempt != null) {
			this.attempt.read(isReading);
		}
	}

	String fingerprint() {
		int hash = Objects.hash(this.request.method(), this.request.apiKey(), Arrays.hashCode(this.request.body()));
		return this.request.target() + "#" + Integer.toHexString(hash) + "." + this.request.body().length;
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
		return (this.team != null) ? this.team.id().value() : "";
	}

	long remainingMillis() {
		return this.deadlineMillis - this.service.nowMillis();
	}

	long lastEventId() {
		return this.lastEventId;
	}

}
