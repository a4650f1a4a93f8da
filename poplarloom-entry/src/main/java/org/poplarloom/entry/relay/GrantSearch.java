package org.poplarloom.entry.relay;

import java.util.HashSet;
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
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.ParallelPrefill;
import org.poplarloom.core.version.PrefillPlan;
import org.poplarloom.core.version.Route;
import org.poplarloom.entry.request.GrantClient;
import org.poplarloom.entry.request.HeldGrant;
import org.poplarloom.port.relay.RelayRequest;

/**
 * Acquires grants of endpoints for one attempt of a request.
 * <p>
 * A home is the instance that grants the endpoints of one shard. A request without a
 * prefill plan is granted by a home that starts it at once, or else is queued at the home
 * that expects to start it first. A long prompt goes to a home that can start it in time
 * on one endpoint, or else to idle endpoints of all homes for a parallel prefill; both
 * are attempted repeatedly until the latency target can no longer be met. After that, a
 * prompt that fits into one endpoint is queued, and a longer one is prefilled late by
 * fewer endpoints. The search ends once, with endpoints or an error; grants that arrive
 * after it was cancelled are released. This class is not thread-safe; the event loop
 * guards it.
 */
final class GrantSearch {

	private static final Logger logger = LoggerFactory.getLogger(GrantSearch.class);

