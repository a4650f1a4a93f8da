package org.poplarloom.bench.capacity;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.bench.demo.SampleContracts;
import org.poplarloom.core.version.Change;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.entry.Poplarloom;
import org.poplarloom.entry.SettingsReader;
import org.poplarloom.entry.version.ConfigurationStream;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.http.EngineStandIn;
import org.poplarloom.standin.http.InstanceListStandIn;
import org.poplarloom.standin.http.LogStandIn;

/**
 * Starts daemon processes in three availability zones and measures what each daemon uses
 * for coordination while there are no requests.
 * <p>
 * It stops only the processes that it started, by their handles. This class is not
 * thread-safe.
 */
public final class FleetExperiment {

	private static final List<String> ZONES = List.of("gijon", "santander", "bilbao");

	private static final int FIRST_PORT = 21_000;

	private static final int ENGINES_PER_ZONE = 7;

	private static final long WARM_UP_MILLIS = 60_000;

	private static final long READY_TIMEOUT_MILLIS = 120_000;

	private static final long POLL_INTERVAL_MILLIS = 250;

	private static final double KIBI = 1_024;

	private final int[] daemonsPerZone;

	private final double measuredSeconds;

	private final HttpClient client = HttpClient.newHttpClient();

	private final Report report = new Report("fleet", "daemons", "per_zone", "cpu_percent_of_core", "peer_sent_bytes_s",
			"peer_received_bytes_s", "peer_messages_s", "heap_mb", "rss_mb", "change_in_force_ms");

	/**
	 * Creates the experiment.
	 * @param daemonsPerZone the numbers of daemons per zone to measure, one case each
	 * @param measuredSeconds the duration of the measurement of a case, in seconds
	 */
	public FleetExperiment(int[] daemonsPerZone, double measuredSeconds) {
		this.daemonsPerZone = daemonsPerZone;
		this.measuredSeconds = measuredSeconds;
	}

	/**
	 * Measures all cases.
	 * @return the report, one row per case
	 */
	public Report run() {
		for (int perZone : this.daemonsPerZone) {
			measure(perZone);
		}
		return this.report;
	}

	private void measure(int perZone) {
		List<Process> processes = new ArrayList<>();
		try (LogStandIn log = new LogStandIn(0); InstanceListStandIn instanceList = new InstanceListStandIn(0)) {
			log.start();
			instanceList.start();
			SampleContracts.withHighLimits()
				.forEach((contract) -> publish(log, "c" + contract.team(), new Change.PutContract(contract)));
			List<EngineStandIn> engines = startEngines(instanceList);
			int daemons = perZone * ZONES.size();
			for (int i = 0; i < daemons; i++) {
				processes.add(startDaemon(i, log, instanceList));
			}
			awaitLiveInstances(daemons);
			LocalSystem.sleep(WARM_UP_MILLIS);
			addRow(perZone, processes, log);
			engines.forEach(EngineStandIn::close);
		}
		finally {
			processes.forEach(Process::destroy);
			processes.forEach((process) -> process.onExit().join());
		}
	}

	private static void publish(LogStandIn log, String id, Change change) {
		Publication publication = new Publication(id, Publication.ANY_OFFSET, "bench", change);
		log.append(ConfigurationStream.NAME, StreamRecord.of(publication).stream().map(Documents::write).toList());
	}

	private static List<EngineStandIn> startEngines(InstanceListStandIn instanceList) {
		List<EngineStandIn> engines = new ArrayList<>();
		for (String zone : ZONES) {
			for (int i = 0; i < ENGINES_PER_ZONE; i++) {
				String id = zone + "-engine-" + i;
				EngineStandIn engine = new EngineStandIn(id, 0, EngineSettings.DEFAULT, List.of(LocalSystem.MODEL));
				engine.start();
				instanceList.put(new InstanceListStandIn.Entry(id, "engine", zone, engine.address(), false));
				engines.add(engine);
			}
		}
		return engines;
	}

