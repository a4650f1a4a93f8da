package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Shares the engine time among the teams while requests wait, and refuses at once what
 * cannot be served in time.
 * <p>
 * A refused caller is told when it could be served and keeps its position until then. A
 * new home starts without virtual times and without promises. This class is not
 * thread-safe; its home's lock guards it.
 */
public final class SharesRules implements AdmissionRules {

	private static final int MAX_DESCRIBED_TEAMS = 10;

	/** Refused callers return spread over this time, in milliseconds. */
	private static final long RETURN_SPREAD_MILLIS = 500;

	/**
	 * A request that fails fast is refused by the homes of all zones, usually three, and
	 * its caller returns to one of them.
	 */
	private static final int HOMES_PER_CALLER = 3;

	/** A grant without a release is forgotten this long after its deadline. */
	private static final long MAX_GRANT_OVERRUN_MILLIS = 5_000;

	private static final long CLEANUP_PERIOD_MILLIS = 1_000;

	/** An odd multiplier that spreads the bits of a hash (Fibonacci hashing). */
	private static final int HASH_MULTIPLIER = 0x9E3779B9;

	private static final long NO_PROMISED_RANK = Long.MAX_VALUE;

	private final Capacity capacity;

	private final SharesOrder queue;

	private final Promises promises = new Promises();

	private final Map<String, Charge> charges = new HashMap<>();

	private final Map<TeamId, Totals> totals = new HashMap<>();

	private long lastCleanupMillis;

	/**
	 * Creates the rules with an empty queue.
	 * @param capacity what the home's endpoints can do
	 * @param startMillis the time from which on requests are granted, in milliseconds
	 */
	public SharesRules(Capacity capacity, long startMillis) {
		this.capacity = capacity;
		this.queue = new SharesOrder(capacity, startMillis);
	}

	@Override
	public QueueOrder queue() {
		return this.queue;
	}

	@Override
	public void startAt(long nowMillis) {
		this.queue.startAt(nowMillis);
	}

	// A request that is already queued has used its promise.
	private long promisedRank(GrantRequest request, long nowMillis) {
		if (this.queue.find(request.key()) != null) {
			return NO_PROMISED_RANK;
		}
		Promises.Promise promise = this.promises.find(request.fingerprint(), nowMillis);
		return (promise != null) ? promise.rankMillis() : NO_PROMISED_RANK;
	}

	@Override
	public boolean isFirst(GrantRequest request, long nowMillis) {
		return this.queue.isFirst(request, promisedRank(request, nowMillis), nowMillis);
	}

	// A request that is already queued has used its promise; another one with the same
	// fingerprint belongs to another caller.
	@Override
	public void enqueue(InstanceId holder, GrantRequest request, long nowMillis) {
		if (this.queue.find(request.key()) != null) {
			this.queue.add(holder, request, nowMillis);
			return;
		}
		Promises.Promise promise = this.promises.find(request.fingerprint(), nowMillis);
		this.promises.use(promise);
		this.queue.add(holder, request, (promise != null) ? promise.rankMillis() : NO_PROMISED_RANK, nowMillis);
	}

	@Override
	public AdmissionRule judge(GrantRequest request, long nowMillis) {
		return this.queue.estimate(request, promisedRank(request, nowMillis), nowMillis).rule();
	}

	@Override
	public double waitMillis(GrantRequest request, long nowMillis) {
		return this.queue.estimate(request, promisedRank(request, nowMillis), nowMillis).waitMillis();
	}

	// Callers that were told earlier when to return come first, so that the later ones
	// are told a later time.
	@Override
	public long recordRefusal(GrantRequest request, long minMillis, boolean mayQueue, long nowMillis) {
		Promises.Promise promise = (this.queue.find(request.key()) != null) ? null
				: this.promises.find(request.fingerprint(), nowMillis);
		long rank = (promise != null) ? promise.rankMillis() : NO_PROMISED_RANK;
		SharesOrder.Estimate estimate = this.queue.estimate(request, rank, nowMillis);
		total(request.team()).refused++;
		this.queue.remove(request.key());
		this.promises.use(promise);
		String lane = this.queue.laneName(request);
		double expected = this.promises.expectedMillis(lane, nowMillis);
		long returnMillis = Math.max(minMillis, (long) (estimate.returnMillis() + expected / estimate.rate()));
		long retryAfter = returnMillis + spreadMillis(request);
		if (promise != null && promise.timeMillis() > nowMillis) {
			retryAfter = Math.max(minMillis, Math.min(retryAfter, promise.timeMillis() - nowMillis));
		}
		double expectedMillis = estimate.waiting().engineMillis() / (mayQueue ? 1 : HOMES_PER_CALLER);
		this.promises.record(request.fingerprint(), request.team(), lane, estimate.waiting().rankMillis(),
				expectedMillis, nowMillis + retryAfter);
		return retryAfter;
	}

