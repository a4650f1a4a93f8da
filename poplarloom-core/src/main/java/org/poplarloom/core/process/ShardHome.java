package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.admission.AdmissionRule;
import org.poplarloom.core.admission.AdmissionRules;
import org.poplarloom.core.admission.DeadlineRules;
import org.poplarloom.core.admission.QueueOrder;
import org.poplarloom.core.admission.QueuedRequest;
import org.poplarloom.core.admission.SharesRules;
import org.poplarloom.core.admission.TeamUsage;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;

/**
 * Admission control for the endpoints of one shard. The home of a shard is the one
 * instance that grants them, so only its allocations are exact.
 * <p>
 * KV cache memory granted on an endpoint never exceeds what it reported, its running
 * requests never exceed its slow-start ramp, and a request that needs several endpoints
 * gets all of them or none. The rate of grants on a cold endpoint stays below the one
 * that it tolerates, also together with a home that was replaced or takes over; see
 * {@link ColdRequestLimit}. Until the settle time ends, holders may announce grants of
 * the previous home; meanwhile only a few short requests are granted. An operation that
 * makes room for queued requests returns the decisions on them. This class is
 * thread-safe; one lock guards all its tables and no other lock is taken while it is
 * held.
 */
public final class ShardHome {

	private static final long EXPIRY_PERIOD_MILLIS = 1_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	/**
	 * Time after which instances agree on the home, where none is given, in milliseconds.
	 */
	private static final long DEFAULT_AGREEMENT_MILLIS = 4_000;

	/**
	 * A home that has not run for this time may have been replaced, in milliseconds:
	 * shorter than a failure timeout less a heartbeat period.
	 */
	private static final long MAX_PAUSE_MILLIS = 500;

	private final ColdStartRamp.Settings rampSettings;

	private final ShardAllocations allocations;

	private final AdmissionRules rules;

	private final QueueOrder queue;

	private final DeadlineCheck deadlineCheck;

	private final GrantDispatcher dispatcher;

	private final long agreementMillis;

	private long lastRunMillis = Long.MIN_VALUE / 2;

	private long lastExpiryMillis;

	private boolean isOut;

	private ShardHome(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, long settleEndMillis,
			long agreementMillis, boolean hasTeamShares) {
		this.agreementMillis = agreementMillis;
		this.rampSettings = rampSettings;
		this.allocations = new ShardAllocations(rampSettings);
		this.rules = hasTeamShares ? new SharesRules(new EndpointCapacity(policy, this.allocations), settleEndMillis)
				: new DeadlineRules(policy.hasLengthClasses());
		this.queue = this.rules.queue();
		this.deadlineCheck = new DeadlineCheck(policy, this.allocations, this.rules);
		this.dispatcher = new GrantDispatcher(policy, rampSettings, this.allocations, this.rules, settleEndMillis);
	}

	/**
	 * Returns a home without endpoints.
	 * @param policy the policy that places requests on endpoints
	 * @param rampSettings the slow-start ramp of endpoints that have just started
	 * @param settleEndMillis when the settle time for announcements of the previous
	 * home's grants ends, in milliseconds since the epoch
	 * @return the home
	 */
	public static ShardHome of(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, long settleEndMillis) {
		return new ShardHome(policy, rampSettings, settleEndMillis, DEFAULT_AGREEMENT_MILLIS, false);
	}

	/**
	 * Returns a home without endpoints.
	 * @param policy the policy that places requests on endpoints
	 * @param rampSettings the slow-start ramp of endpoints that have just started
	 * @param settleEndMillis when the settle time for announcements of the previous
	 * home's grants ends, in milliseconds since the epoch
	 * @param agreementMillis how long two instances may take themselves for the home, in
	 * milliseconds
	 * @return the home
	 */
	public static ShardHome of(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, long settleEndMillis,
			long agreementMillis) {
		return new ShardHome(policy, rampSettings, settleEndMillis, agreementMillis, false);
	}

	/**
	 * Returns a home without endpoints that shares the engines' time among the teams
	 * while requests wait.
	 * @param policy the policy that places requests on endpoints
	 * @param rampSettings the slow-start ramp of endpoints that have just started
	 * @param settleEndMillis when the settle time for announcements of the previous
	 * home's grants ends, in milliseconds since the epoch
	 * @param agreementMillis how long two instances may take themselves for the home, in
	 * milliseconds
	 * @return the home
	 */
	public static ShardHome withTeamShares(PlacementPolicy policy, ColdStartRamp.Settings rampSettings,
			long settleEndMillis, long agreementMillis) {
		return new ShardHome(policy, rampSettings, settleEndMillis, agreementMillis, true);
	}