	/** Under load, an endpoint becomes idle every few dozen milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 80;

	private final RelayService service;

	private final Criteria criteria;

	private final Consumer<AttemptEndpoints> onFound;

	private final Consumer<PoplarloomException> onFailure;

	private int grantRequestCount;

	private boolean targetMissed;

	private boolean cancelled;

	private Disposable subscription;

	GrantSearch(RelayService service, Criteria criteria, Consumer<AttemptEndpoints> onFound,
			Consumer<PoplarloomException> onFailure) {
		this.service = service;
		this.criteria = criteria;
		this.onFound = onFound;
		this.onFailure = onFailure;
	}

	void start() {
		if (this.criteria.plan() == null) {
			acquireQueued();
		}
		else if (this.criteria.plan().isTooLargeForOneEngine()) {
			searchParallelPrefill();
		}
		else {
			subscribe(grantClient().acquireWithoutQueueing(grantRequest(null)), this::failFastRefused);
		}
	}

	private void acquireQueued() {
		subscribe(grantClient().acquire(grantRequest(null), ""), this::fail);
	}

	void cancel() {
		this.cancelled = true;
		if (this.subscription != null) {
			this.subscription.dispose();
		}
	}

	private GrantClient grantClient() {
		return this.service.node().grantClient();
	}

	private long remainingTargetMillis() {
		return this.criteria.latencyTarget().firstTokenTargetMillis() - this.service.nowMillis();
	}

	private void subscribe(Mono<HeldGrant> grant, Consumer<Throwable> onError) {
		this.subscription = grant.subscribe((acquired) -> this.service.loop().execute(() -> granted(acquired)),
				(failure) -> this.service.loop().execute(() -> onError.accept(failure)));
	}

	private void granted(HeldGrant grant) {
		if (this.cancelled) {
			grantClient().release(grant, null);
			return;
		}
		if (grant.grant().hasLatestStart() && grant.grant().latestStartMillis() < this.service.nowMillis()) {
			grantClient().release(grant, null);
			start();
			return;
		}
		if (!this.service.entries().mayServe(grant.grant().answeringEndpoint())) {
			grantClient().release(grant, null);
			this.criteria.excluded().add(grant.grant().answeringEndpoint());
			start();
			return;
		}
		AttemptEndpoints endpoints = AttemptEndpoints.of(grantClient(), grant);
		if (!endpoints.areUsable(this.service.entries().notices(), this.service.nowMillis())) {
			endpoints.release(null);
			this.service.loop().schedule(this::retry, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		this.onFound.accept(endpoints);
	}

	private void failFastRefused(Throwable failure) {
		boolean isBusy = failure instanceof PoplarloomException error && error.code() == ErrorCode.HOME_BUSY;
		if (this.cancelled || !isBusy) {
			fail(failure);
			return;
		}
		searchParallelPrefill();
	}

	private void searchParallelPrefill() {
		ParallelPrefill prefill = this.criteria.plan().withinTarget(remainingTargetMillis());
		if (prefill != null) {
			acquireParallel(prefill);
		}
		else if (this.criteria.plan().isTooLargeForOneEngine()) {
			searchLatePrefill();
		}
		else {
			acquireQueued();
		}
	}

	private void searchLatePrefill() {
		this.targetMissed = true;
		ParallelPrefill prefill = this.criteria.plan()
			.withinClientTimeout(this.criteria.latencyTarget().firstTokenDeadlineMillis() - this.service.nowMillis());
		if (prefill != null) {
			acquireParallel(prefill);
		}
		else {
			fail(new PoplarloomException(ErrorCode.NO_ENDPOINT, "too few endpoints are idle for so long a prompt"));
		}
	}

	// Not disposed of on cancellation, since the grants acquired so far would not be
	// released.
	private void acquireParallel(ParallelPrefill prefill) {
		grantClient().acquireParallelPrefill(grantRequest(prefill))
			.subscribe((grants) -> this.service.loop().execute(() -> parallelAcquired(prefill, grants)),
					(failure) -> this.service.loop().execute(() -> fail(failure)));
	}

	private void parallelAcquired(ParallelPrefill prefill, List<HeldGrant> grants) {
		int acquired = grants.stream().mapToInt((grant) -> grant.grant().shares().size()).sum();
		boolean isFound = !this.cancelled && acquired >= prefill.minParts();
		AttemptEndpoints endpoints = isFound
				? AttemptEndpoints.of(grantClient(), grants, this.criteria.request().promptTokens()) : null;
		if (isFound && endpoints.areUsable(this.service.entries().notices(), this.service.nowMillis())) {
			logger.info("request={} event=parts fewest={} most={} part_ms={} late={} questions={} got={} homes={}",
					this.criteria.request().id(), prefill.minParts(), prefill.maxParts(), (long) prefill.partMillis(),
					this.targetMissed, this.grantRequestCount, acquired, grants.size());
			this.onFound.accept(endpoints);
			return;
		}
		grants.forEach((grant) -> grantClient().release(grant, null));
		this.service.loop().schedule(this::retry, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void retry() {
		if (!this.cancelled) {
			start();
		}
	}

	private void fail(Throwable failure) {
		if (!this.cancelled) {
			this.onFailure.accept((failure instanceof PoplarloomException error) ? error
					: new PoplarloomException(ErrorCode.INTERNAL, String.valueOf(failure)));
		}
	}

	private GrantRequest grantRequest(ParallelPrefill prefill) {
		this.grantRequestCount++;
		LatencyTarget latencyTarget = this.criteria.latencyTarget();
		if (this.targetMissed) {
			latencyTarget = new LatencyTarget(latencyTarget.firstTokenDeadlineMillis(),
					latencyTarget.firstTokenDeadlineMillis(), latencyTarget.maxPauseMillis());
		}
		RelayRequest request = this.criteria.request();
		return new GrantRequest(this.criteria.id() + "." + this.grantRequestCount, 1, this.criteria.team(),
				this.criteria.serviceName(), request.promptTokens(), request.answerTokens(), 0,
				this.criteria.deadlineMillis(), false, excluded(), latencyTarget, prefill, this.criteria.fingerprint(),
				this.criteria.priority());
	}

	private Set<EndpointId> excluded() {
		Set<EndpointId> excluded = new HashSet<>(this.service.entries().notices().unusable(this.service.nowMillis()));
		excluded.addAll(this.criteria.excluded());
		return excluded;
	}

	/**
	 * The request that endpoints are searched for.
	 *
	 * @param request the caller's request
	 * @param id identifies the attempt, unique in the system
	 * @param team the team that the request is charged to
	 * @param serviceName the service
	 * @param plan how a long prompt is divided for a parallel prefill, or null for other
	 * requests
	 * @param deadlineMillis when the request must have ended, in milliseconds since the
	 * epoch
	 * @param latencyTarget when the first token is expected, when the caller stops
	 * waiting for it, and the longest pause between two events
	 * @param excluded endpoints that must not be used, since they have failed the
	 * request; the search adds endpoints that are not serving
	 * @param fingerprint a hash of the request's path, key and body, or
	 * {@link GrantRequest#NO_FINGERPRINT}
	 * @param priority the priority of the request, 0 for the highest
	 */
	record Criteria(RelayRequest request, String id, TeamId team, String serviceName, PrefillPlan plan,
			long deadlineMillis, LatencyTarget latencyTarget, Set<EndpointId> excluded, long fingerprint,
			int priority) {

		static LatencyTarget latencyTarget(Route route, long startedMillis, long deadlineMillis) {
			return new LatencyTarget(startedMillis + route.latencyTargetMillis(),
					Math.min(deadlineMillis, startedMillis + route.clientTimeoutMillis()), route.maxPauseMillis());
		}

	}

}
