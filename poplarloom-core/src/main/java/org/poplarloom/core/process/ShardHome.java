package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.FenceNumber;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Grants the endpoints of one shard; the only place where their use is exact.
 * <p>
 * Memory granted on an endpoint never exceeds what it reported, requests never exceed its
 * ramp, and a request that needs several endpoints gets all of them or none. Until the
 * settle time ends, holders may announce grants of the previous home and little is
 * granted. Decisions on waiting requests are returned to the caller of the operation that
 * made them possible. This class is thread-safe; one lock guards all its tables and no
 * other lock is taken while it is held.
 */
public final class ShardHome {

	private static final int LONGEST_QUEUE = 10_000;

	private static final long GRANT_SLACK_MILLIS = 2_000;

	private static final long EXPIRY_PERIOD_MILLIS = 1_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int LINE_SCAN_LIMIT = 64;

	private static final double URGENT_SLACK_RATIO = 1.5;

	private final PlacementPolicy policy;

	private final ColdStartRamp.Settings rampSettings;

	private final ShardLedger ledger;

	private final GrantQueue queue;

	private final ShortLoad shortLoad = new ShortLoad();

	private FenceNumber fence = FenceNumber.NONE;

	private long settledMillis;

	private long expiredMillis;

	private boolean out;

	private ShardHome(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, long settledMillis) {
		this.policy = policy;
		this.rampSettings = rampSettings;
		this.ledger = new ShardLedger(rampSettings);
		this.settledMillis = settledMillis;
		this.queue = new GrantQueue(policy.isClassed());
	}

	/**
	 * Returns a home without endpoints.
	 * @param policy where requests are placed
	 * @param rampSettings how endpoints that have just started are loaded
	 * @param settledMillis when grants of a previous home need no longer be expected, in
	 * milliseconds since the epoch
	 * @return the home
	 */
	public static ShardHome of(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, long settledMillis) {
		return new ShardHome(policy, rampSettings, settledMillis);
	}

	/**
	 * Decides about a request.
	 * @param holder the instance that asks
	 * @param request the request; repeating it replaces the earlier one
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the decision
	 */
	public GrantDecision request(InstanceId holder, GrantRequest request, long nowMillis) {
		return request(holder, request, true, nowMillis);
	}