	/**
	 * Records that another instance may take itself for the home, so that this home
	 * leaves it most of the rate that cold endpoints tolerate until they have agreed.
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void expectOtherHome(long nowMillis) {
		this.allocations.shareColdRates(nowMillis + this.agreementMillis, nowMillis);
	}

	// Covers the take-over as well, since a new home has not run before.
	private void detectPause(long nowMillis) {
		if (nowMillis - this.lastRunMillis > MAX_PAUSE_MILLIS) {
			expectOtherHome(nowMillis);
		}
		this.lastRunMillis = Math.max(this.lastRunMillis, nowMillis);
	}

	/**
	 * Grants, queues or refuses a request.
	 * @param holder the instance that would hold the grant
	 * @param request the request; a repeated one replaces the queued one or gets the
	 * grant that it already has
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the decision, never null
	 */
	public GrantDecision request(InstanceId holder, GrantRequest request, long nowMillis) {
		return request(holder, request, true, nowMillis);
	}

	/**
	 * Grants, queues or refuses a request whose holder may try another home instead of
	 * waiting in this one's queue.
	 * @param holder the instance that would hold the grant
	 * @param request the request; a repeated one replaces the queued one or gets the
	 * grant that it already has
	 * @param mayQueue whether the request is queued if it cannot start in time; if false,
	 * it fails fast: it is refused with the estimated wait
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the decision, never null
	 */
	public GrantDecision request(InstanceId holder, GrantRequest request, boolean mayQueue, long nowMillis) {
		return decide(holder, request, mayQueue, nowMillis).decision();
	}

	/**
	 * Grants, queues or refuses a request and names the rule that decided.
	 * @param holder the instance that would hold the grant
	 * @param request the request; a repeated one replaces the queued one or gets the
	 * grant that it already has
	 * @param mayQueue whether the request is queued if it cannot start in time; if false,
	 * it fails fast: it is refused with the estimated wait
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the decision, never null
	 */
	public synchronized HomeDecision decide(InstanceId holder, GrantRequest request, boolean mayQueue, long nowMillis) {
		detectPause(nowMillis);
		Grant existing = this.allocations.grant(request.key());
		if (existing != null) {
			return new HomeDecision(holder, new GrantDecision.Granted(existing));
		}
		this.dispatcher.recordArrival(request, nowMillis);
		if (request.parallelPrefill() != null) {
			return new HomeDecision(holder, decideParts(holder, request, nowMillis));
		}
		DeadlineCheck.Refusal refusal = this.isOut ? new DeadlineCheck.Refusal(ErrorCode.ZONE_OUT, AdmissionRule.NONE)
				: this.deadlineCheck.refusal(request, nowMillis);
		if (refusal != null) {
			return refuse(holder, request, refusal, mayQueue, nowMillis);
		}
		Grant grant = this.rules.isFirst(request, nowMillis)
				? this.dispatcher.tryGrant(holder, request, mayQueue, nowMillis) : null;
		if (grant != null) {
			AdmissionRule rule = this.rules.recordGrant(request, nowMillis);
			return new HomeDecision(holder, new GrantDecision.Granted(grant), rule);
		}
		if (!mayQueue) {
			double delay = this.deadlineCheck.estimateFirstTokenMillis(request, nowMillis);
			return new HomeDecision(holder, new GrantDecision.Refused(request.requestId(), request.attempt(),
					ErrorCode.HOME_BUSY, (long) delay + 1));
		}
		this.rules.enqueue(holder, request, nowMillis);
		return new HomeDecision(holder, new GrantDecision.Queued(request.requestId(), request.attempt()));
	}

	private HomeDecision refuse(InstanceId holder, GrantRequest request, DeadlineCheck.Refusal refusal,
			boolean mayQueue, long nowMillis) {
		long coldWait = this.deadlineCheck.coldWaitMillis(request, nowMillis);
		long retryAfter = (coldWait > 0) ? coldWait : RETRY_AFTER_MILLIS;
		if (refusal.code() == ErrorCode.DEADLINE_UNREACHABLE || refusal.code() == ErrorCode.QUEUE_FULL) {
			retryAfter = this.rules.recordRefusal(request, retryAfter, mayQueue, nowMillis);
		}
		GrantDecision decision = new GrantDecision.Refused(request.requestId(), request.attempt(), refusal.code(),
				retryAfter);
		return new HomeDecision(holder, decision, refusal.rule());
	}

