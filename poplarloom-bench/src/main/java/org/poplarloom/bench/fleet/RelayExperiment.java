package org.poplarloom.bench.fleet;

import java.lang.management.ManagementFactory;
import java.util.List;

import com.sun.management.OperatingSystemMXBean;
import org.HdrHistogram.Histogram;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.bench.demo.SampleContracts;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.standin.engine.EngineSettings;

/**
 * Compares streaming through one entry instance with calling the engine directly, in one
 * run on one machine that also runs the engine and the callers.
 * <p>
 * This class is not thread-safe.
 */
public final class RelayExperiment {

	private static final EngineSettings ENGINE = new EngineSettings(100_000_000, 1_000_000, 20, 500_000_000, 4_000, 0,
			4_000, 1_000, 64, true);

	private static final double FIRST_TOKEN_RATE = 200;

	private static final int FIRST_TOKEN_ANSWER = 5;

	private static final int SHARE_ANSWER = 369;

	private static final double SHARE_RATE = 29;

	private static final long TIMEOUT_MILLIS = 60_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private final long seed;

	private final double seconds;

	private final Report report = new Report("relay", "case", "path", "requests", "failed", "p50_ms", "p99_ms",
			"p50_ratio", "p99_ratio", "tokens_s", "cpu_cores_of_all");

	/**
	 * Creates the experiment.
	 * @param seed the seed of the load
	 * @param seconds how long each case lasts
	 */
	public RelayExperiment(long seed, double seconds) {
		this.seed = seed;
		this.seconds = seconds;
	}

	/**
	 * Runs all cases.
	 * @return the table
	 */
	public Report run() {
		LocalSystem.Layout layout = new LocalSystem.Layout(List.of("gijon"), 1, 1, ENGINE, 0, 2_500, 100,
				new ColdStartRamp.Settings(4_000, 1, 1));
		try (LocalSystem system = LocalSystem.start(layout, SampleContracts.generous())) {
			String engine = system.engines().values().iterator().next().url();
			String entry = system.urls().get(0);
			measure("warm-up", entry, FIRST_TOKEN_RATE, FIRST_TOKEN_ANSWER, null);
			Histogram direct = measure("first-token", engine, FIRST_TOKEN_RATE, FIRST_TOKEN_ANSWER, null);
			measure("first-token", entry, FIRST_TOKEN_RATE, FIRST_TOKEN_ANSWER, direct);
			for (int times : new int[] { 1, 4, 8 }) {
				String name = "share-x" + times;
				Histogram alone = measure(name, engine, SHARE_RATE * times, SHARE_ANSWER, null);
				measure(name, entry, SHARE_RATE * times, SHARE_ANSWER, alone);
			}
		}
		return this.report;
	}

	private Histogram measure(String name, String url, double rate, int answerTokens, Histogram direct) {
		OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
		Histogram histogram = new Histogram(3);
		long start = System.currentTimeMillis();
		long startNanos = System.nanoTime();
		long cpu = system.getProcessCpuTime();
		try (OpenLoad load = new OpenLoad(this.seed, SampleContracts.ROTA_KEY, () -> List.of(url))) {
			load.start(rate, 1_000, 1_000, answerTokens, TIMEOUT_MILLIS);
			LocalSystem.pause((long) (this.seconds * 1_000));
			load.finish(TIMEOUT_MILLIS);
			double elapsed = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
			double cores = (system.getProcessCpuTime() - cpu) / NANOS_PER_SECOND / elapsed;
			add(name, url, load.samples(start, Long.MAX_VALUE), histogram, direct, elapsed, cores);
		}
		return histogram;
	}

	private void add(String name, String url, List<OpenLoad.Sample> samples, Histogram histogram, Histogram direct,
			double elapsed, double cores) {
		int failed = 0;
		long tokens = 0;
		for (OpenLoad.Sample sample : samples) {
			boolean hasAnswer = sample.answer().status() == 200 && sample.answer().firstMillis() >= 0;
			failed += hasAnswer ? 0 : 1;
			tokens += sample.answer().pieces();
			histogram.recordValue((long) Math.max(0, sample.answer().firstMillis() * 1_000));
		}
		double p50 = histogram.getValueAtPercentile(50) / 1_000.0;
		double p99 = histogram.getValueAtPercentile(99) / 1_000.0;
		double ratio50 = (direct != null) ? p50 * 1_000 / direct.getValueAtPercentile(50) : 1;
		double ratio99 = (direct != null) ? p99 * 1_000 / direct.getValueAtPercentile(99) : 1;
		this.report.add(name, (direct != null || name.equals("warm-up")) ? "instance" : "direct", samples.size(),
				failed, p50, p99, ratio50, ratio99, tokens / elapsed, cores);
	}

}
