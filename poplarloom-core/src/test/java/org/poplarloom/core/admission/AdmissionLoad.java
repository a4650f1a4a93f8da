package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.CostPlacement;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.EngineModel;
import org.poplarloom.core.process.HomeDecision;
import org.poplarloom.core.process.ShardHome;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.Share;

/**
 * Teams that send requests to the homes of one shard in virtual time.
 * <p>
 * An engine prefills its prompts one after another; an answer then occupies its slot for
 * the time of its tokens. Callers that are refused return once, as the design says: after
 * the time that they are told if that is at most a third of their remaining time. All
 * times are milliseconds.
 */
final class AdmissionLoad {

	static final EngineModel ENGINE = new EngineModel(1.31, 0.0013, 0.00213, 177, 0.184, 34);

	static final int SLOTS = 8;

	static final long KV_TOKENS = 315_000;

	static final Kind SHORT = new Kind(4_960, 200, 263, 2_000, 250, 10_500);

	static final Kind LONG = new Kind(220_000, 200, 8_035, 15_000, 1_000, 15_000);

	private static final InstanceId HOLDER = InstanceId.of("holder");

	private static final long TICK_MILLIS = 50;

	private static final long AGREEMENT_MILLIS = 2_600;

	private final boolean hasTeamShares;

	private final Random random;

	private final List<ShardHome> homes = new ArrayList<>();

