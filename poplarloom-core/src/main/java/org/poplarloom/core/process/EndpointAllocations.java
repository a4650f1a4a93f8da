package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.LengthClass;

/**
 * What a home has granted on one endpoint, with the load that follows from it.
 * <p>
 * Reserved memory is the sum of the allocated shares and of the parts of prompts that the
 * endpoint prefills for others, and a request is admitted only while the endpoint runs
 * fewer than its slow-start ramp allows and, if it is cold, while the rate that it
 * tolerates is not used up. This class is not thread-safe; its home's lock guards it.
 */
public final class EndpointAllocations {

	private static final int MAX_RECENT_PREFIXES = 512;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private static final int SLOW_FIRST_TOKENS_UNTIL_COLD = 3;

	private static final double SLOW_FIRST_TOKEN_RATIO = 4;

	private static final long SLOW_FIRST_TOKEN_MARGIN_MILLIS = 1_000;

	/** Time within which the home has read that an endpoint has become cold. */
	private static final long COLD_NOTICE_MILLIS = 1_500;

	/** Extra wait of a long prompt that is accepted to avoid delaying one answer. */
	private static final double DELAYED_ANSWER_PENALTY_MILLIS = 200;

	private final Map<String, Allocation> allocations = new HashMap<>();

	private final PrefillBacklog prefillBacklog = new PrefillBacklog();

	private final OrphanedHandles orphans = new OrphanedHandles();

	private final EndpointSpeed speed = new EndpointSpeed();

	private final PollSchedule polls = new PollSchedule();

	private final Map<Long, Boolean> recentPrefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final ColdStartRamp ramp;

	private final ColdRequestLimit coldLimit;

	private EndpointReport report;

	private long reservedKvTokens;

	private int longPrefills;

	private boolean isOut;

	private boolean hasIsolatedRequest;

	private int slowFirstTokens;

	EndpointAllocations(EndpointReport report, ColdStartRamp ramp, ColdRequestLimit coldLimit) {
		this.report = report;
		this.ramp = ramp;
		this.coldLimit = coldLimit;
	}

	/**
	 * Returns the identity of the endpoint.
	 * @return the identity, never null
	 */
	public EndpointId id() {
		return this.report.endpoint();
	}

	/**
	 * Returns the endpoint's last report.
	 * @return the report, never null
	 */
	public EndpointReport report() {
		return this.report;
	}

	/**
	 * Returns the number of requests granted and not released.
	 * @return a number from 0
	 */
	public int running() {
		return this.allocations.size();
	}

	/**
	 * Returns the KV cache memory that is not reserved.
	 * @return a number of tokens, 0 if the cache is over-committed
	 */
	public long freeKvTokens() {
		return Math.max(0, this.report.kvTokens() - this.reservedKvTokens);
	}

