package org.poplarloom.bench.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

import org.poplarloom.bench.Report;
import org.poplarloom.core.process.AdaptivePlacement;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.DedicatedPlacement;
import org.poplarloom.core.process.LeastLoadedPlacement;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.process.PriorityPlacement;
import org.poplarloom.standin.engine.EngineSettings;

/**
 * Measures, for each routing and placement policy, how much the time to first token of
 * short prompts rises while long prompts run.
 * <p>
 * This class is not thread-safe.
 */
public final class SlowdownExperiment {

	private static final int SPLIT_INSTANCES = 15;

	private static final double COMPARED_PERCENTILE = 95;

	private final int engines;

	private final double utilization;

	private final double durationMillis;

	private final long seed;

	/**
	 * Creates the experiment.
	 * @param engines the number of engines
	 * @param utilization the offered load as a fraction of the prefill capacity
	 * @param seconds the duration of the arrivals in virtual seconds
	 * @param seed the seed of the workload and of random routing
	 */
	public SlowdownExperiment(int engines, double utilization, double seconds, long seed) {
		this.engines = engines;
		this.utilization = utilization;
		this.durationMillis = seconds * 1_000;
		this.seed = seed;
	}

	/**
	 * Runs all policies on the same workload.
	 * @return the report, one row per policy
	 */
	public Report run() {
		Report report = new Report("slowdown", "policy", "alone_p95_ms", "mixed_p95_ms", "ratio", "mixed_p99_ms",
				"long_tokens", "long_vs_fcfs", "late_longs", "refused", "failed", "utilization");
		Map<String, PlacementPolicy> policies = new LinkedHashMap<>();
		policies.put("home-fcfs", new LeastLoadedPlacement());
		policies.put("home-priority", new PriorityPlacement(false));
		policies.put("home-priority-bounded", new PriorityPlacement(true));
		policies.put("home-dedicated-30", new DedicatedPlacement(0.3));
		policies.put("home-adaptive", new AdaptivePlacement());
		ShardSimulation.Result fcfs = homeSimulation(policies.get("home-fcfs")).apply(workload());
		addRow(report, "naive-lagging", this::simulateNaive, fcfs);
		addRow(report, "split-budgets", this::simulateSplit, fcfs);
		policies.forEach((name, policy) -> addRow(report, name, homeSimulation(policy), fcfs));
		return report;
	}

	private Workload workload() {
		return Workload.of(this.engines, EngineSettings.DEFAULT, this.utilization, this.durationMillis);
	}

	/**
	 * Measures the slowdown of short prompts with one placement policy.
	 * @param policy the policy
	 * @return the 95th percentile of the time to first token of short prompts with long
	 * prompts, divided by that without
	 */
	public double slowdown(PlacementPolicy policy) {
		double shortOnlyMillis = homeSimulation(policy).apply(workload().withoutLongPrompts())
			.shortFirstTokenPercentile(COMPARED_PERCENTILE);
		return homeSimulation(policy).apply(workload()).shortFirstTokenPercentile(COMPARED_PERCENTILE)
				/ shortOnlyMillis;
	}

	/**
	 * Compares the throughput of long prompts with that of first come, first served.
	 * @param policy the policy
	 * @return the prompt tokens of long requests that finished before their deadline,
	 * divided by those with {@link LeastLoadedPlacement}
	 */
	public double longThroughputRatio(PlacementPolicy policy) {
		long fcfsTokens = homeSimulation(new LeastLoadedPlacement()).apply(workload()).onTimeLongTokens();
		return (double) homeSimulation(policy).apply(workload()).onTimeLongTokens() / fcfsTokens;
	}

	private Function<Workload, ShardSimulation.Result> homeSimulation(PlacementPolicy policy) {
		return (workload) -> new ShardSimulation(workload, this.seed)
			.run(new HomeRouter(policy, ColdStartRamp.Settings.DEFAULT));
	}

	private ShardSimulation.Result simulateNaive(Workload workload) {
		ShardSimulation simulation = new ShardSimulation(workload, this.seed);
		return simulation.run(new NaiveRouter(new Random(this.seed), simulation::requestsOn));
	}

	private ShardSimulation.Result simulateSplit(Workload workload) {
		SplitRouter router = new SplitRouter(SPLIT_INSTANCES, new AdaptivePlacement(), new Random(this.seed));
		return new ShardSimulation(workload, this.seed).run(router, router.instanceCount());
	}

	private void addRow(Report report, String name, Function<Workload, ShardSimulation.Result> simulation,
			ShardSimulation.Result fcfs) {
		ShardSimulation.Result shortOnly = simulation.apply(workload().withoutLongPrompts());
		ShardSimulation.Result mixed = simulation.apply(workload());
		double slowdown = mixed.shortFirstTokenPercentile(COMPARED_PERCENTILE)
				/ shortOnly.shortFirstTokenPercentile(COMPARED_PERCENTILE);
		report.addRow(name, shortOnly.shortFirstTokenPercentile(COMPARED_PERCENTILE),
				mixed.shortFirstTokenPercentile(COMPARED_PERCENTILE), slowdown, mixed.shortFirstTokenPercentile(99),
				mixed.onTimeLongTokens(), (double) mixed.onTimeLongTokens() / fcfs.onTimeLongTokens(),
				mixed.lateLongRequests(), mixed.refused(), mixed.failed() + mixed.unfinished(), mixed.utilization());
	}

}
