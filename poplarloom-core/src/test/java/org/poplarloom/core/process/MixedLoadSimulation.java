package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.ParallelPrefill;
import org.poplarloom.core.request.Share;
import org.poplarloom.core.version.PrefillPlan;

/**
 * The engines of one zone under short, medium and long prompts with bursts, in virtual
 * time.
 * <p>
 * An engine prefills all prompts that wait at the start of a pass in that pass, so that
 * its answers pause meanwhile. Prompts ask the home as {@code GrantSearch} does. The same
 * seed gives the same arrivals for every policy. This class is not thread-safe.
 */
final class MixedLoadSimulation {

	private static final InstanceId HOLDER = InstanceId.of("edge-1");

	private static final TeamId TEAM = TeamId.of("team");

	private static final long TICK_MILLIS = 10;

	private static final long RETRY_MILLIS = 80;

	private static final double ENGINE_START_MILLIS = 1;

	private static final int STEPS_PER_PASS = 34;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::millis).thenComparingLong(Event::number));

	private final Map<EndpointId, Engine> engines = new TreeMap<>();

	private final Map<String, Run> runsByKey = new HashMap<>();

	private final Map<String, int[]> counts = new TreeMap<>();

	private final Zone zone;

	private final ShardHome home;

	private final Random random;

	private long eventCount;

	private double nowMillis;

	MixedLoadSimulation(Zone zone, PlacementPolicy policy, long seed) {
		this.zone = zone;
		this.random = new Random(seed);
		this.home = ShardHome.of(policy, new ColdStartRamp.Settings(zone.slots, 1, 1), 0);
		List<EndpointReport> reports = new ArrayList<>();
		for (int i = 0; i < zone.engines; i++) {
			EndpointId id = EndpointId.of(String.format("e%02d", i));
			this.engines.put(id, new Engine(id));
			reports.add(new EndpointReport(id, "boot", false, Set.of("model"), zone.slots, zone.kvTokens,
					zone.engine.prefillTokensPerMilli() * MILLIS_PER_SECOND, 0, 3_600_000, Set.of(), 1, zone.engine));
		}
		this.home.observe(reports, Set.of(), 1);
	}

	private void at(double millis, Runnable action) {
		this.events.add(new Event(millis, this.eventCount++, action));
	}

	private long now() {
		return (long) this.nowMillis;
	}

	/**
	 * Runs the simulation.
	 * @param durationMillis how long requests arrive, in milliseconds
	 * @return what the callers saw and how even the load was
	 */
	Result run(long durationMillis) {
		for (Kind kind : this.zone.kinds) {
			scheduleArrivals(kind, durationMillis);
		}
		scheduleTick(durationMillis + 20_000);
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			this.nowMillis = event.millis;
			event.action.run();
		}
		double mean = this.engines.values().stream().mapToDouble((engine) -> engine.requests).average().orElse(1);
		double largest = this.engines.values().stream().mapToDouble((engine) -> engine.requests).max().orElse(0);
		Map<String, Double> onTime = new TreeMap<>();
		Map<String, Integer> offered = new TreeMap<>();
		this.counts.forEach((kind, count) -> {
			onTime.put(kind, (double) count[1] / count[0]);
			offered.put(kind, count[0]);
		});
		return new Result(onTime, offered, largest / mean);
	}

	// Arrivals are drawn before the run, so that they do not depend on decisions.
	private void scheduleArrivals(Kind kind, long durationMillis) {
		double millis = 0;
		while (true) {
			int burst = (int) (millis / this.zone.burstPeriodMillis);
			boolean isBurst = millis % this.zone.burstPeriodMillis < this.zone.burstMillis
					&& this.zone.kinds.get(burst % this.zone.kinds.size()) == kind;
			double perSecond = kind.perSecond * (isBurst ? kind.burstFactor : 1);
			millis += -Math.log(1 - this.random.nextDouble()) / perSecond * MILLIS_PER_SECOND;
			if (millis >= durationMillis) {
				return;
			}
			int answerTokens = 200 + this.random.nextInt(1_000);
			double arrival = millis;
			at(arrival, () -> new Run(kind, arrival, answerTokens).start());
		}
	}

	private void scheduleTick(double endMillis) {
		if (this.nowMillis < endMillis) {
			at(this.nowMillis + TICK_MILLIS, () -> {
				handle(this.home.tick(now()));
				scheduleTick(endMillis);
			});
		}
	}

	private void handle(List<HomeDecision> decisions) {
		decisions.forEach((decision) -> {
			if (decision.decision() instanceof GrantDecision.Granted granted) {
				this.runsByKey.get(granted.grant().key()).granted(granted.grant());
			}
		});
	}

	/**
	 * A kind of request.
	 *
	 * @param name the name
	 * @param perSecond the mean rate without bursts
	 * @param promptTokens the length of the prompt in tokens
	 * @param targetMillis when the first event is due, in milliseconds
	 * @param maxPauseMillis the longest pause between events, in milliseconds
	 * @param timeoutMillis when the caller gives up, in milliseconds
	 * @param burstFactor by how much the rate is higher in a burst of this kind
	 */
	record Kind(String name, double perSecond, long promptTokens, long targetMillis, long maxPauseMillis,
			long timeoutMillis, double burstFactor) {

		Kind times(double factor) {
			return new Kind(this.name, this.perSecond * factor, this.promptTokens, this.targetMillis,
					this.maxPauseMillis, this.timeoutMillis, this.burstFactor);
		}

	}

	/**
	 * The engines of a zone and their load; one kind after the other has a burst.
	 */
	record Zone(String name, int engines, int slots, long kvTokens, EngineModel engine, List<Kind> kinds,
			double burstMillis, double burstPeriodMillis) {

		Zone times(double factor) {
			return new Zone(this.name + "x" + factor, this.engines, this.slots, this.kvTokens, this.engine,
					this.kinds.stream().map((kind) -> kind.times(factor)).toList(), this.burstMillis,
					this.burstPeriodMillis);
		}

	}

	/**
	 * The result of a run.
	 *
	 * @param onTime the fraction of the requests of each kind whose first event was on
	 * time and whose answer did not pause for too long
	 * @param offered the number of requests of each kind
	 * @param largestToMean the requests of the busiest engine divided by the mean
	 */
	record Result(Map<String, Double> onTime, Map<String, Integer> offered, double largestToMean) {
	}

	private record Event(double millis, long number, Runnable action) {
	}

	/**
	 * A prompt or part of one, and what follows its prefill.
	 */
	private record Prefill(double millis, Runnable next) {
	}

	/**
	 * One request from its arrival to its end.
	 */
	private final class Run {

		private final Kind kind;

		private final double arrivalMillis;

		private final LatencyTarget target;

		private final PrefillPlan plan;

		private final String id;

		private int remainingTokens;

		private int attempt;

		private int missingParts;

		private boolean isLate;

		Run(Kind kind, double arrivalMillis, int answerTokens) {
			this.kind = kind;
			this.arrivalMillis = arrivalMillis;
			this.remainingTokens = answerTokens;
			this.id = kind.name + MixedLoadSimulation.this.eventCount++;
			long arrival = (long) arrivalMillis;
			this.target = new LatencyTarget(arrival + kind.targetMillis, arrival + kind.timeoutMillis,
					kind.maxPauseMillis);
			boolean isLong = kind.promptTokens > 32_768;
			this.plan = isLong ? new PrefillPlan(kind.promptTokens, answerTokens,
					MixedLoadSimulation.this.zone.engine.prefillMillis(kind.promptTokens),
					MixedLoadSimulation.this.zone.kvTokens) : null;
			MixedLoadSimulation.this.counts.computeIfAbsent(kind.name, (name) -> new int[2])[0]++;
		}

		private GrantRequest request(ParallelPrefill parts) {
			this.attempt++;
			GrantRequest request = new GrantRequest(this.id + "." + this.attempt, 1, TEAM, "model",
					this.kind.promptTokens, this.remainingTokens, 0, (long) this.arrivalMillis + 30_000, false,
					Set.of(), this.target, parts);
			MixedLoadSimulation.this.runsByKey.put(request.key(), this);
			return request;
		}

		void start() {
			if (now() >= this.target.firstTokenDeadlineMillis()) {
				return;
			}
			boolean isTooLarge = this.plan != null && this.plan.isTooLargeForOneEngine();
			if (isTooLarge) {
				searchParts();
				return;
			}
			GrantRequest request = request(null);
			GrantDecision decision = MixedLoadSimulation.this.home.request(HOLDER, request, false, now());
			if (decision instanceof GrantDecision.Granted granted) {
				granted(granted.grant());
			}
			else if (this.plan != null) {
				searchParts();
			}
			else {
				queue();
			}
		}

		private void queue() {
			GrantDecision decision = MixedLoadSimulation.this.home.request(HOLDER, request(null), true, now());
			if (decision instanceof GrantDecision.Granted granted) {
				granted(granted.grant());
			}
		}

		private void searchParts() {
			ParallelPrefill parts = this.plan.withinTarget(this.target.firstTokenTargetMillis() - now());
			if (parts == null && !this.plan.isTooLargeForOneEngine()) {
				queue();
				return;
			}
			parts = (parts != null) ? parts
					: this.plan.withinClientTimeout(this.target.firstTokenDeadlineMillis() - now());
			if (parts == null) {
				return;
			}
			GrantDecision decision = MixedLoadSimulation.this.home.request(HOLDER, request(parts), true, now());
			if (decision instanceof GrantDecision.Granted granted) {
				if (granted.grant().shares().size() >= parts.minParts()) {
					granted(granted.grant());
					return;
				}
				handle(MixedLoadSimulation.this.home.release(granted.grant().key(), now()));
			}
			at(MixedLoadSimulation.this.nowMillis + RETRY_MILLIS, this::start);
		}

		private void granted(Grant grant) {
			List<Share> shares = grant.shares();
			this.missingParts = shares.size();
			double partMillis = MixedLoadSimulation.this.zone.engine.prefillMillis(this.kind.promptTokens)
					/ shares.size();
			shares.forEach((share) -> MixedLoadSimulation.this.engines.get(share.endpoint())
				.add(new Prefill(partMillis, () -> partDone(grant))));
			MixedLoadSimulation.this.engines.get(grant.answeringEndpoint()).requests++;
		}

		private void partDone(Grant grant) {
			this.missingParts--;
			if (this.missingParts > 0) {
				return;
			}
			this.isLate = MixedLoadSimulation.this.nowMillis > this.target.firstTokenTargetMillis();
			MixedLoadSimulation.this.engines.get(grant.answeringEndpoint()).answer(this, grant);
			handle(MixedLoadSimulation.this.home.recordFirstToken(grant.key(), now()));
		}

		private void ended(Grant grant) {
			MixedLoadSimulation.this.counts.get(this.kind.name)[1] += this.isLate ? 0 : 1;
			handle(MixedLoadSimulation.this.home.release(grant.key(), now()));
		}

	}

	/**
	 * An engine that works in passes.
	 */
	private final class Engine {

		private final EndpointId id;

		private final List<Prefill> waiting = new ArrayList<>();

		private final Map<Run, Grant> answers = new java.util.LinkedHashMap<>();

		private int requests;

		private boolean isInPass;

		Engine(EndpointId id) {
			this.id = id;
		}

		void add(Prefill prefill) {
			this.waiting.add(prefill);
			wake();
		}

		void answer(Run run, Grant grant) {
			this.answers.put(run, grant);
			wake();
		}

		private void wake() {
			if (!this.isInPass) {
				this.isInPass = true;
				at(MixedLoadSimulation.this.nowMillis + ENGINE_START_MILLIS, this::startPass);
			}
		}

		private void startPass() {
			List<Prefill> prefilled = new ArrayList<>(this.waiting);
			this.waiting.clear();
			List<Run> answering = new ArrayList<>(this.answers.keySet());
			this.isInPass = !prefilled.isEmpty() || !answering.isEmpty();
			if (!this.isInPass) {
				return;
			}
			long contextTokens = answering.stream().mapToLong((run) -> run.kind.promptTokens).sum();
			double millis = prefilled.stream().mapToDouble(Prefill::millis).sum() + (answering.isEmpty() ? 0
					: MixedLoadSimulation.this.zone.engine.passMillis(answering.size(), contextTokens));
			at(MixedLoadSimulation.this.nowMillis + millis, () -> endPass(prefilled, answering, millis));
		}

		private void endPass(List<Prefill> prefilled, List<Run> answering, double millis) {
			for (Run run : answering) {
				run.isLate |= millis > run.kind.maxPauseMillis;
				run.remainingTokens -= STEPS_PER_PASS;
				if (run.remainingTokens <= 0) {
					run.ended(this.answers.remove(run));
				}
			}
			prefilled.forEach((prefill) -> prefill.next().run());
			startPass();
		}

		@Override
		public String toString() {
			return this.id.toString();
		}

	}

}