	private Process startDaemon(int index, LogStandIn log, InstanceListStandIn instanceList) {
		String zone = ZONES.get(index % ZONES.size());
		String id = zone + "-entry-" + index;
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		int httpPort = FIRST_PORT + 2 * index;
		int peerPort = httpPort + 1;
		ProcessBuilder builder = new ProcessBuilder(java, "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
				"-cp", System.getProperty("java.class.path"), Poplarloom.class.getName(), "--instance", id, "--zone",
				zone, "--http-port", Integer.toString(httpPort), "--peer-port", Integer.toString(peerPort),
				"--log-address", log.address(), "--list-address", instanceList.address());
		Map<String, String> environment = builder.environment();
		environment.put(SettingsReader.PEER_KEY, "peer-key-0123456789abcdef");
		environment.put(SettingsReader.OPERATOR_TOKEN, LocalSystem.OPERATOR_TOKEN);
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.to(new File("/dev/null")));
		instanceList.put(new InstanceListStandIn.Entry(id, "entry", zone, "127.0.0.1:" + peerPort, false));
		try {
			Process process = builder.start();
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroy));
			return process;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void awaitLiveInstances(int daemons) {
		long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
		for (int i = 0; i < daemons; i++) {
			double live = readMetric(i, "poplarloom_live_instances");
			while (live < daemons) {
				if (System.currentTimeMillis() > deadlineMillis) {
					throw new IllegalStateException("daemon " + i + " sees " + (long) live + " of " + daemons
							+ " live instances after " + READY_TIMEOUT_MILLIS + " ms");
				}
				LocalSystem.sleep(POLL_INTERVAL_MILLIS);
				live = readMetric(i, "poplarloom_live_instances");
			}
		}
	}

	private double readMetric(int daemon, String name) {
		URI uri = URI.create("http://127.0.0.1:" + (FIRST_PORT + 2 * daemon) + "/metrics");
		try {
			HttpResponse<String> response = this.client.send(HttpRequest.newBuilder(uri).build(),
					HttpResponse.BodyHandlers.ofString());
			return response.body()
				.lines()
				.filter((line) -> line.startsWith(name + " "))
				.mapToDouble((line) -> Double.parseDouble(line.substring(name.length() + 1)))
				.findFirst()
				.orElse(0);
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	private double sumMetric(int daemons, String name) {
		double sum = 0;
		for (int i = 0; i < daemons; i++) {
			sum += readMetric(i, name);
		}
		return sum;
	}

	private void addRow(int perZone, List<Process> processes, LogStandIn log) {
		int daemons = processes.size();
		double startCpuSeconds = sumMetric(daemons, "poplarloom_process_cpu_seconds_total");
		double startSentBytes = sumMetric(daemons, "poplarloom_peer_sent_bytes_total");
		double startReceivedBytes = sumMetric(daemons, "poplarloom_peer_received_bytes_total");
		double startSentMessages = sumMetric(daemons, "poplarloom_peer_sent_messages_total");
		long startNanos = System.nanoTime();
		LocalSystem.sleep((long) (this.measuredSeconds * 1_000));
		double daemonSeconds = (System.nanoTime() - startNanos) / 1e9 * daemons;
		double cpuPercent = (sumMetric(daemons, "poplarloom_process_cpu_seconds_total") - startCpuSeconds)
				/ daemonSeconds * 100;
		double sentPerSecond = (sumMetric(daemons, "poplarloom_peer_sent_bytes_total") - startSentBytes)
				/ daemonSeconds;
		double receivedPerSecond = (sumMetric(daemons, "poplarloom_peer_received_bytes_total") - startReceivedBytes)
				/ daemonSeconds;
		double messagesPerSecond = (sumMetric(daemons, "poplarloom_peer_sent_messages_total") - startSentMessages)
				/ daemonSeconds;
		double heapMegabytes = sumMetric(daemons, "poplarloom_heap_used_bytes") / daemons / KIBI / KIBI;
		double rssMegabytes = processes.stream().mapToDouble(FleetExperiment::rssMegabytes).average().orElse(0);
		this.report.addRow(daemons, perZone, cpuPercent, sentPerSecond, receivedPerSecond, messagesPerSecond,
				heapMegabytes, rssMegabytes, measureChangeMillis(daemons, log));
	}

	private double measureChangeMillis(int daemons, LogStandIn log) {
		double offsetBefore = readMetric(0, "poplarloom_configuration_offset");
		long startNanos = System.nanoTime();
		publish(log, "x" + startNanos, new Change.SetZone(org.poplarloom.core.AvailabilityZone.of("other"), true));
		for (int i = 0; i < daemons; i++) {
			while (readMetric(i, "poplarloom_configuration_offset") <= offsetBefore) {
				LocalSystem.sleep(1);
			}
		}
		return (System.nanoTime() - startNanos) / 1e6;
	}

	static double rssMegabytes(Process process) {
		try {
			return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))
				.stream()
				.filter((line) -> line.startsWith("VmRSS:"))
				.mapToDouble((line) -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KIBI)
				.findFirst()
				.orElse(0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
