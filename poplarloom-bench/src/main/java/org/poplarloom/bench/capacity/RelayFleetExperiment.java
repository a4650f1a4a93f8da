package org.poplarloom.bench.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Measures what daemons that relay requests cost when nobody sends any: processor time
 * and time of the start until the first served request, of the idle daemon and of a
 * restart of all daemons at once, log lines, calls of the store, and messages and bytes
 * between daemons by kind.
 * <p>
 * The daemons run as in {@code deploy/system.toml}, one process each on its own loopback
 * address, with a stand-in for the platform's store and a few for endpoints. The first
 * request is a prompt, which needs the configuration, a home and a grant; each daemon is
 * asked again every {@value #POLL_MILLIS} ms until it has served one. This class is not
 * thread-safe.
 */
public final class RelayFleetExperiment {

	private static final int STORE_PAGE_ITEMS = 500;

	/** The second byte of the daemons' loopback addresses. */
	private static final int DAEMON_NETWORK = 100;

	/** The second byte of the addresses of endpoints, where nobody listens. */
	private static final int ENDPOINT_NETWORK = 200;

	private static final int HOSTS_PER_NETWORK = 250;

	private static final int SERVING_ENDPOINTS_PER_ZONE = 2;

	/** Time after the start of the processes that counts as start. */
	private static final long START_MILLIS = 20_000;

	private static final long POLL_MILLIS = 50;

	private static final long MAX_START_MILLIS = 60_000;

	private static final long PROMPT_TOKENS = 2_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final int daemonCount;

	private final int zones;

	private final int endpoints;

	private final double measuredSeconds;

	private final List<WorkerStandIn> servingEndpoints = new ArrayList<>();

	private final Report report = new Report("relay-fleet", "daemons", "endpoints", "first_served_ms",
			"first_served_max_ms", "first_served_cpu_s", "start_cpu_s", "idle_cpu_percent", "restart_first_served_ms",
			"restart_first_served_max_ms", "restart_first_served_cpu_s", "start_log_lines", "idle_log_lines_s",
			"start_store_calls", "idle_store_calls_s", "rss_mb");

	private final Report messages = new Report("relay-fleet-messages", "kind", "messages_s", "bytes_s");

	/**
	 * Creates the experiment.
	 * @param daemonCount the number of daemons
	 * @param zones the number of zones that they are spread over
	 * @param endpoints the number of endpoints that the store lists in addition to those
	 * that serve the first requests
	 * @param measuredSeconds the duration of the measurement of idle daemons, in seconds
	 */
	public RelayFleetExperiment(int daemonCount, int zones, int endpoints, double measuredSeconds) {
		this.daemonCount = daemonCount;
		this.zones = zones;
		this.endpoints = endpoints;
		this.measuredSeconds = measuredSeconds;
	}

	/**
	 * Runs the daemons and measures them.
	 * @return the report with one row; figures are per daemon, times in milliseconds from
	 * the start of its process
	 */
	public Report run() {
		List<Daemon> daemons = new ArrayList<>();
		try (StoreStandIn store = new StoreStandIn(STORE_PAGE_ITEMS)) {
			Path directory = Files.createTempDirectory("relay-fleet");
			store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
					CallerStandIn.configuration(3, "model", "app"));
			publishEndpoints(store);
			measure(directory, daemons, store);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			daemons.forEach((daemon) -> daemon.process.process().destroyForcibly());
			this.servingEndpoints.forEach(RelayFleetExperiment::close);
		}
		return this.report;
	}

	/**
	 * Returns the messages that idle daemons sent to each other in the run.
	 * @return the report with one row for each kind; figures are per daemon and second
	 */
	public Report messages() {
		return this.messages;
	}

	private void publishEndpoints(StoreStandIn store) throws IOException {
		for (int i = 0; i < this.endpoints; i++) {
			store.put(Tables.WORKERS, "i-" + i,
					WorkerStandIn.entry("other", zone(i), "ready", host(ENDPOINT_NETWORK, i) + ":1"));
		}
		for (int i = 0; i < this.zones * SERVING_ENDPOINTS_PER_ZONE; i++) {
			WorkerStandIn endpoint = new WorkerStandIn("serving-" + i);
			this.servingEndpoints.add(endpoint);
			endpoint.respondWith(WorkerStandIn.STREAM_OF_ONE_EVENT);
			store.put(Tables.WORKERS, endpoint.id(), endpoint.entry("model", zone(i), "ready"));
		}
	}

	private static void close(WorkerStandIn endpoint) {
		try {
			endpoint.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void measure(Path directory, List<Daemon> daemons, StoreStandIn store) throws IOException {
		List<FirstServed> first = startAll(directory, daemons, store);
		LocalSystem.sleep(START_MILLIS);
		double startCpu = cpuSeconds(daemons);
		double startLines = logLines(daemons);
		double startCalls = store.calls();
		Map<String, Double> startMessages = metrics(daemons);
		LocalSystem.sleep((long) (this.measuredSeconds * MILLIS_PER_SECOND));
		double count = daemons.size();
		double daemonSeconds = this.measuredSeconds * count;
		double idleCpu = cpuSeconds(daemons) - startCpu;
		double idleLines = logLines(daemons) - startLines;
		double idleCalls = store.calls() - startCalls;
		reportMessages(startMessages, metrics(daemons), daemonSeconds);
		double rss = daemons.stream()
			.mapToDouble((daemon) -> FleetExperiment.rssMegabytes(daemon.process.process()))
			.sum();
		daemons.forEach((daemon) -> daemon.process.process().destroyForcibly());
		daemons.forEach((daemon) -> daemon.process.process().onExit().join());
		List<FirstServed> again = startAll(directory, daemons, store);
		this.report.addRow(daemons.size(), this.endpoints, mean(first, FirstServed::millis),
				max(first, FirstServed::millis), mean(first, FirstServed::cpuSeconds), startCpu / count,
				idleCpu / daemonSeconds * 100, mean(again, FirstServed::millis), max(again, FirstServed::millis),
				mean(again, FirstServed::cpuSeconds), startLines / count, idleLines / daemonSeconds, startCalls / count,
				idleCalls / daemonSeconds, rss / count);
	}

	private List<FirstServed> startAll(Path directory, List<Daemon> daemons, StoreStandIn store) throws IOException {
		daemons.clear();
		List<String> seeds = List.of(host(DAEMON_NETWORK, 0) + ":1", host(DAEMON_NETWORK, 1) + ":1");
		for (int i = 0; i < this.daemonCount; i++) {
			RelayProcess.Identity identity = new RelayProcess.Identity("edge-" + i, zone(i), host(DAEMON_NETWORK, i),
					seeds);
			daemons.add(new Daemon(identity,
					RelayProcess.start(identity, store.address(), directory, UnaryOperator.identity()),
					System.nanoTime()));
		}
		ExecutorService callers = Executors.newCachedThreadPool();
		try {
			List<CompletableFuture<FirstServed>> pending = daemons.stream()
				.map((daemon) -> CompletableFuture.supplyAsync(daemon::awaitFirstServed, callers))
				.toList();
			return pending.stream().map(CompletableFuture::join).toList();
		}
		finally {
			callers.shutdownNow();
		}
	}

	private void reportMessages(Map<String, Double> before, Map<String, Double> after, double daemonSeconds) {
		TreeSet<String> kinds = new TreeSet<>();
		after.keySet()
			.stream()
			.filter((name) -> name.startsWith(RelayProcess.SENT_MESSAGES))
			.forEach((name) -> kinds.add(name.substring(RelayProcess.SENT_MESSAGES.length())));
		for (String kind : kinds) {
			this.messages.addRow(kind, rate(RelayProcess.SENT_MESSAGES + kind, before, after, daemonSeconds),
					rate(RelayProcess.SENT_BYTES + kind, before, after, daemonSeconds));
		}
	}

	private static double rate(String name, Map<String, Double> before, Map<String, Double> after,
			double daemonSeconds) {
		return (after.getOrDefault(name, 0.0) - before.getOrDefault(name, 0.0)) / daemonSeconds;
	}

	private static Map<String, Double> metrics(List<Daemon> daemons) throws IOException {
		Map<String, Double> sums = new TreeMap<>();
		for (Daemon daemon : daemons) {
			daemon.identity.metrics().forEach((name, value) -> sums.merge(name, value, Double::sum));
		}
		return sums;
	}

	private static double mean(List<FirstServed> served, ToDoubleFunction<FirstServed> figure) {
		return served.stream().mapToDouble(figure).average().orElse(0);
	}

	private static double max(List<FirstServed> served, ToDoubleFunction<FirstServed> figure) {
		return served.stream().mapToDouble(figure).max().orElse(0);
	}

	private static double cpuSeconds(List<Daemon> daemons) {
		return daemons.stream().mapToDouble((daemon) -> daemon.process.cpuSeconds()).sum();
	}

	private static double logLines(List<Daemon> daemons) throws IOException {
		double lines = 0;
		for (Daemon daemon : daemons) {
			lines += daemon.process.logLines();
		}
		return lines;
	}

	private String zone(int index) {
		return "zone-" + (char) ('a' + index % this.zones);
	}

	private static String host(int network, int index) {
		return "127." + network + "." + index / HOSTS_PER_NETWORK + "." + (index % HOSTS_PER_NETWORK + 1);
	}

	/**
	 * The first served request of a daemon.
	 *
	 * @param millis the time from the start of the process, in milliseconds
	 * @param cpuSeconds the processor time of the process until then, in seconds
	 */
	private record FirstServed(double millis, double cpuSeconds) {
	}

	/**
	 * A daemon and when its process was started.
	 */
	private record Daemon(RelayProcess.Identity identity, RelayProcess process, long startNanos) {

		FirstServed awaitFirstServed() {
			while (!isServed()) {
				if (elapsedMillis() > MAX_START_MILLIS) {
					throw new IllegalStateException(
							this.identity.name() + " serves no request after " + MAX_START_MILLIS + " ms");
				}
				LocalSystem.sleep(POLL_MILLIS);
			}
			return new FirstServed(elapsedMillis(), this.process.cpuSeconds());
		}

		private double elapsedMillis() {
			return (System.nanoTime() - this.startNanos) / 1e6;
		}

		private boolean isServed() {
			try (CallerStandIn caller = new CallerStandIn(this.identity.callerAddress())) {
				caller.sendPrompt("/stream/x", "first", PROMPT_TOKENS);
				return caller.readUntil("\r\n").startsWith("HTTP/1.1 200");
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

}