	private static long spreadMillis(GrantRequest request) {
		return Math.floorMod(request.requestId().hashCode() * HASH_MULTIPLIER, RETURN_SPREAD_MILLIS);
	}

	private Totals total(TeamId team) {
		return this.totals.computeIfAbsent(team, (key) -> new Totals());
	}

	@Override
	public AdmissionRule recordGrant(GrantRequest request, long nowMillis) {
		Waiting waiting = this.queue.find(request.key());
		if (waiting == null) {
			this.promises.use(this.promises.find(request.fingerprint(), nowMillis));
		}
		double engineMillis = (waiting != null) ? waiting.engineMillis() : this.capacity.engineMillis(request);
		boolean isCharged = this.queue.recordGrant(request, engineMillis, nowMillis);
		total(request.team()).servedMillis += engineMillis;
		this.charges.put(request.key(), new Charge(request, engineMillis, isCharged, nowMillis));
		this.queue.remove(request.key());
		return (waiting != null) ? waiting.rule() : AdmissionRule.NONE;
	}

	@Override
	public void recordFirstToken(String key) {
		this.charges.remove(key);
	}

	// Without a first token, only the time since the grant can have been used.
	@Override
	public void recordRelease(String key, long nowMillis) {
		Charge charge = this.charges.remove(key);
		if (charge == null) {
			return;
		}
		double unusedMillis = Math.max(0, charge.engineMillis() - (nowMillis - charge.grantedMillis()));
		total(charge.request().team()).servedMillis -= unusedMillis;
		if (charge.isCharged()) {
			this.queue.refund(charge.request(), unusedMillis);
		}
	}

	@Override
	public List<Unservable> expired(long nowMillis) {
		if (nowMillis - this.lastCleanupMillis >= CLEANUP_PERIOD_MILLIS) {
			this.lastCleanupMillis = nowMillis;
			this.queue.forgetPausedTeams(nowMillis);
			this.charges.values()
				.removeIf((charge) -> charge.request().deadlineMillis() + MAX_GRANT_OVERRUN_MILLIS < nowMillis);
		}
		List<Unservable> expired = new ArrayList<>();
		for (Waiting waiting : this.queue.expired(nowMillis)) {
			AdmissionRule rule = (waiting.rule() != AdmissionRule.NONE) ? waiting.rule() : AdmissionRule.TIME_TOO_SHORT;
			boolean isTimeUp = waiting.target().firstTokenDeadlineMillis() <= nowMillis;
			expired.add(new Unservable(waiting.queued(),
					isTimeUp ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.DEADLINE_UNREACHABLE, rule));
		}
		for (Waiting waiting : this.queue.hopeless(nowMillis)) {
			if (waiting.latestUsefulStartMillis() >= nowMillis) {
				expired.add(new Unservable(waiting.queued(), ErrorCode.DEADLINE_UNREACHABLE,
						(waiting.rule() != AdmissionRule.NONE) ? waiting.rule() : AdmissionRule.LATE_REQUESTS_AHEAD));
			}
		}
		return expired;
	}

	@Override
	public List<Unservable> unreachable(long nowMillis) {
		return this.queue.unreachable(nowMillis)
			.stream()
			.map((waiting) -> new Unservable(waiting.queued(),
					(this.capacity.endpoints(waiting.request()) > 0) ? ErrorCode.DEADLINE_UNREACHABLE
							: ErrorCode.NO_ENDPOINT,
					AdmissionRule.CAPACITY_LOST))
			.toList();
	}

	@Override
	public boolean reservesRoom() {
		return true;
	}

	@Override
	public List<TeamUsage> teams() {
		Map<TeamId, Integer> waiting = this.queue.waitingByTeam();
		waiting.keySet().forEach(this::total);
		List<TeamUsage> teams = new ArrayList<>();
		this.totals.forEach((team, total) -> teams
			.add(new TeamUsage(team, total.servedMillis, waiting.getOrDefault(team, 0), total.refused)));
		return TeamUsage.summarize(teams);
	}

	@Override
	public String describe() {
		List<String> teams = this.queue.waitingByTeam()
			.entrySet()
			.stream()
			.sorted(Map.Entry.<TeamId, Integer>comparingByValue().reversed())
			.limit(MAX_DESCRIBED_TEAMS)
			.map((entry) -> entry.getKey() + ":" + entry.getValue())
			.toList();
		return "promises=" + this.promises.size() + " waiting=" + teams;
	}

	/**
	 * The engine time of a grant that has no first token yet.
	 */
	private record Charge(GrantRequest request, double engineMillis, boolean isCharged, long grantedMillis) {
	}

	/**
	 * What a team has received and what it was refused.
	 */
	private static final class Totals {

		private double servedMillis;

		private long refused;

	}

}
