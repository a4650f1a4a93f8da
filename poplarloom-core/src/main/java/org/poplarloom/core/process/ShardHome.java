package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

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

	private static final int MAX_QUEUED_REQUESTS = 10_000;

	private static final long GRANT_EXPIRY_SLACK_MILLIS = 2_000;

	private static final long EXPIRY_PERIOD_MILLIS = 1_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int MAX_FAILED_PLACEMENTS_PER_DISPATCH = 64;

	private static final double URGENT_SLACK_RATIO = 1.5;

	/**
	 * Time after which instances agree on the home, where none is given, in milliseconds.
	 */
	private static final long DEFAULT_AGREEMENT_MILLIS = 4_000;

	/**
	 * A home that has not run for this time may have been replaced, in milliseconds:
	 * shorter than a failure timeout less a heartbeat period.
	 */
	private static final long MAX_PAUSE_MILLIS = 500;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private final PlacementPolicy policy;

	private final ColdStartRamp.Settings rampSettings;

	private final ShardAllocations allocations;

	private final GrantQueue queue;

	private final ShortPromptLoad shortLoad = new ShortPromptLoad();

	private FencingToken fencingToken = FencingToken.NONE;

	private long settleEndMillis;

	private final long agreementMillis;

	private long lastRunMillis = Long.MIN_VALUE / 2;

	private long lastExpiryMillis;

	private boolean isOut;

	private ShardHome(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, long settleEndMillis,
			long agreementMillis) {
		this.agreementMillis = agreementMillis;
		this.policy = policy;
		this.rampSettings = rampSettings;
		this.allocations = new ShardAllocations(rampSettings);
		this.settleEndMillis = settleEndMillis;
		this.queue = new GrantQueue(policy.hasLengthClasses());
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
		return new ShardHome(policy, rampSettings, settleEndMillis, DEFAULT_AGREEMENT_MILLIS);
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
		return new ShardHome(policy, rampSettings, settleEndMillis, agreementMillis);
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
	public synchronized GrantDecision request(InstanceId holder, GrantRequest request, boolean mayQueue,
			long nowMillis) {
		detectPause(nowMillis);
		Grant existing = this.allocations.grant(request.key());
		if (existing != null) {
			return new GrantDecision.Granted(existing);
		}
		if (!request.lengthClass().isLong()) {
			this.shortLoad.add(request.promptTokens(), nowMillis);
		}
		if (request.parallelPrefill() != null) {
			return decideParts(holder, request, nowMillis);
		}
		ErrorCode refusal = refusal(request, nowMillis);
		if (refusal != null) {
			long coldWait = coldWaitMillis(request, nowMillis);
			return new GrantDecision.Refused(request.requestId(), request.attempt(), refusal,
					(coldWait > 0) ? coldWait : RETRY_AFTER_MILLIS);
		}
		Grant grant = this.queue.isFirst(request, nowMillis) ? tryGrant(holder, request, mayQueue, nowMillis) : null;
		if (grant != null) {
			return new GrantDecision.Granted(grant);
		}
		if (!mayQueue) {
			double delay = estimateFirstTokenMillis(request, nowMillis);
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.HOME_BUSY,
					(long) delay + 1);
		}
		this.queue.add(holder, request);
		return new GrantDecision.Queued(request.requestId(), request.attempt());
	}

	private double estimateFirstTokenMillis(GrantRequest request, long nowMillis) {
		double estimate = this.policy.estimateFirstTokenMillis(request, this.allocations.endpoints(), nowMillis);
		long coldWait = coldWaitMillis(request, nowMillis);
		return (coldWait > 0) ? Math.min(estimate, coldWait) : estimate;
	}

	/**
	 * Estimates how long a request waits because all its endpoints are cold: until those
	 * in the queue before it are granted at the rates of the endpoints, or until the
	 * first endpoint is warm.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds, 0 if an endpoint is warm or none is eligible
	 */
	private long coldWaitMillis(GrantRequest request, long nowMillis) {
		double requestsPerSecond = 0;
		double available = 0;
		long coldMillis = Long.MAX_VALUE;
		for (EndpointAllocations endpoint : this.allocations.endpoints()) {
			if (endpoint.isEligible(request)) {
				ColdRequestLimit limit = endpoint.coldLimit();
				requestsPerSecond += limit.requestsPerSecond(nowMillis);
				available += Math.floor(limit.available(nowMillis));
				coldMillis = Math.min(coldMillis, limit.remainingMillis(nowMillis));
			}
		}
		if (requestsPerSecond == 0 || coldMillis == 0) {
			return 0;
		}
		double missing = Math.max(0, this.queue.size() + 1 - available);
		return Math.min(coldMillis, (long) Math.ceil(missing / requestsPerSecond * MILLIS_PER_SECOND));
	}

	private GrantDecision decideParts(InstanceId holder, GrantRequest request, long nowMillis) {
		List<Share> shares = (this.isOut || nowMillis < this.settleEndMillis) ? List.of()
				: this.policy.placeParts(request, this.allocations.endpoints(), nowMillis);
		if (shares.isEmpty()) {
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.HOME_BUSY,
					RETRY_AFTER_MILLIS);
		}
		return new GrantDecision.Granted(allocate(holder, request, shares, nowMillis));
	}

	private ErrorCode refusal(GrantRequest request, long nowMillis) {
		if (this.isOut) {
			return ErrorCode.ZONE_OUT;
		}
		List<EndpointAllocations> eligible = this.allocations.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.isEligible(request))
			.toList();
		LongStream memory = eligible.stream().mapToLong((endpoint) -> endpoint.report().kvTokens());
		long capacity = this.policy.isPrefillParallel() ? memory.max().orElse(0) : memory.sum();
		if (eligible.isEmpty() || capacity < request.kvTokens()) {
			return ErrorCode.NO_ENDPOINT;
		}
		if (this.queue.size() >= MAX_QUEUED_REQUESTS) {
			return ErrorCode.QUEUE_FULL;
		}
		return canStartBeforeTimeout(request, eligible, nowMillis) ? null : ErrorCode.DEADLINE_UNREACHABLE;
	}

	private boolean canStartBeforeTimeout(GrantRequest request, List<EndpointAllocations> eligible, long nowMillis) {
		double queuedTokensPerEndpoint = request.lengthClass().isLong()
				? (double) this.queue.longTokens() / eligible.size() : 0;
		EndpointAllocations first = eligible.get(0);
		double prefillMillis = this.policy.isPrefillParallel()
				? first.prefillMillis(request.promptTokens()) / eligible.size()
						+ first.prefillMillis((long) queuedTokensPerEndpoint)
				: first.prefillMillis(request.promptTokens() + (long) queuedTokensPerEndpoint);
		return nowMillis + coldWaitMillis(request, nowMillis) + prefillMillis <= request.latencyTarget()
			.firstTokenDeadlineMillis();
	}

	private Grant tryGrant(InstanceId holder, GrantRequest request, boolean mayQueue, long nowMillis) {
		if (nowMillis < this.settleEndMillis && !mayGrantBeforeSettled(request)) {
			return null;
		}
		List<Share> shares = mayQueue
				? this.policy.place(request, this.allocations.endpoints(), this.shortLoad, nowMillis)
				: this.policy.placeWithinTarget(request, this.allocations.endpoints(), this.shortLoad, nowMillis);
		return shares.isEmpty() ? null : allocate(holder, request, shares, nowMillis);
	}

	private Grant allocate(InstanceId holder, GrantRequest request, List<Share> shares, long nowMillis) {
		long expiry = request.deadlineMillis() + GRANT_EXPIRY_SLACK_MILLIS;
		int priority = this.policy.priority(request, isUrgent(request, nowMillis));
		boolean isCold = this.allocations.recordGrant(shares, nowMillis);
		long latestStart = isCold ? nowMillis + ColdRequestLimit.MAX_START_DELAY_MILLIS : Grant.NO_LATEST_START;
		Grant grant = new Grant(request, shares, this.fencingToken, expiry, priority, this.policy.isPrefillParallel(),
				latestStart);
		this.allocations.allocate(holder, grant, nowMillis);
		return grant;
	}

	private boolean mayGrantBeforeSettled(GrantRequest request) {
		long running = this.allocations.grantCount();
		return !request.lengthClass().isLong()
				&& running < (long) this.rampSettings.floor() * this.allocations.endpoints().size();
	}

	private boolean isUrgent(GrantRequest request, long nowMillis) {
		double prefillMillis = this.allocations.endpoints().get(0).prefillMillis(request.promptTokens());
		return nowMillis + prefillMillis * URGENT_SLACK_RATIO > request.deadlineMillis();
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
	}

	/**
	 * Ends the settle time, since no holder can have a grant of a previous home.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on queued requests, empty if the settle time has ended before
	 */
	public synchronized List<HomeDecision> endSettleTime(long nowMillis) {
		if (nowMillis >= this.settleEndMillis) {
			return List.of();
		}
		this.settleEndMillis = nowMillis;
		return dispatchQueued(nowMillis);
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
		this.queue.remove(key);
		return this.allocations.release(key) ? dispatchQueued(nowMillis) : List.of();
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
		if (this.queue.size() == 0) {
			return List.of();
		}
		List<HomeDecision> decisions = new ArrayList<>();
		for (GrantQueue.QueuedRequest queued : this.queue.all()) {
			if (queued.request().latencyTarget().firstTokenDeadlineMillis() <= nowMillis) {
				decisions.add(refuse(queued, ErrorCode.DEADLINE_EXCEEDED));
			}
		}
		decisions.addAll(dispatchQueued(nowMillis));
		return decisions;
	}

	private HomeDecision refuse(GrantQueue.QueuedRequest queued, ErrorCode code) {
		GrantRequest request = queued.request();
		this.queue.remove(request.key());
		return new HomeDecision(queued.holder(),
				new GrantDecision.Refused(request.requestId(), request.attempt(), code, RETRY_AFTER_MILLIS));
	}

	private List<HomeDecision> dispatchQueued(long nowMillis) {
		detectPause(nowMillis);
		if (this.queue.size() == 0 || this.allocations.endpoints().isEmpty()) {
			return List.of();
		}
		List<HomeDecision> decisions = new ArrayList<>();
		for (List<GrantQueue.QueuedRequest> ordered : this.queue.dispatchOrder(nowMillis)) {
			dispatchInOrder(ordered, nowMillis, decisions);
		}
		return decisions;
	}

	private void dispatchInOrder(List<GrantQueue.QueuedRequest> ordered, long nowMillis, List<HomeDecision> decisions) {
		int failures = 0;
		for (GrantQueue.QueuedRequest queued : ordered) {
			Grant grant = tryGrant(queued.holder(), queued.request(), true, nowMillis);
			if (grant != null) {
				this.queue.remove(grant.key());
				decisions.add(new HomeDecision(queued.holder(), new GrantDecision.Granted(grant)));
				continue;
			}
			failures++;
			boolean mayBeOvertaken = !queued.request().lengthClass().isLong();
			if (!mayBeOvertaken || failures >= MAX_FAILED_PLACEMENTS_PER_DISPATCH) {
				return;
			}
		}
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
		this.allocations.observe(reports, outEndpoints, nowMillis);
		return dispatchQueued(nowMillis);
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
		return this.queue.all().stream().map((queued) -> refuse(queued, ErrorCode.ZONE_OUT)).toList();
	}

	/**
	 * Refuses all queued requests because another instance is now the home.
	 * @return the refusals
	 */
	public synchronized List<HomeDecision> stepDown() {
		return this.queue.all().stream().map((queued) -> refuse(queued, ErrorCode.NOT_HOME)).toList();
	}

	/**
	 * Raises the fencing token above every token that an endpoint of the shard has seen.
	 * @param instance the instance that is the home
	 * @return the token now in force
	 */
	public synchronized FencingToken raiseFencingToken(InstanceId instance) {
		long highest = this.allocations.endpoints()
			.stream()
			.mapToLong((endpoint) -> endpoint.report().highestFencingToken())
			.max()
			.orElse(0);
		if (highest > this.fencingToken.value() || this.fencingToken.equals(FencingToken.NONE)) {
			this.fencingToken = new FencingToken(Math.max(highest, this.fencingToken.value())).next(instance);
		}
		return this.fencingToken;
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
		if (nowMillis < this.settleEndMillis) {
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
		return "queued=" + this.queue.size() + " longTokens=" + this.queue.longTokens() + " endpoints=" + endpoints;
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
