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
 * Measures how much short prompts slow down while long ones run, for each way to decide.
 * <p>
 * This class is not thread-safe.
 */
public final class SlowdownExperiment {

	private static final int INSTANCES = 15;

	private static final double PERCENTILE = 95;

	private final int engines;

	private final double utilization;

	private final double durationMillis;

	private final long seed;

	/**
	 * Creates the experiment.
	 * @param engines the number of engines
	 * @param utilization the part of the prefill capacity that is offered
	 * @param seconds how long requests arrive, in virtual seconds
	 * @param seed the seed of the load
	 */
	public SlowdownExperiment(int engines, double utilization, double seconds, long seed) {
		this.engines = engines;
		this.utilization = utilization;
		this.durationMillis = seconds * 1_000;
		this.seed = seed;
	}

	/**
	 * Runs all ways to decide on the same load.
	 * @return the table
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
		ShardRun.Result fcfs = home(policies.get("home-fcfs")).apply(load());
		add(report, "naive-lagging", this::naive, fcfs);
		add(report, "split-budgets", this::split, fcfs);
		policies.forEach((name, policy) -> add(report, name, home(policy), fcfs));
		return report;
	}

	private Load load() {
		return Load.of(this.engines, EngineSettings.DEFAULT, this.utilization, this.durationMillis);
	}

	/**
	 * Measures one policy.
	 * @param policy the policy
	 * @return the ratio of the 95th percentile of short prompts with and without long
	 * ones
	 */
	public double ratio(PlacementPolicy policy) {
		double alone = home(policy).apply(load().withoutLongs()).shortPercentile(PERCENTILE);
		return home(policy).apply(load()).shortPercentile(PERCENTILE) / alone;
	}

	/**
	 * Compares the throughput of long prompts with first come, first served.
	 * @param policy the policy
	 * @return the ratio of prompt tokens that ended in time
	 */
	public double longShare(PlacementPolicy policy) {
		long fcfs = home(new LeastLoadedPlacement()).apply(load()).finishedLongTokens();
		return (double) home(policy).apply(load()).finishedLongTokens() / fcfs;
	}

	private Function<Load, ShardRun.Result> home(PlacementPolicy policy) {
		return (load) -> new ShardRun(load, this.seed).run(new HomeRouter(policy, ColdStartRamp.Settings.DEFAULT));
	}

	private ShardRun.Result naive(Load load) {
		ShardRun run = new ShardRun(load, this.seed);
		return run.run(new NaiveRouter(new Random(this.seed), run::engineSize));
	}

	private ShardRun.Result split(Load load) {
		SplitRouter router = new SplitRouter(INSTANCES, new AdaptivePlacement(), new Random(this.seed));
		return new ShardRun(load, this.seed).run(router, router.instances());
	}

	private void add(Report report, String name, Function<Load, ShardRun.Result> runner, ShardRun.Result fcfs) {
		ShardRun.Result alone = runner.apply(load().withoutLongs());
		ShardRun.Result mixed = runner.apply(load());
		double ratio = mixed.shortPercentile(PERCENTILE) / alone.shortPercentile(PERCENTILE);
		report.add(name, alone.shortPercentile(PERCENTILE), mixed.shortPercentile(PERCENTILE), ratio,
				mixed.shortPercentile(99), mixed.finishedLongTokens(),
				(double) mixed.finishedLongTokens() / fcfs.finishedLongTokens(), mixed.lateLongs(), mixed.refused(),
				mixed.failed() + mixed.unfinished(), mixed.utilization());
	}

}