	private final Map<EndpointId, Long> prefillEndMillis = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeMillis).thenComparingLong(Event::sequence));

	private final Map<String, Caller> callers = new HashMap<>();

	private final List<Source> sources = new ArrayList<>();

	private final Map<TeamId, Totals> totals = new HashMap<>();

	private final Map<EndpointId, Set<String>> runningShort = new HashMap<>();

	private int engines;

	private long nowMillis;

	private long nextSequence;

	private int nextId;

	private boolean returnsAtOnce;

	AdmissionLoad(boolean hasTeamShares, int engines, long seed) {
		this.hasTeamShares = hasTeamShares;
		this.random = new Random(seed);
		this.engines = engines;
		startHome();
	}

	private static EndpointReport report(int index, long nowMillis) {
		return new EndpointReport(EndpointId.of("e" + (100 + index)), "boot", false, Set.of("model"), SLOTS, KV_TOKENS,
				177_000, 0, 3_600_000, Set.of(), nowMillis, ENGINE);
	}

	ShardHome startHome() {
		ColdStartRamp.Settings ramp = new ColdStartRamp.Settings(6, 1, 1);
		ShardHome home = this.hasTeamShares
				? ShardHome.withTeamShares(new CostPlacement(), ramp, this.nowMillis, AGREEMENT_MILLIS)
				: ShardHome.of(new CostPlacement(), ramp, this.nowMillis, AGREEMENT_MILLIS);
		this.homes.add(home);
		setEngines(this.engines);
		return home;
	}

	/** The running grants are announced to the remaining homes. */
	void endHome(ShardHome home) {
		this.homes.remove(home);
		handle(home.stepDown());
		for (Caller caller : List.copyOf(this.callers.values())) {
			if (caller.grant != null && caller.home == home) {
				caller.home = this.homes.get(0);
				caller.home.announce(HOLDER, caller.grant, this.nowMillis);
			}
		}
	}

	List<ShardHome> homes() {
		return this.homes;
	}

	void setEngines(int count) {
		this.engines = count;
		List<EndpointReport> reports = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			reports.add(report(i, this.nowMillis));
		}
		this.homes.forEach((home) -> handle(home.observe(reports, Set.of(), this.nowMillis)));
	}

	void setReturnsAtOnce(boolean returnsAtOnce) {
		this.returnsAtOnce = returnsAtOnce;
	}

	Source send(String team, Kind kind, double perSecond) {
		return send(team, kind, perSecond, GrantRequest.DEFAULT_PRIORITY);
	}

	Source send(String team, Kind kind, double perSecond, int priority) {
		Source source = new Source(TeamId.of(team), kind, perSecond, priority);
		source.nextMillis = this.nowMillis + source.pause(this.random);
		this.sources.add(source);
		return source;
	}

	void stop(Source source) {
		this.sources.remove(source);
	}

	void run(long durationMillis) {
		long end = this.nowMillis + durationMillis;
		for (; this.nowMillis < end; this.nowMillis++) {
			while (!this.events.isEmpty() && this.events.peek().timeMillis() <= this.nowMillis) {
				this.events.poll().action().run();
			}
			if (this.nowMillis % TICK_MILLIS == 0) {
				List.copyOf(this.homes).forEach((home) -> handle(home.tick(this.nowMillis)));
			}
			for (Source source : this.sources) {
				while (source.nextMillis <= this.nowMillis) {
					source.nextMillis += source.pause(this.random);
					arrive(new Caller(source.team, source.kind, source.priority, this.nowMillis, this.random.nextLong(),
							false));
				}
			}
		}
	}

	long nowMillis() {
		return this.nowMillis;
	}

	GrantDecision arrive(Caller caller) {
		total(caller.team).requests += caller.isReturning ? 0 : 1;
		String id = "r" + this.nextId++;
		Kind kind = caller.kind;
		LatencyTarget target = new LatencyTarget(this.nowMillis + kind.targetMillis(),
				Math.min(caller.startMillis + kind.deadlineMillis(), this.nowMillis + kind.timeoutMillis()),
				kind.pauseMillis());
		GrantRequest request = new GrantRequest(id, 1, caller.team, "model", kind.promptTokens(), kind.answerTokens(),
				0, caller.startMillis + kind.deadlineMillis(), false, Set.of(), target, null, caller.fingerprint,
				caller.priority);
		caller.key = request.key();
		caller.home = this.homes.get(this.random.nextInt(this.homes.size()));
		caller.askedMillis = this.nowMillis;
		caller.grant = null;
		this.callers.put(caller.key, caller);
		GrantDecision decision = caller.home.request(HOLDER, request, this.nowMillis);
		handle(List.of(new HomeDecision(HOLDER, decision)));
		return decision;
	}

	private void handle(List<HomeDecision> decisions) {
		for (HomeDecision decision : decisions) {
			if (decision.decision() instanceof GrantDecision.Granted granted) {
				start(this.callers.get(granted.grant().key()), granted.grant());
			}
			else if (decision.decision() instanceof GrantDecision.Refused refused) {
				refused(this.callers.remove(Grant.key(refused.requestId(), refused.attempt())), refused);
			}
		}
	}

	private void refused(Caller caller, GrantDecision.Refused refused) {
		Totals total = total(caller.team);
		total.refusalMillis.add(this.nowMillis - caller.askedMillis);
		long waitMillis = this.returnsAtOnce ? 1 : refused.retryAfterMillis();
		long remaining = caller.startMillis + caller.kind.deadlineMillis() - this.nowMillis;
		if (caller.isReturning || waitMillis > remaining / 3) {
			total.failed++;
			return;
		}
		Caller returning = new Caller(caller.team, caller.kind, caller.priority, caller.startMillis, caller.fingerprint,
				true);
		schedule(waitMillis, () -> {
			total.returned++;
			arrive(returning);
		});
	}

	private void start(Caller caller, Grant grant) {
		caller.grant = grant;
		double partMillis = ENGINE.prefillMillis(caller.kind.promptTokens()) / grant.shares().size();
		long end = this.nowMillis;
		for (Share share : grant.shares()) {
			long begin = Math.max(this.nowMillis, this.prefillEndMillis.getOrDefault(share.endpoint(), 0L));
			long partEnd = begin + (long) Math.ceil(partMillis);
			this.prefillEndMillis.put(share.endpoint(), partEnd);
			end = Math.max(end, partEnd);
		}
		if (caller.kind == SHORT) {
			this.runningShort.computeIfAbsent(grant.answeringEndpoint(), (key) -> new HashSet<>()).add(caller.key);
		}
		schedule(end - this.nowMillis, () -> firstToken(caller));
	}

	private void firstToken(Caller caller) {
		Totals total = total(caller.team);
		long firstMillis = this.nowMillis - caller.askedMillis;
		total.served++;
		total.servedReturning += caller.isReturning ? 1 : 0;
		total.inTime += (firstMillis <= caller.kind.targetMillis()) ? 1 : 0;
		total.engineMillis += engineMillis(caller.kind);
		total.firstMillis.add(firstMillis);
		handle(caller.home.recordFirstToken(caller.key, this.nowMillis));
		long answerMillis = (long) (caller.kind.answerTokens() * ENGINE.passMillis(SLOTS, KV_TOKENS) / 34);
		schedule(answerMillis, () -> end(caller));
	}

	private void end(Caller caller) {
		this.callers.remove(caller.key);
		this.runningShort.values().forEach((keys) -> keys.remove(caller.key));
		handle(caller.home.release(caller.key, this.nowMillis));
	}

	static double engineMillis(Kind kind) {
		return ENGINE.prefillMillis(kind.promptTokens())
				+ kind.answerTokens() / 34.0 * ENGINE.passMillis(SLOTS, KV_TOKENS) / SLOTS;
	}

	private void schedule(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.nextSequence++, action));
	}

	Totals total(TeamId team) {
		return this.totals.computeIfAbsent(team, (key) -> new Totals());
	}

	Totals total(String team) {
		return total(TeamId.of(team));
	}

	Map<TeamId, Totals> totals() {
		return this.totals;
	}

	void clearTotals() {
		this.totals.clear();
	}

	/**
	 * A kind of request.
	 */
	record Kind(long promptTokens, long answerTokens, long targetMillis, long timeoutMillis, long pauseMillis,
			long deadlineMillis) {
	}

	/**
	 * Something that happens at a time.
	 */
	private record Event(long timeMillis, long sequence, Runnable action) {
	}

	/**
	 * Requests of one team at a rate, with random pauses between them.
	 */
	static final class Source {

		private final TeamId team;

		private final Kind kind;

		private final double perSecond;

		private final int priority;

		private long nextMillis;

		Source(TeamId team, Kind kind, double perSecond, int priority) {
			this.team = team;
			this.kind = kind;
			this.perSecond = perSecond;
			this.priority = priority;
		}

		long pause(Random random) {
			return Math.max(0, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / this.perSecond));
		}

	}

	/**
	 * A caller that waits for an answer.
	 */
	static final class Caller {

		private final TeamId team;

		private final Kind kind;

		private final int priority;

		private final long startMillis;

		private final long fingerprint;

		private final boolean isReturning;

		private String key;

		private ShardHome home;

		private Grant grant;

		private long askedMillis;

		Caller(TeamId team, Kind kind, int priority, long startMillis, long fingerprint, boolean isReturning) {
			this.team = team;
			this.kind = kind;
			this.priority = priority;
			this.startMillis = startMillis;
			this.fingerprint = fingerprint;
			this.isReturning = isReturning;
		}

		String key() {
			return this.key;
		}

	}

	/**
	 * What one team has received.
	 */
	static final class Totals {

		private int requests;

		private int served;

		private int inTime;

		private int failed;

		private int returned;

		private int servedReturning;

		private double engineMillis;

		private final List<Long> firstMillis = new ArrayList<>();

		private final List<Long> refusalMillis = new ArrayList<>();

		int requests() {
			return this.requests;
		}

		int served() {
			return this.served;
		}

		int inTime() {
			return this.inTime;
		}

		int failed() {
			return this.failed;
		}

		int returned() {
			return this.returned;
		}

		int servedReturning() {
			return this.servedReturning;
		}

		double engineMillis() {
			return this.engineMillis;
		}

		List<Long> refusalMillis() {
			return this.refusalMillis;
		}

		@Override
		public String toString() {
			return "requests=" + this.requests + " served=" + this.served + " in_time=" + this.inTime + " failed="
					+ this.failed + " returned=" + this.returned + "/" + this.servedReturning + " engine_ms="
					+ (long) this.engineMillis + " longest_first_ms="
					+ this.firstMillis.stream().mapToLong(Long::longValue).max().orElse(0) + " longest_refusal_ms="
					+ this.refusalMillis.stream().mapToLong(Long::longValue).max().orElse(0) + " refusals="
					+ this.refusalMillis.size() + " at_once="
					+ this.refusalMillis.stream().filter((millis) -> millis == 0).count();
		}

	}

}
