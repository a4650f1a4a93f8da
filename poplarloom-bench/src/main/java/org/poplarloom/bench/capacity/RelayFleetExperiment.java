package org.poplarloom.bench.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Measures what daemons that relay requests cost when nobody sends any: processor time of
 * the start, of the idle daemon and of a restart, log lines and calls of the store.
 * <p>
 * The daemons run as in {@code deploy/system.toml}, one process each on its own loopback
 * address, with a stand-in for the platform's store. This class is not thread-safe.
 */
public final class RelayFleetExperiment {

	private static final int ZONES = 5;

	private static final int STORE_PAGE_ITEMS = 500;

	/** The second byte of the daemons' loopback addresses. */
	private static final int DAEMON_NETWORK = 100;

	/** The second byte of the addresses of endpoints, where nobody listens. */
	private static final int ENDPOINT_NETWORK = 200;

	private static final int HOSTS_PER_NETWORK = 250;

	/** Time after the start of the processes that counts as start. */
	private static final long START_MILLIS = 20_000;

	private final int daemonsPerZone;

	private final int endpoints;

	private final double measuredSeconds;

	private final Report report = new Report("relay-fleet", "daemons", "endpoints", "start_cpu_s", "idle_cpu_percent",
			"restart_cpu_s", "start_log_lines", "idle_log_lines_s", "start_store_calls", "idle_store_calls_s",
			"rss_mb");

	/**
	 * Creates the experiment.
	 * @param daemonsPerZone the number of daemons in each of the five zones
	 * @param endpoints the number of endpoints that the store lists
	 * @param measuredSeconds the duration of the measurement of idle daemons, in seconds
	 */
	public RelayFleetExperiment(int daemonsPerZone, int endpoints, double measuredSeconds) {
		this.daemonsPerZone = daemonsPerZone;
		this.endpoints = endpoints;
		this.measuredSeconds = measuredSeconds;
	}

	/**
	 * Runs the daemons and measures them.
	 * @return the report with one row; figures are per daemon
	 */
	public Report run() {
		List<RelayProcess> daemons = new ArrayList<>();
		try (StoreStandIn store = new StoreStandIn(STORE_PAGE_ITEMS)) {
			Path directory = Files.createTempDirectory("relay-fleet");
			store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
					CallerStandIn.configuration(3, "model", "app"));
			for (int i = 0; i < this.endpoints; i++) {
				store.put(Tables.WORKERS, "i-" + i,
						WorkerStandIn.entry("model", zone(i), "ready", host(ENDPOINT_NETWORK, i) + ":1"));
			}
			for (int i = 0; i < this.daemonsPerZone * ZONES; i++) {
				daemons.add(start(directory, i, store));
			}
			measure(directory, daemons, store);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			daemons.forEach((daemon) -> daemon.process().destroy());
			daemons.forEach(RelayProcess::stop);
		}
		return this.report;
	}

	private RelayProcess start(Path directory, int index, StoreStandIn store) throws IOException {
		List<String> seeds = List.of(host(DAEMON_NETWORK, 0) + ":1", host(DAEMON_NETWORK, 1) + ":1");
		return RelayProcess.start(
				new RelayProcess.Identity("edge-" + index, zone(index), host(DAEMON_NETWORK, index), seeds),
				store.address(), directory, UnaryOperator.identity());
	}

	private void measure(Path directory, List<RelayProcess> daemons, StoreStandIn store) throws IOException {
		LocalSystem.sleep(START_MILLIS);
		double startCpu = cpuSeconds(daemons);
		double startLines = logLines(daemons);
		double startCalls = store.calls();
		LocalSystem.sleep((long) (this.measuredSeconds * 1_000));
		double count = daemons.size();
		double daemonSeconds = this.measuredSeconds * count;
		double idleCpu = cpuSeconds(daemons) - startCpu;
		double idleLines = logLines(daemons) - startLines;
		double idleCalls = store.calls() - startCalls;
		double rss = daemons.stream().mapToDouble((daemon) -> FleetExperiment.rssMegabytes(daemon.process())).sum();
		daemons.get(0).process().destroyForcibly().onExit().join();
		daemons.set(0, start(directory, 0, store));
		LocalSystem.sleep(START_MILLIS);
		this.report.addRow(daemons.size(), this.endpoints, startCpu / count, idleCpu / daemonSeconds * 100,
				daemons.get(0).cpuSeconds(), startLines / count, idleLines / daemonSeconds, startCalls / count,
				idleCalls / daemonSeconds, rss / count);
	}

	private static double cpuSeconds(List<RelayProcess> daemons) {
		return daemons.stream().mapToDouble(RelayProcess::cpuSeconds).sum();
	}

	private static double logLines(List<RelayProcess> daemons) throws IOException {
		double lines = 0;
		for (RelayProcess daemon : daemons) {
			lines += daemon.logLines();
		}
		return lines;
	}

	private static String zone(int index) {
		return "zone-" + (char) ('a' + index % ZONES);
	}

	private static String host(int network, int index) {
		return "127." + network + "." + index / HOSTS_PER_NETWORK + "." + (index % HOSTS_PER_NETWORK + 1);
	}

}
