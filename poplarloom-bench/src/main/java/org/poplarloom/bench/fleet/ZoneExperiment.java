package org.poplarloom.bench.fleet;

import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.bench.demo.SampleContracts;
import org.poplarloom.ctl.PoplarloomCtl;
import org.poplarloom.entry.process.Daemon;
import org.poplarloom.standin.http.EngineStandIn;

/**
 * Measures service quality while an availability zone leaves and returns.
 * <p>
 * This class is not thread-safe.
 */
public final class ZoneExperiment {

	private static final int DAEMONS_PER_ZONE = 5;

	private static final int ENGINES_PER_ZONE = 7;

	private static final int ANSWER_TOKENS = 30;

	private static final long TIMEOUT_MILLIS = 60_000;

	private static final double REQUESTS_PER_SECOND = 45;

	private static final long BEFORE_SHARE = 30;

	private static final long AFTER_SHARE = 60;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final long seed;

	private final double scale;

	private final Report report = new Report("zone", "case", "phase", "requests", "failed", "p50_ms", "p99_ms",
			"p99_vs_before", "last_new_work_ms");

	/**
	 * Creates the experiment.
	 * @param seed the seed of the load
	 * @param seconds the length of one case; a fifth lies before the departure and two
	 * fifths after each order
	 */
	public ZoneExperiment(long seed, double seconds) {
		this.seed = seed;
		this.scale = seconds / (BEFORE_SHARE + 2 * AFTER_SHARE);
	}

	/**
	 * Runs all cases.
	 * @return the table
	 */
	public Report run() {
		runCase("order", false);
		runCase("order-log-down", true);
		return this.report;
	}

	private void runCase(String name, boolean isLogDown) {
		LocalSystem.Layout layout = LocalSystem.Layout.DEFAULT.withSizes(DAEMONS_PER_ZONE, ENGINES_PER_ZONE);
		try (LocalSystem system = LocalSystem.start(layout, SampleContracts.generous());
				OpenLoad load = new OpenLoad(this.seed, SampleContracts.ROTA_KEY, system::urls)) {
			load.start(REQUESTS_PER_SECOND, 1_000, 4_000, ANSWER_TOKENS, TIMEOUT_MILLIS);
			pause(BEFORE_SHARE / 2);
			long start = System.currentTimeMillis();
			pause(BEFORE_SHARE);
			system.log().faults().setDown(isLogDown);
			String zone = layout.zones().get(0);
			long out = order(system, "out", zone);
			pause(AFTER_SHARE);
			long lastNewWork = lastRequest(system, zone) - out;
			long back = order(system, "in", zone);
			pause(AFTER_SHARE);
			long end = System.currentTimeMillis();
			load.finish(TIMEOUT_MILLIS);
			double before = add(name, "before", load.samples(start, out), 0, "");
			add(name, "out", load.samples(out, back), before, lastNewWork);
			add(name, "back", load.samples(back, end), before, "");
		}
	}

	private long order(LocalSystem system, String direction, String zone) {
		Daemon daemon = system.daemons().values().iterator().next();
		long start = System.currentTimeMillis();
		int exit = PoplarloomCtl.run("--url", daemon.url(), "--token", LocalSystem.OPERATOR_TOKEN, "az", direction,
				zone);
		if (exit != 0) {
			throw new IllegalStateException("order failed with exit code " + exit);
		}
		return start;
	}

	private static long lastRequest(LocalSystem system, String zone) {
		return system.engines()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(zone))
			.map(Map.Entry::getValue)
			.mapToLong(EngineStandIn::lastRequestMillis)
			.max()
			.orElse(0);
	}

	private void pause(long share) {
		LocalSystem.pause((long) (share * this.scale * MILLIS_PER_SECOND));
	}

	private double add(String name, String phase, List<OpenLoad.Sample> samples, double before, Object lastNewWork) {
		Histogram histogram = new Histogram(3);
		int failed = 0;
		for (OpenLoad.Sample sample : samples) {
			failed += sample.isWhole() ? 0 : 1;
			if (sample.answer().firstMillis() >= 0) {
				histogram.recordValue((long) sample.answer().firstMillis());
			}
			else {
				System.out.println("failed: " + sample.answer());
			}
		}
		double p99 = histogram.getValueAtPercentile(99);
		double ratio = (before > 0) ? p99 / before : 1;
		this.report.add(name, phase, samples.size(), failed, (double) histogram.getValueAtPercentile(50), p99, ratio,
				lastNewWork);
		return p99;
	}

}