	/**
	 * Decides about a request that may rather go to another home than wait.
	 * @param holder the instance that asks
	 * @param request the request; repeating it replaces the earlier one
	 * @param mayWait whether the request is queued if it cannot start in time; if not, it
	 * is refused with the estimated wait
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the decision
	 */
	public synchronized GrantDecision request(InstanceId holder, GrantRequest request, boolean mayWait,
			long nowMillis) {
		Grant known = this.ledger.grant(request.key());
		if (known != null) {
			return new GrantDecision.Granted(known);
		}
		if (!request.lengthClass().isLong()) {
			this.shortLoad.add(request.promptTokens(), nowMillis);
		}
		if (request.parts() != null) {
			return requestParts(holder, request, nowMillis);
		}
		ErrorCode refusal = refusal(request, nowMillis);
		if (refusal != null) {
			return new GrantDecision.Refused(request.requestId(), request.attempt(), refusal, RETRY_AFTER_MILLIS);
		}
		Grant grant = this.queue.isFirst(request, nowMillis) ? tryGrant(holder, request, mayWait, nowMillis) : null;
		if (grant != null) {
			return new GrantDecision.Granted(grant);
		}
		if (!mayWait) {
			double delay = this.policy.firstTokenMillis(request, this.ledger.endpoints(), nowMillis);
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.HOME_BUSY,
					(long) delay + 1);
		}
		this.queue.add(holder, request);
		return new GrantDecision.Queued(request.requestId(), request.attempt());
	}

	private GrantDecision requestParts(InstanceId holder, GrantRequest request, long nowMillis) {
		List<Share> shares = (this.out || nowMillis < this.settledMillis) ? List.of()
				: this.policy.placeParts(request, this.ledger.endpoints(), nowMillis);
		if (shares.isEmpty()) {
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.HOME_BUSY,
					RETRY_AFTER_MILLIS);
		}
		return new GrantDecision.Granted(hold(holder, request, shares, nowMillis));
	}

	private ErrorCode refusal(GrantRequest request, long nowMillis) {
		if (this.out) {
			return ErrorCode.ZONE_OUT;
		}
		List<EndpointLedger> serving = this.ledger.endpoints()
			.stream()
			.filter((ledger) -> ledger.mayServe(request))
			.toList();
		LongStream memory = serving.stream().mapToLong((ledger) -> ledger.report().kvTokens());
		long capacity = this.policy.isParallel() ? memory.max().orElse(0) : memory.sum();
		if (serving.isEmpty() || capacity < request.kvTokens()) {
			return ErrorCode.NO_ENDPOINT;
		}
		if (this.queue.size() >= LONGEST_QUEUE) {
			return ErrorCode.QUEUE_FULL;
		}
		return canMeetDeadline(request, serving, nowMillis) ? null : ErrorCode.DEADLINE_UNREACHABLE;
	}

	private boolean canMeetDeadline(GrantRequest request, List<EndpointLedger> serving, long nowMillis) {
		double ahead = request.lengthClass().isLong() ? (double) this.queue.longTokens() / serving.size() : 0;
		EndpointLedger any = serving.get(0);
		double needed = this.policy.isParallel()
				? any.prefillMillis(request.promptTokens()) / serving.size() + any.prefillMillis((long) ahead)
				: any.prefillMillis(request.promptTokens() + (long) ahead);
		return nowMillis + needed <= request.pace().latestMillis();
	}

	private Grant tryGrant(InstanceId holder, GrantRequest request, boolean mayWait, long nowMillis) {
		if (nowMillis < this.settledMillis && !mayGrantUnsettled(request)) {
			return null;
		}
		List<Share> shares = mayWait ? this.policy.place(request, this.ledger.endpoints(), this.shortLoad, nowMillis)
				: this.policy.placePromptly(request, this.ledger.endpoints(), this.shortLoad, nowMillis);
		return shares.isEmpty() ? null : hold(holder, request, shares, nowMillis);
	}

	private Grant hold(InstanceId holder, GrantRequest request, List<Share> shares, long nowMillis) {
		long expiry = request.deadlineMillis() + GRANT_SLACK_MILLIS;
		int priority = this.policy.priority(request, isUrgent(request, nowMillis));
		Grant grant = new Grant(request, shares, this.fence, expiry, priority, this.policy.isParallel());
		this.ledger.hold(holder, grant, nowMillis);
		return grant;
	}

	private boolean mayGrantUnsettled(GrantRequest request) {
		long running = this.ledger.heldCount();
		return !request.lengthClass().isLong()
				&& running < (long) this.rampSettings.floor() * this.ledger.endpoints().size();
	}

	private boolean isUrgent(GrantRequest request, long nowMillis) {
		double needed = this.ledger.endpoints().get(0).prefillMillis(request.promptTokens());
		return nowMillis + needed * URGENT_SLACK_RATIO > request.deadlineMillis();
	}

	/**
	 * Takes over a grant of a previous home that its holder still uses.
	 * @param holder the instance that holds the grant
	 * @param grant the grant
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void announce(InstanceId holder, Grant grant, long nowMillis) {
		this.queue.remove(grant.key());
		this.ledger.hold(holder, grant, nowMillis);
	}

	/**
	 * Notes that a request has produced its first token.
	 * @param key the identity of the grant
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on requests that waited
	 */
	public synchronized List<HomeDecision> firstToken(String key, long nowMillis) {
		Grant found = this.ledger.grant(key);
		if (found == null) {
			return List.of();
		}
		this.ledger.forEachEndpoint(found, (endpoint) -> endpoint.firstToken(key, nowMillis));
		return found.request().lengthClass().isLong() ? pump(nowMillis) : List.of();
	}

	/**
	 * Notes that one endpoint has prefilled its part and the next one starts.
	 * @param key the identity of the grant
	 * @param segment the part that is done, counted from 0
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on requests that waited
	 */
	public synchronized List<HomeDecision> segmentDone(String key, int segment, long nowMillis) {
		Grant found = this.ledger.grant(key);
		if (found == null || segment < 0 || segment + 1 >= found.shares().size()) {
			return List.of();
		}
		EndpointLedger done = this.ledger.endpoint(found.shares().get(segment).endpoint());
		EndpointLedger next = this.ledger.endpoint(found.shares().get(segment + 1).endpoint());
		if (done != null) {
			done.firstToken(key, nowMillis);
		}
		if (next != null) {
			next.startPrefill(key);
		}
		return pump(nowMillis);
	}

	/**
	 * Ends a grant or takes a request out of the queue.
	 * @param key the identity of the grant
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on requests that waited
	 */
	public synchronized List<HomeDecision> release(String key, long nowMillis) {
		this.queue.remove(key);
		return this.ledger.free(key) ? pump(nowMillis) : List.of();
	}

	/**
	 * Ends everything that an instance holds or waits for.
	 * @param holder the instance, which is known to have ended
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on requests that waited
	 */
	public synchronized List<HomeDecision> releaseHolder(InstanceId holder, long nowMillis) {
		this.queue.all()
			.stream()
			.filter((waiting) -> waiting.holder().equals(holder))
			.forEach((waiting) -> this.queue.remove(waiting.request().key()));
		return this.ledger.freeHolder(holder) ? pump(nowMillis) : List.of();
	}

	/**
	 * Ends grants and waiting requests whose time is over and grants what has become
	 * possible.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on requests that waited
	 */
	public synchronized List<HomeDecision> tick(long nowMillis) {
		if (nowMillis - this.expiredMillis >= EXPIRY_PERIOD_MILLIS) {
			this.expiredMillis = nowMillis;
			this.ledger.freeExpired(nowMillis);
		}
		if (this.queue.size() == 0) {
			return List.of();
		}
		List<HomeDecision> decisions = new ArrayList<>();
		for (GrantQueue.Waiting waiting : this.queue.all()) {
			if (waiting.request().pace().latestMillis() <= nowMillis) {
				decisions.add(refuse(waiting, ErrorCode.DEADLINE_EXCEEDED));
			}
		}
		decisions.addAll(pump(nowMillis));
		return decisions;
	}

	private HomeDecision refuse(GrantQueue.Waiting waiting, ErrorCode code) {
		GrantRequest request = waiting.request();
		this.queue.remove(request.key());
		return new HomeDecision(waiting.holder(),
				new GrantDecision.Refused(request.requestId(), request.attempt(), code, RETRY_AFTER_MILLIS));
	}

	private List<HomeDecision> pump(long nowMillis) {
		if (this.queue.size() == 0 || this.ledger.endpoints().isEmpty()) {
			return List.of();
		}
		List<HomeDecision> decisions = new ArrayList<>();
		for (List<GrantQueue.Waiting> line : this.queue.lines(nowMillis)) {
			pumpLine(line, nowMillis, decisions);
		}
		return decisions;
	}

	private void pumpLine(List<GrantQueue.Waiting> line, long nowMillis, List<HomeDecision> decisions) {
		int failures = 0;
		for (GrantQueue.Waiting waiting : line) {
			Grant grant = tryGrant(waiting.holder(), waiting.request(), true, nowMillis);
			if (grant != null) {
				this.queue.remove(grant.key());
				decisions.add(new HomeDecision(waiting.holder(), new GrantDecision.Granted(grant)));
				continue;
			}
			failures++;
			boolean mayOvertake = !waiting.request().lengthClass().isLong();
			if (!mayOvertake || failures >= LINE_SCAN_LIMIT) {
				return;
			}
		}
	}

	/**
	 * Takes over endpoint reports and forgets endpoints that are no longer in the shard.
	 * <p>
	 * An endpoint that is new to the home is warm if it started long enough ago.
	 * @param reports the reports of all endpoints of the shard
	 * @param outEndpoints endpoints that operators took out
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return decisions on requests that waited
	 */
	public synchronized List<HomeDecision> observe(Collection<EndpointReport> reports, Set<EndpointId> outEndpoints,
			long nowMillis) {
		this.ledger.observe(reports, outEndpoints, nowMillis);
		return pump(nowMillis);
	}

	/**
	 * Says whether an endpoint should be asked for a report, and if so counts it as
	 * asked.
	 * @param endpoint the endpoint
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return true if the last report is too old or a request has failed
	 */
	public synchronized boolean isPollDue(EndpointId endpoint, long nowMillis) {
		EndpointLedger ledger = this.ledger.endpoint(endpoint);
		return ledger == null || ledger.startPollIfDue(nowMillis);
	}

	/**
	 * Stops granting an endpoint on which a request has failed until its next report.
	 * <p>
	 * If that report shows a restart, the endpoint's grants are lost and it ramps up.
	 * @param endpoint the endpoint
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void doubt(EndpointId endpoint, long nowMillis) {
		EndpointLedger ledger = this.ledger.endpoint(endpoint);
		if (ledger != null) {
			ledger.doubt(nowMillis);
		}
	}

	/**
	 * Stops or resumes granting; when it resumes, all endpoints ramp up as cold ones.
	 * @param isOut whether the shard's zone takes no new work
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return refusals for the requests that waited
	 */
	public synchronized List<HomeDecision> setOut(boolean isOut, long nowMillis) {
		if (this.out && !isOut) {
			this.ledger.endpoints().forEach((ledger) -> ledger.ramp(nowMillis));
		}
		this.out = isOut;
		if (!isOut) {
			return List.of();
		}
		return this.queue.all().stream().map((waiting) -> refuse(waiting, ErrorCode.ZONE_OUT)).toList();
	}

	/**
	 * Refuses all waiting requests because another instance is now the home.
	 * @return the refusals
	 */
	public synchronized List<HomeDecision> resign() {
		return this.queue.all().stream().map((waiting) -> refuse(waiting, ErrorCode.NOT_HOME)).toList();
	}

	/**
	 * Raises the fence number above every number that an endpoint has seen.
	 * @param instance the instance that is the home
	 * @return the number now in force
	 */
	public synchronized FenceNumber raiseFence(InstanceId instance) {
		long highest = this.ledger.endpoints()
			.stream()
			.mapToLong((ledger) -> ledger.report().highestFence())
			.max()
			.orElse(0);
		if (highest > this.fence.value() || this.fence.equals(FenceNumber.NONE)) {
			this.fence = new FenceNumber(Math.max(highest, this.fence.value())).next(instance);
		}
		return this.fence;
	}

	/**
	 * Describes the home for other instances.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the summary
	 */
	public synchronized HomeSummary summary(long nowMillis) {
		int slots = 0;
		int running = 0;
		for (EndpointLedger ledger : this.ledger.endpoints()) {
			slots += ledger.isWarm(nowMillis) ? ledger.report().slots() : this.rampSettings.floor();
			running += ledger.running();
		}
		return new HomeSummary(this.ledger.endpoints().size(), slots, running, this.queue.size(), this.out);
	}

	/**
	 * Returns the parts of prompts that endpoints hold and nobody has had a grant for
	 * since a while.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the endpoints and the identities of the grants
	 */
	public synchronized List<Orphan> orphans(long nowMillis) {
		if (nowMillis < this.settledMillis) {
			return List.of();
		}
		return this.ledger.orphans(nowMillis);
	}

	/**
	 * Describes the home for the log.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the queue and the use of every endpoint, empty if nobody waits
	 */
	public synchronized String describeQueue(long nowMillis) {
		if (this.queue.size() == 0) {
			return "";
		}
		List<String> endpoints = this.ledger.endpoints().stream().map((ledger) -> ledger.describe(nowMillis)).toList();
		return "queued=" + this.queue.size() + " longTokens=" + this.queue.longTokens() + " endpoints=" + endpoints;
	}

	/**
	 * Returns the endpoints of the shard.
	 * @return the endpoints in ascending order
	 */
	public synchronized List<EndpointId> endpoints() {
		return this.ledger.endpoints().stream().map(EndpointLedger::endpoint).toList();
	}

	/**
	 * Returns the number of requests granted on an endpoint.
	 * @param endpoint the endpoint
	 * @return a number from 0
	 */
	public synchronized int runningOn(EndpointId endpoint) {
		EndpointLedger ledger = this.ledger.endpoint(endpoint);
		return (ledger != null) ? ledger.running() : 0;
	}

	/**
	 * A part of a prompt that an endpoint holds and nobody has a grant for.
	 *
	 * @param endpoint the endpoint
	 * @param key the identity of the grant that it was held for
	 */
	public record Orphan(EndpointId endpoint, String key) {
	}

}