	private GrantDecision decideParts(InstanceId holder, GrantRequest request, long nowMillis) {
		Grant grant = this.isOut ? null : this.dispatcher.tryGrantParts(holder, request, nowMillis);
		if (grant == null) {
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.HOME_BUSY,
					RETRY_AFTER_MILLIS);
		}
		this.rules.recordGrant(request, nowMillis);
		return new GrantDecision.Granted(grant);
	}

	/**
	 * Records a grant of the previous home that its holder announces as still in use.
	 * @param holder the instance that holds the grant
	 * @param grant the grant
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void announce(InstanceId holder, Grant grant, long nowMillis) {
		this.queue.remove(grant.key());
		this.allocations.allocate(holder, grant, nowMillis);
		this.allocations.forEachEndpoint(grant, (endpoint) -> endpoint.speed().ignore(grant.key()));
	}

	/**
	 * Starts or stops to learn the endpoints' speeds from their answers.
	 * @param isLearning whether to learn
	 */
	public synchronized void learnSpeeds(boolean isLearning) {
		this.allocations.learnSpeeds(isLearning);
	}

	/**
	 * Ends the settle time, since no holder can have a grant of a previous home.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests, empty if the settle time has ended before
	 */
	public synchronized List<HomeDecision> endSettleTime(long nowMillis) {
		if (!this.dispatcher.isSettling(nowMillis)) {
			return List.of();
		}
		this.dispatcher.endSettleTime(nowMillis);
		return dispatchQueued(nowMillis);
	}

	/**
	 * Returns whether holders may still announce grants of a previous home.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return true during the settle time
	 */
	public synchronized boolean isSettling(long nowMillis) {
		return this.dispatcher.isSettling(nowMillis);
	}

	/**
	 * Returns whether a request waits in the queue.
	 * @return true if the queue is not empty
	 */
	public synchronized boolean hasQueuedRequests() {
		return this.queue.size() > 0;
	}

	/**
	 * Records that a request has produced its first token.
	 * @param key the identity of the grant; an unknown one is ignored
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests
	 */
	public synchronized List<HomeDecision> recordFirstToken(String key, long nowMillis) {
		Grant found = this.allocations.grant(key);
		if (found == null) {
			return List.of();
		}
		this.rules.recordFirstToken(key);
		this.allocations.forEachEndpoint(found, (endpoint) -> endpoint.recordFirstToken(key, nowMillis));
		return found.request().lengthClass().isLong() ? dispatchQueued(nowMillis) : List.of();
	}

	/**
	 * Records that one endpoint has prefilled its segment of a prompt and that the next
	 * endpoint of the grant starts.
	 * @param key the identity of the grant; an unknown one is ignored
	 * @param segment the segment that was prefilled, counted from 0
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests
	 */
	public synchronized List<HomeDecision> recordSegmentPrefilled(String key, int segment, long nowMillis) {
		Grant found = this.allocations.grant(key);
		if (found == null || segment < 0 || segment + 1 >= found.shares().size()) {
			return List.of();
		}
		EndpointAllocations finished = this.allocations.endpoint(found.shares().get(segment).endpoint());
		EndpointAllocations next = this.allocations.endpoint(found.shares().get(segment + 1).endpoint());
		if (finished != null) {
			finished.recordFirstToken(key, nowMillis);
		}
		if (next != null) {
			next.startPrefill(key);
		}
		return dispatchQueued(nowMillis);
	}

	/**
	 * Releases a grant or removes a request from the queue.
	 * @param key the identity of the grant
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests
	 */
	public synchronized List<HomeDecision> release(String key, long nowMillis) {
		boolean hadReservedRoom = this.queue.isOverdue(key);
		this.queue.remove(key);
		this.rules.recordRelease(key, nowMillis);
		return (this.allocations.release(key) || hadReservedRoom) ? dispatchQueued(nowMillis) : List.of();
	}

	/**
	 * Releases all grants of an instance and removes its requests from the queue.
	 * @param holder the instance, which is known to have ended
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests
	 */
	public synchronized List<HomeDecision> releaseHolder(InstanceId holder, long nowMillis) {
		this.queue.all()
			.stream()
			.filter((queued) -> queued.holder().equals(holder))
			.forEach((queued) -> this.queue.remove(queued.request().key()));
		return this.allocations.releaseHolder(holder) ? dispatchQueued(nowMillis) : List.of();
	}

	/**
	 * Releases expired grants, refuses queued requests whose callers have timed out and
	 * dispatches queued requests.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests
	 */
	public synchronized List<HomeDecision> tick(long nowMillis) {
		detectPause(nowMillis);
		if (nowMillis - this.lastExpiryMillis >= EXPIRY_PERIOD_MILLIS) {
			this.lastExpiryMillis = nowMillis;
			this.allocations.releaseExpired(nowMillis);
		}
		List<HomeDecision> decisions = refuse(this.rules.expired(nowMillis), nowMillis);
		if (this.queue.size() > 0) {
			decisions.addAll(dispatchQueued(nowMillis));
		}
		return decisions;
	}

	private List<HomeDecision> refuse(List<AdmissionRules.Unservable> unservable, long nowMillis) {
		List<HomeDecision> decisions = new ArrayList<>();
		for (AdmissionRules.Unservable request : unservable) {
			QueuedRequest queued = request.queued();
			if (request.code() == ErrorCode.DEADLINE_UNREACHABLE) {
				DeadlineCheck.Refusal refusal = new DeadlineCheck.Refusal(request.code(), request.rule());
				decisions.add(refuse(queued.holder(), queued.request(), refusal, true, nowMillis));
			}
			else {
				decisions.add(refuse(queued, request.code(), request.rule()));
			}
			this.queue.remove(queued.request().key());
		}
		return decisions;
	}

	private HomeDecision refuse(QueuedRequest queued, ErrorCode code, AdmissionRule rule) {
		GrantRequest request = queued.request();
		this.queue.remove(request.key());
		return new HomeDecision(queued.holder(),
				new GrantDecision.Refused(request.requestId(), request.attempt(), code, RETRY_AFTER_MILLIS), rule);
	}

	private List<HomeDecision> dispatchQueued(long nowMillis) {
		detectPause(nowMillis);
		return this.dispatcher.dispatch(nowMillis);
	}

	/**
	 * Applies endpoint reports and removes endpoints that are no longer in the shard.
	 * <p>
	 * The slow-start ramp of an endpoint that is new to the home counts from its start,
	 * so an endpoint that started long enough ago gets its full load.
	 * @param reports the reports of all endpoints of the shard
	 * @param outEndpoints endpoints that operators have taken out
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests
	 */
	public synchronized List<HomeDecision> observe(Collection<EndpointReport> reports, Set<EndpointId> outEndpoints,
			long nowMillis) {
		detectPause(nowMillis);
		int previousLimit = limit(nowMillis);
		this.allocations.observe(reports, outEndpoints, nowMillis);
		List<HomeDecision> decisions = new ArrayList<>();
		if (this.queue.size() > 0 && limit(nowMillis) < previousLimit) {
			decisions.addAll(refuse(this.rules.unreachable(nowMillis), nowMillis));
		}
		decisions.addAll(dispatchQueued(nowMillis));
		return decisions;
	}

	private int limit(long nowMillis) {
		return this.allocations.endpoints().stream().mapToInt((endpoint) -> endpoint.limit(nowMillis)).sum();
	}

	/**
	 * Returns whether an endpoint should be polled for a report, and if so records that
	 * the poll has started.
	 * @param endpoint the endpoint
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return true if the last poll is too long ago, the endpoint is marked unreachable
	 * or it has not reported to this home yet
	 */
	public synchronized boolean startPollIfDue(EndpointId endpoint, long nowMillis) {
		EndpointAllocations found = this.allocations.endpoint(endpoint);
		return found == null || found.startPollIfDue(nowMillis);
	}

	/**
	 * Makes the next poll of an endpoint due at once, since its state has changed.
	 * @param endpoint the endpoint; one outside the shard is ignored
	 */
	public synchronized void pollSoon(EndpointId endpoint) {
		EndpointAllocations found = this.allocations.endpoint(endpoint);
		if (found != null) {
			found.pollSoon();
		}
	}

	/**
	 * Marks an endpoint that could not be reached, so that it is not granted until its
	 * next report or a timeout.
	 * <p>
	 * If that report shows a restart, the endpoint's grants are lost and it starts
	 * slowly.
	 * @param endpoint the endpoint; one outside the shard is ignored
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void markUnreachable(EndpointId endpoint, long nowMillis) {
		EndpointAllocations found = this.allocations.endpoint(endpoint);
		if (found != null) {
			found.markUnreachable(nowMillis);
		}
	}

	/**
	 * Stops or resumes granting; when it resumes, all endpoints restart their slow-start
	 * ramps and count as cold for a short time, since they may have become cold.
	 * @param isOut whether the shard's zone is out and takes no new work
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return refusals of the queued requests, empty if the zone is in
	 */
	public synchronized List<HomeDecision> setOut(boolean isOut, long nowMillis) {
		if (this.isOut && !isOut) {
			this.allocations.endpoints().forEach((endpoint) -> endpoint.resume(nowMillis));
		}
		this.isOut = isOut;
		if (!isOut) {
			return List.of();
		}
		return this.queue.all()
			.stream()
			.map((queued) -> refuse(queued, ErrorCode.ZONE_OUT, AdmissionRule.NONE))
			.toList();
	}

	/**
	 * Refuses all queued requests because another instance is now the home.
	 * @return the refusals
	 */
	public synchronized List<HomeDecision> stepDown() {
		return this.queue.all()
			.stream()
			.map((queued) -> refuse(queued, ErrorCode.NOT_HOME, AdmissionRule.NONE))
			.toList();
	}

	/**
	 * Raises the fencing token above every token that an endpoint of the shard has seen.
	 * @param instance the instance that is the home
	 * @return the token now in force
	 */
	public synchronized FencingToken raiseFencingToken(InstanceId instance) {
		return this.dispatcher.raiseFencingToken(instance);
	}

	/**
	 * Returns a summary of the shard's load for other instances.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the summary
	 */
	public synchronized HomeSummary summary(long nowMillis) {
		long slots = 0;
		int running = 0;
		for (EndpointAllocations endpoint : this.allocations.endpoints()) {
			slots += endpoint.isWarm(nowMillis) ? endpoint.report().slots() : this.rampSettings.floor();
			running += endpoint.running();
		}
		return new HomeSummary(this.allocations.endpoints().size(), (int) Math.min(Integer.MAX_VALUE, slots), running,
				this.queue.size(), this.isOut);
	}

	/**
	 * Returns the prompt segments in endpoints' KV caches whose grants have been unknown
	 * to this home for some time.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the endpoints and the identities of the grants, empty until the settle time
	 * ends
	 */
	public synchronized List<Orphan> orphans(long nowMillis) {
		if (this.dispatcher.isSettling(nowMillis)) {
			return List.of();
		}
		return this.allocations.orphans(nowMillis);
	}

	/**
	 * Describes the queue and the load of the endpoints for the log.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the queue and the load of every endpoint, empty if no request is queued
	 */
	public synchronized String describeQueue(long nowMillis) {
		if (this.queue.size() == 0) {
			return "";
		}
		List<String> endpoints = this.allocations.endpoints()
			.stream()
			.map((endpoint) -> endpoint.describe(nowMillis))
			.toList();
		String teams = this.rules.describe();
		return "queued=" + this.queue.size() + " longTokens=" + this.queue.longTokens() + " endpoints=" + endpoints
				+ (teams.isEmpty() ? "" : " " + teams);
	}

	/**
	 * Returns what the teams have received from this home and wait for.
	 * @return at most {@link TeamUsage#MAX_REPORTED_TEAMS} teams; empty if the home does
	 * not share the engines' time among teams
	 */
	public synchronized List<TeamUsage> teams() {
		return this.rules.teams();
	}

	/**
	 * Returns the endpoints of the shard.
	 * @return the endpoints in ascending order
	 */
	public synchronized List<EndpointId> endpoints() {
		return this.allocations.endpoints().stream().map(EndpointAllocations::id).toList();
	}

	/**
	 * Returns the number of requests granted on an endpoint.
	 * @param endpoint the endpoint
	 * @return a number from 0, 0 if the endpoint is not in the shard
	 */
	public synchronized int runningOn(EndpointId endpoint) {
		EndpointAllocations found = this.allocations.endpoint(endpoint);
		return (found != null) ? found.running() : 0;
	}

	/**
	 * A prompt segment that an endpoint keeps in its KV cache although no grant is held
	 * for it.
	 *
	 * @param endpoint the endpoint
	 * @param key the identity of the grant that the segment was prefilled for
	 */
	public record Orphan(EndpointId endpoint, String key) {
	}

}
