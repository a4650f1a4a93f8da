package org.poplarloom.entry.relay;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.AnswerPace;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.PartsWanted;
import org.poplarloom.core.version.PrefillPlan;
import org.poplarloom.core.version.Route;
import org.poplarloom.entry.request.GrantClient;
import org.poplarloom.entry.request.HeldGrant;
import org.poplarloom.port.relay.RelayRequest;

/**
 * The search for endpoints for one attempt of a request.
 * <p>
 * A short prompt goes to the home that starts it soonest. A long one is tried at every
 * home and then in parts on idle endpoints of all homes, again and again until it cannot
 * start in time any more. Then one that fits an endpoint queues, and a longer one is read
 * late by fewer endpoints. The search ends once, with a place or a failure, and what it
 * is given after it was cancelled is given back. This class is not thread-safe; the event
 * loop guards it.
 */
final class GrantSearch {

	private static final Logger logger = LoggerFactory.getLogger(GrantSearch.class);

	/** Endpoints become idle every few dozen milliseconds under load. */
	private static final long RETRY_MILLIS = 80;

	private final RelayService service;

	private final Wanted wanted;

	private final Consumer<AttemptPlace> found;

	private final Consumer<PoplarloomException> failed;

	private int questions;

	private boolean late;

	private boolean cancelled;

	private Disposable asking;

	GrantSearch(RelayService service, Wanted wanted, Consumer<AttemptPlace> found,
			Consumer<PoplarloomException> failed) {
		this.service = service;
		this.wanted = wanted;
		this.found = found;
		this.failed = failed;
	}

	void start() {
		if (this.wanted.plan() == null) {
			queue();
		}
		else if (this.wanted.plan().isTooLargeForOne()) {
			collectParts();
		}
		else {
			ask(grants().acquirePromptly(question(null)), this::notPrompt);
		}
	}

	private void queue() {
		ask(grants().acquire(question(null), ""), this::fail);
	}

	void cancel() {
		this.cancelled = true;
		if (this.asking != null) {
			this.asking.dispose();
		}
	}

	private GrantClient grants() {
		return this.service.node().grants();
	}

	private long remainingTargetMillis() {
		return this.wanted.pace().targetMillis() - this.service.nowMillis();
	}

	private void ask(Mono<HeldGrant> grant, Consumer<Throwable> otherwise) {
		this.asking = grant.subscribe((held) -> this.service.loop().execute(() -> granted(held)),
				(failure) -> this.service.loop().execute(() -> otherwise.accept(failure)));
	}

	private void granted(HeldGrant held) {
		if (this.cancelled) {
			grants().release(held, null);
			return;
		}
		if (!this.service.entries().isServing(held.grant().answering())) {
			grants().release(held, null);
			this.wanted.excluded().add(held.grant().answering());
			start();
			return;
		}
		this.found.accept(AttemptPlace.of(grants(), held));
	}

	private void notPrompt(Throwable failure) {
		boolean isBusy = failure instanceof PoplarloomException known && known.code() == ErrorCode.HOME_BUSY;
		if (this.cancelled || !isBusy) {
			fail(failure);
			return;
		}
		collectParts();
	}

	private void collectParts() {
		PartsWanted inTime = this.wanted.plan().inTime(remainingTargetMillis());
		if (inTime != null) {
			collect(inTime);
		}
		else if (this.wanted.plan().isTooLargeForOne()) {
			collectLate();
		}
		else {
			queue();
		}
	}

	private void collectLate() {
		this.late = true;
		PartsWanted parts = this.wanted.plan().late(this.wanted.pace().latestMillis() - this.service.nowMillis());
		if (parts != null) {
			collect(parts);
		}
		else {
			fail(new PoplarloomException(ErrorCode.NO_ENDPOINT, "too few endpoints are idle for so long a prompt"));
		}
	}

	// Not disposed of when cancelled, as the grants collected so far would be lost.
	private void collect(PartsWanted parts) {
		grants().acquireParts(question(parts))
			.subscribe((held) -> this.service.loop().execute(() -> collected(parts, held)),
					(failure) -> this.service.loop().execute(() -> fail(failure)));
	}

	private void collected(PartsWanted parts, List<HeldGrant> held) {
		int got = held.stream().mapToInt((grant) -> grant.grant().shares().size()).sum();
		if (!this.cancelled && got >= parts.fewest()) {
			logger.info("request={} event=parts fewest={} most={} part_ms={} late={} questions={} got={} homes={}",
					this.wanted.request().id(), parts.fewest(), parts.most(), (long) parts.partMillis(), this.late,
					this.questions, got, held.size());
			this.found.accept(AttemptPlace.of(grants(), held, this.wanted.request().promptTokens()));
			return;
		}
		held.forEach((grant) -> grants().release(grant, null));
		this.service.loop().schedule(this::tryAgain, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tryAgain() {
		if (!this.cancelled) {
			start();
		}
	}

	private void fail(Throwable failure) {
		if (!this.cancelled) {
			this.failed.accept((failure instanceof PoplarloomException known) ? known
					: new PoplarloomException(ErrorCode.INTERNAL, String.valueOf(failure)));
		}
	}

	private GrantRequest question(PartsWanted parts) {
		this.questions++;
		AnswerPace pace = this.wanted.pace();
		if (this.late) {
			pace = new AnswerPace(pace.latestMillis(), pace.latestMillis(), pace.pauseMillis());
		}
		RelayRequest request = this.wanted.request();
		return new GrantRequest(this.wanted.id() + "." + this.questions, 1, this.wanted.team(),
				this.wanted.serviceName(), request.promptTokens(), request.answerTokens(), 0,
				this.wanted.deadlineMillis(), false, this.wanted.excluded(), pace, parts);
	}

	/**
	 * What endpoints are wanted for.
	 *
	 * @param request the caller's request
	 * @param id names the attempt, unique in the system
	 * @param team the team that the request is charged to
	 * @param serviceName the service
	 * @param plan how a long prompt is divided, or null for other requests
	 * @param deadlineMillis when the request must have ended, in milliseconds since the
	 * epoch
	 * @param pace when the caller expects the first token and how it goes on
	 * @param excluded endpoints that have already failed the request; the search adds
	 * more
	 */
	record Wanted(RelayRequest request, String id, TeamId team, String serviceName, PrefillPlan plan,
			long deadlineMillis, AnswerPace pace, Set<EndpointId> excluded) {

		static AnswerPace pace(Route route, long startedMillis, long deadlineMillis) {
			return new AnswerPace(startedMillis + route.targetMillis(),
					Math.min(deadlineMillis, startedMillis + route.patienceMillis()), route.pauseMillis());
		}

	}

}
