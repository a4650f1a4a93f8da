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
 * Measures the time to first token while operators take an availability zone out and put
 * it back in, with the log service up and with it down.
 * <p>
 * This class is not thread-safe.
 */
public final class ZoneExperiment {

	private static final int DAEMONS_PER_ZONE = 5;

	private static final int ENGINES_PER_ZONE = 7;

	private static final int ANSWER_TOKENS = 30;

	private static final long TIMEOUT_MILLIS = 60_000;

	private static final double REQUESTS_PER_SECOND = 45;

	private static final long UNSCALED_BEFORE_SECONDS = 30;

	private static final long UNSCALED_AFTER_SECONDS = 60;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final long seed;

	private final double timeScale;

	private final Report report = new Report("zone", "case", "phase", "requests", "failed", "p50_ms", "p99_ms",
			"p99_vs_before", "last_new_work_ms");

	/**
	 * Creates the experiment.
	 * @param seed the seed of the load
	 * @param seconds the duration of one case in seconds: a fifth lies before the zone is
	 * taken out and two fifths follow each of the two commands; a warm-up of a tenth
	 * comes in addition
	 */
	public ZoneExperiment(long seed, double seconds) {
		this.seed = seed;
		this.timeScale = seconds / (UNSCALED_BEFORE_SECONDS + 2 * UNSCALED_AFTER_SECONDS);
	}

	/**
	 * Runs all cases.
	 * @return the report
	 */
	public Report run() {
		runCase("order", false);
		runCase("order-log-down", true);
		return this.report;
	}

	private void runCase(String name, boolean isLogDown) {
		LocalSystem.Layout layout = LocalSystem.Layout.DEFAULT.withCountsPerZone(DAEMONS_PER_ZONE, ENGINES_PER_ZONE);
		try (LocalSystem system = LocalSystem.start(layout, SampleContracts.withHighLimits());
				OpenLoopLoad load = new OpenLoopLoad(this.seed, SampleContracts.ROTA_KEY, system::urls)) {
			load.start(REQUESTS_PER_SECOND, 1_000, 4_000, ANSWER_TOKENS, TIMEOUT_MILLIS);
			sleepScaled(UNSCALED_BEFORE_SECONDS / 2);
			long startMillis = System.currentTimeMillis();
			sleepScaled(UNSCALED_BEFORE_SECONDS);
			system.log().faults().setDown(isLogDown);
			String zone = layout.zones().get(0);
			long outMillis = sendZoneCommand(system, "out", zone);
			sleepScaled(UNSCALED_AFTER_SECONDS);
			long lastNewWorkMillis = lastRequestMillis(system, zone) - outMillis;
			long backMillis = sendZoneCommand(system, "in", zone);
			sleepScaled(UNSCALED_AFTER_SECONDS);
			long endMillis = System.currentTimeMillis();
			load.finish(TIMEOUT_MILLIS);
			double p99Before = addRow(name, "before", load.samples(startMillis, outMillis), 0, "");
			addRow(name, "out", load.samples(outMillis, backMillis), p99Before, lastNewWorkMillis);
			addRow(name, "back", load.samples(backMillis, endMillis), p99Before, "");
		}
	}

	private long sendZoneCommand(LocalSystem system, String direction, String zone) {
		Daemon daemon = system.daemons().values().iterator().next();
		long startMillis = System.currentTimeMillis();
		int exitCode = PoplarloomCtl.run("--url", daemon.url(), "--token", LocalSystem.OPERATOR_TOKEN, "az", direction,
				zone);
		if (exitCode != 0) {
			throw new IllegalStateException(
					"command az " + direction + " " + zone + " failed with exit code " + exitCode);
		}
		return startMillis;
	}

	private static long lastRequestMillis(LocalSystem system, String zone) {
		return system.engines()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(zone))
			.map(Map.Entry::getValue)
			.mapToLong(EngineStandIn::lastRequestMillis)
			.max()
			.orElse(0);
	}

	private void sleepScaled(long unscaledSeconds) {
		LocalSystem.sleep((long) (unscaledSeconds * this.timeScale * MILLIS_PER_SECOND));
	}

	private double addRow(String name, String phase, List<OpenLoopLoad.Sample> samples, double p99Before,
			Object lastNewWorkMillis) {
		Histogram firstTokenMillis = new Histogram(3);
		int failed = 0;
		for (OpenLoopLoad.Sample sample : samples) {
			failed += sample.isComplete() ? 0 : 1;
			if (sample.answer().firstTokenMillis() >= 0) {
				firstTokenMillis.recordValue((long) sample.answer().firstTokenMillis());
			}
			else {
				System.out.println("failed: " + sample.answer());
			}
		}
		double p99 = firstTokenMillis.getValueAtPercentile(99);
		double ratio = (p99Before > 0) ? p99 / p99Before : 1;
		this.report.addRow(name, phase, samples.size(), failed, (double) firstTokenMillis.getValueAtPercentile(50), p99,
				ratio, lastNewWorkMillis);
		return p99;
	}

}