	/**
	 * Returns the number of long prompts granted, in whole or in part, and not released.
	 * @return a number from 0
	 */
	int runningLong() {
		int count = 0;
		for (Allocation allocation : this.allocations.values()) {
			count += allocation.request().lengthClass().isLong() ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns how many requests the endpoint may run at one time.
	 * @param nowMillis the time in milliseconds
	 * @return 0 if it takes no new work
	 */
	int limit(long nowMillis) {
		return (this.isOut || this.report.isDraining()) ? 0 : this.ramp.limit(this.report.slots(), nowMillis);
	}

	/**
	 * Returns whether a long prompt is being prefilled.
	 * @return true until the prompt's first token or the end of its segment
	 */
	public boolean hasLongPrefill() {
		return this.longPrefills > 0;
	}

	/**
	 * Returns whether the endpoint probably has a prompt's prefix in its KV cache.
	 * @param prefixHash the hash of the prompt's leading block, 0 for none
	 * @return true if a recent request had the same leading block
	 */
	public boolean hasRecentPrefix(long prefixHash) {
		return prefixHash != 0 && this.recentPrefixes.containsKey(prefixHash);
	}

	/**
	 * Estimates the remaining prefill time of the short prompts granted before a new one.
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from 0
	 */
	public double shortPrefillMillis(long nowMillis) {
		double total = 0;
		for (Allocation allocation : this.allocations.values()) {
			if (!allocation.request().lengthClass().isLong()) {
				double needed = prefillMillis(allocation.request().promptTokens());
				total += Math.max(0, needed - (nowMillis - allocation.grantedMillis()));
			}
		}
		return total;
	}

	/**
	 * Estimates how long the endpoint needs to prefill a prompt without other load, by
	 * its engine model and the speed that its answers have shown.
	 * @param promptTokens the length in tokens
	 * @return milliseconds from 0
	 */
	public double prefillMillis(long promptTokens) {
		return modelPrefillMillis(promptTokens) * this.speed.factor(LengthClass.of(promptTokens).isLong());
	}

	/**
	 * Estimates how long any endpoint with this one's engine model needs to prefill a
	 * prompt without other load.
	 * @param promptTokens the length in tokens
	 * @return milliseconds from 0
	 */
	double modelPrefillMillis(long promptTokens) {
		if (this.report.engine() != null) {
			return this.report.engine().prefillMillis(promptTokens);
		}
		return promptTokens / this.report.prefillTokensPerSecond() * MILLIS_PER_SECOND;
	}

	/**
	 * Returns what the endpoint's answers tell about its speed.
	 * @return the speed, never null
	 */
	EndpointSpeed speed() {
		return this.speed;
	}

	/**
	 * Estimates when the endpoint will have prefilled all prompts granted on it.
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now, 0 if there is nothing to prefill
	 */
	public double backlogMillis(long nowMillis) {
		return this.prefillBacklog.remainingMillis(nowMillis);
	}

	/**
	 * Returns whether prefilling one more prompt would pause an answer on the endpoint
	 * for too long. The engine may prefill the whole backlog in one pass, between two
	 * chunks of the answers.
	 * @param partMillis the prefill time of the prompt, or of this endpoint's part of it,
	 * in milliseconds
	 * @param pauseFraction the fraction of the allowed pause that may be used, from 0 to
	 * 1
	 * @return false if there is no answer or the pause stays short enough
	 */
	public boolean wouldExceedPauseLimit(double partMillis, double pauseFraction) {
		return this.prefillBacklog.pendingMillis() + partMillis + passMillis() > pauseLimitMillis() * pauseFraction;
	}

	/**
	 * Returns the longest pause that all answers on the endpoint allow.
	 * @return milliseconds, {@link LatencyTarget#NO_PAUSE_LIMIT} if there is no answer
	 */
	private double pauseLimitMillis() {
		double limit = LatencyTarget.NO_PAUSE_LIMIT;
		for (Allocation allocation : this.allocations.values()) {
			limit = Math.min(limit, allocation.request().latencyTarget().maxPauseMillis());
		}
		return limit;
	}

	/**
	 * Estimates the time of an engine pass that only decodes.
	 * @return milliseconds, 0 if the engine's speed is not known
	 */
	private double passMillis() {
		EngineModel engine = this.report.engine();
		return (engine != null) ? engine.passMillis(running(), this.reservedKvTokens) : 0;
	}

	/**
	 * Returns the penalty for the answers that a long prompt on the endpoint would delay.
	 * @return the time that another endpoint may take longer instead, in milliseconds
	 */
	public double delayPenaltyMillis() {
		return running() * DELAYED_ANSWER_PENALTY_MILLIS;
	}

	/**
	 * Returns whether one more request may be granted on the endpoint. Its memory is not
	 * checked.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return true if the endpoint is eligible and reachable, its ramp has room and,
	 * while it is cold, its rate is not used up; a request that must run isolated needs
	 * an idle endpoint
	 */
	public boolean admits(GrantRequest request, long nowMillis) {
		if (!isEligible(request) || isUnreachable(nowMillis) || this.hasIsolatedRequest
				|| !this.coldLimit.admits(nowMillis)) {
			return false;
		}
		if (request.isIsolated()) {
			return running() == 0;
		}
		return running() < this.ramp.limit(this.report.slots(), nowMillis);
	}

	/**
	 * Returns whether the endpoint can serve the request once it has room.
	 * @param request the request
	 * @return true if the endpoint accepts new work, has loaded the model and is not
	 * excluded by the request
	 */
	public boolean isEligible(GrantRequest request) {
		boolean isAccepting = !this.isOut && !this.report.isDraining();
		return isAccepting && this.report.models().contains(request.model()) && !request.excluded().contains(id());
	}

	/**
	 * Returns whether the endpoint has completed its slow start.
	 * @param nowMillis the time in milliseconds
	 * @return true if it may run as many requests as it has slots, at any rate
	 */
	public boolean isWarm(long nowMillis) {
		return this.ramp.isWarm(this.report.slots(), nowMillis) && !this.coldLimit.isCold(nowMillis);
	}

	/**
	 * Returns the limit on the rate of requests while the endpoint is cold.
	 * @return the limit, never null
	 */
	ColdRequestLimit coldLimit() {
		return this.coldLimit;
	}

	void allocate(Grant grant, long kvTokens, boolean isPrefilling, long nowMillis) {
		boolean isPrefillingLong = isPrefilling && grant.request().lengthClass().isLong();
		boolean isPart = grant.request().parallelPrefill() != null;
		boolean isHelper = grant.isParallel() && kvTokens == 0 && (isPart || !grant.answeringEndpoint().equals(id()));
		// A helper keeps its part until it is sent to the answering endpoint.
		long heldTokens = isHelper ? grant.request().promptTokens() / grant.shares().size() + 1 : kvTokens;
		Allocation allocation = new Allocation(grant.request(), heldTokens, nowMillis, isPrefillingLong, isHelper);
		if (isPrefilling && !this.allocations.containsKey(grant.key())) {
			long promptTokens = grant.request().promptTokens();
			int parts = grant.isParallel() ? grant.shares().size() : 1;
			double partMillis = isPart ? grant.request().parallelPrefill().partMillis()
					: prefillMillis(promptTokens) / parts;
			this.prefillBacklog.add(grant.key(), partMillis, nowMillis);
			this.speed.start(grant.key(), isPart ? partMillis : modelPrefillMillis(promptTokens) / parts,
					grant.request().lengthClass().isLong(), !isPart && grant.shares().size() == 1, nowMillis);
		}
		Allocation previous = this.allocations.put(grant.key(), allocation);
		if (previous != null) {
			subtract(previous);
		}
		this.reservedKvTokens += heldTokens;
		this.longPrefills += allocation.isPrefillingLong() ? 1 : 0;
		this.hasIsolatedRequest |= grant.request().isIsolated();
		if (grant.request().prefixHash() != 0) {
			addPrefix(grant.request().prefixHash());
		}
	}

	private void addPrefix(long prefixHash) {
		this.recentPrefixes.put(prefixHash, Boolean.TRUE);
		if (this.recentPrefixes.size() > MAX_RECENT_PREFIXES) {
			this.recentPrefixes.remove(this.recentPrefixes.keySet().iterator().next());
		}
	}

	void recordFirstToken(String key, long nowMillis) {
		Allocation allocation = this.allocations.get(key);
		if (allocation == null) {
			return;
		}
		this.prefillBacklog.finish(key, nowMillis);
		this.speed.finish(key, passMillis(), nowMillis);
		if (allocation.isHelper()) {
			release(key);
		}
		else if (allocation.isPrefillingLong()) {
			this.allocations.put(key, allocation.withPrefilling(false));
			this.longPrefills--;
		}
		else {
			observeFirstToken(allocation, nowMillis);
		}
	}

	void startPrefill(String key) {
		Allocation allocation = this.allocations.get(key);
		if (allocation != null && !allocation.isPrefillingLong() && allocation.request().lengthClass().isLong()) {
			this.allocations.put(key, allocation.withPrefilling(true));
			this.longPrefills++;
		}
	}

	private void observeFirstToken(Allocation allocation, long nowMillis) {
		double expectedMillis = modelPrefillMillis(allocation.request().promptTokens());
		double actualMillis = nowMillis - allocation.grantedMillis();
		boolean isSlow = !hasLongPrefill()
				&& actualMillis > SLOW_FIRST_TOKEN_RATIO * expectedMillis + SLOW_FIRST_TOKEN_MARGIN_MILLIS;
		this.slowFirstTokens = isSlow ? this.slowFirstTokens + 1 : 0;
		if (this.slowFirstTokens >= SLOW_FIRST_TOKENS_UNTIL_COLD) {
			this.slowFirstTokens = 0;
			this.ramp.restart(nowMillis);
		}
	}

	/**
	 * Returns whether a grant is allocated.
	 * @param key the identity of the grant
	 * @return false if it was released or lost
	 */
	boolean holds(String key) {
		return this.allocations.containsKey(key);
	}

	boolean release(String key) {
		Allocation allocation = this.allocations.remove(key);
		if (allocation == null) {
			return false;
		}
		this.prefillBacklog.remove(key);
		this.speed.remove(key);
		subtract(allocation);
		return true;
	}

	private void subtract(Allocation allocation) {
		this.reservedKvTokens -= allocation.kvTokens();
		this.longPrefills -= allocation.isPrefillingLong() ? 1 : 0;
		if (allocation.request().isIsolated()) {
			this.hasIsolatedRequest = false;
		}
	}

	/**
	 * Replaces the endpoint's report, unless the other one was requested earlier: it may
	 * come from an earlier process, whose end says nothing about the present grants.
	 * @param next the other report
	 * @param nowMillis the time in milliseconds
	 * @return the keys of the grants lost in a restart of the endpoint, empty if it has
	 * not restarted
	 */
	List<String> observe(EndpointReport next, long nowMillis) {
		if (next.requestedMillis() < this.report.requestedMillis()) {
			return List.of();
		}
		boolean hasRestarted = !next.bootId().equals(this.report.bootId());
		this.report = next;
		this.coldLimit.setPeriod(next.coldPeriod(), nowMillis);
		this.orphans.update(next.handles(), this.allocations.keySet(), nowMillis);
		return hasRestarted ? resetAfterRestart(nowMillis) : List.of();
	}

	/**
	 * Returns the prompt segments in the endpoint's KV cache for which no grant has been
	 * held for at least the grace time.
	 * @param nowMillis the time in milliseconds
	 * @return the identities of the grants that the segments were prefilled for
	 */
	List<String> orphans(long nowMillis) {
		return this.orphans.overdue(this.allocations.keySet(), nowMillis);
	}

	/**
	 * Releases all grants and clears the prefixes, which the endpoint lost when its
	 * process restarted, and restarts the slow-start ramp.
	 * @param nowMillis the time in milliseconds
	 * @return the keys of the lost grants
	 */
	List<String> resetAfterRestart(long nowMillis) {
		List<String> lost = new ArrayList<>(this.allocations.keySet());
		lost.forEach(this::release);
		this.recentPrefixes.clear();
		this.speed.reset();
		this.ramp.restart(nowMillis);
		return lost;
	}

	/**
	 * Returns whether the endpoint should be polled for a report, and if so records that
	 * the poll has started.
	 * <p>
	 * A restart of a busy endpoint shows in its broken streams, so it is polled less
	 * often.
	 * @param nowMillis the time in milliseconds
	 * @return true if the last poll is too long ago or the endpoint is unreachable
	 */
	boolean startPollIfDue(long nowMillis) {
		boolean isBusy = running() > 0 && this.orphans.isEmpty() && isWarm(nowMillis);
		return this.polls.startIfDue(isBusy, this.report, nowMillis);
	}

	void pollSoon() {
		this.polls.pollSoon();
	}

	void markUnreachable(long nowMillis) {
		this.polls.markUnreachable(nowMillis);
	}

	/**
	 * Describes the endpoint's load for the log.
	 * @param nowMillis the time in milliseconds
	 * @return the running requests and their limit, free memory, prefill backlog and
	 * flags
	 */
	String describe(long nowMillis) {
		return id() + ":" + running() + "/" + this.ramp.limit(this.report.slots(), nowMillis) + ",free="
				+ freeKvTokens() + ",backlog=" + (long) backlogMillis(nowMillis)
				+ (isUnreachable(nowMillis) ? ",doubted" : "") + (this.coldLimit.isCold(nowMillis) ? ",cold" : "")
				+ (hasLongPrefill() ? ",long" : "") + this.speed.describe(nowMillis)
				+ ((this.isOut || this.report.isDraining()) ? ",leaving" : "");
	}

	private boolean isUnreachable(long nowMillis) {
		return this.polls.isUnreachable(this.report, nowMillis);
	}

	/**
	 * Treats the endpoint as one that has just started, since its zone was out.
	 * @param nowMillis the time in milliseconds
	 */
	void resume(long nowMillis) {
		this.ramp.restart(nowMillis);
		this.coldLimit.presumeColdUntil(nowMillis + COLD_NOTICE_MILLIS);
	}

	void setOut(boolean isOut) {
		this.isOut = isOut;
	}

	/**
	 * What one grant has reserved on this endpoint.
	 */
	private record Allocation(GrantRequest request, long kvTokens, long grantedMillis, boolean isPrefillingLong,
			boolean isHelper) {

		Allocation withPrefilling(boolean isPrefilling) {
			return new Allocation(this.request, this.kvTokens, this.grantedMillis, isPrefilling, this.isHelper);
		}

	}

}
