package org.poplarloom.bench.demo;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.usage.OwnerKey;
import org.poplarloom.core.version.Change;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.process.Daemon;
import org.poplarloom.entry.version.ConfigurationStream;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.http.EngineStandIn;
import org.poplarloom.standin.http.InstanceListStandIn;
import org.poplarloom.standin.http.LogStandIn;
import org.poplarloom.standin.http.ServiceStandIn;

/**
 * A system of daemons and stand-ins of the platform in several availability zones, all on
 * loopback and in one process.
 * <p>
 * The operating system chooses all ports, except those for callers if the layout sets
 * them. This class is not thread-safe.
 */
public final class LocalSystem implements AutoCloseable {

	/** The operators' token. */
	public static final String OPERATOR_TOKEN = "operator-token-0123456789";

	/** The model that the engines have loaded. */
	public static final String MODEL = "loom-large";

	/** The name of the plain service. */
	public static final String SERVICE = "rehandle";

	/** The key pair with which the daemons sign their usage pages. */
	public static final OwnerKey.Pair OWNER_KEYS = OwnerKey.generate();

	private static final OwnerKey OWNER_KEY = OwnerKey.parse("ashwell", OWNER_KEYS.privateKey());

	private static final String PEER_KEY = "peer-key-0123456789abcdef";

	private static final long READY_TIMEOUT_MILLIS = 30_000;

	private static final long READY_POLL_MILLIS = 20;

	private final Layout layout;

	private final LogStandIn log = new LogStandIn(0);

	private final InstanceListStandIn instanceList = new InstanceListStandIn(0);

	private final ServiceStandIn service = new ServiceStandIn(0);

	private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();

	private final Map<String, Daemon> daemons = new LinkedHashMap<>();

	private LocalSystem(Layout layout) {
		this.layout = layout;
	}

	/**
	 * Starts a system and waits until all its daemons are ready.
	 * @param layout the size and settings of the system
	 * @param contracts the contracts to publish
	 * @return the system, ready for callers
	 * @throws IllegalStateException if it is not ready in time
	 */
	public static LocalSystem start(Layout layout, List<Contract> contracts) {
		LocalSystem system = new LocalSystem(layout);
		system.start(contracts);
		return system;
	}

	private void start(List<Contract> contracts) {
		this.log.start();
		this.instanceList.start();
		this.service.start();
		this.instanceList.put(new InstanceListStandIn.Entry(SERVICE + "-1", SERVICE, this.layout.zones().get(0),
				this.service.address(), false));
		contracts.forEach((contract) -> publish(new Change.PutContract(contract)));
		for (String zone : this.layout.zones()) {
			for (int index = 1; index <= this.layout.enginesPerZone(); index++) {
				addEngine(zone + "-engine-" + index, zone);
			}
			for (int index = 1; index <= this.layout.daemonsPerZone(); index++) {
				addDaemon(zone + "-entry-" + index, zone);
			}
		}
		awaitReady();
	}

	private void publish(Change change) {
		Publication publication = new Publication(change.subject().value(), Publication.ANY_OFFSET, "demo", change);
		this.log.append(ConfigurationStream.NAME, StreamRecord.of(publication).stream().map(Documents::write).toList());
	}

	/**
	 * Starts one more engine and lists it.
	 * @param id its name
	 * @param zone its zone
	 * @return the engine
	 */
	public EngineStandIn addEngine(String id, String zone) {
		EngineStandIn engine = new EngineStandIn(id, 0, this.layout.engineSettings(), List.of(MODEL));
		engine.start();
		this.engines.put(id, engine);
		this.instanceList.put(new InstanceListStandIn.Entry(id, "engine", zone, engine.address(), false));
		return engine;
	}

	/**
	 * Starts one more daemon and lists it.
	 * @param id its name
	 * @param zone its zone
	 * @return the daemon
	 */
	public Daemon addDaemon(String id, String zone) {
		Settings settings = new Settings(InstanceId.of(id), AvailabilityZone.of(zone), "127.0.0.1",
				this.layout.firstHttpPort() + ((this.layout.firstHttpPort() == 0) ? 0 : this.daemons.size()), 0,
				this.log.address(), this.instanceList.address(), PEER_KEY, OPERATOR_TOKEN, 1,
				this.layout.failureTimeoutMillis(), this.layout.settleMillis(), this.layout.ramp(), 1L << 30,
				this.layout.drainMillis(), OWNER_KEY, "none", 0, Settings.TableReaders.ALL, Settings.Load.DEFAULT);
		Daemon daemon = Daemon.start(settings);
		this.daemons.put(id, daemon);
		this.instanceList.put(new InstanceListStandIn.Entry(id, "entry", zone, daemon.peerAddress(), false));
		return daemon;
	}

	private void awaitReady() {
		long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
		while (!isReady()) {
			if (System.currentTimeMillis() > deadline) {
				throw new IllegalStateException("system is not ready after " + READY_TIMEOUT_MILLIS + " ms");
			}
			sleep(READY_POLL_MILLIS);
		}
	}

	private boolean isReady() {
		long now = System.currentTimeMillis();
		return this.daemons.values()
			.stream()
			.allMatch((daemon) -> daemon.notReadyReason().isEmpty()
					&& daemon.node().instances().all().size() == this.daemons.size()
					&& daemon.node().membership().liveShards(now).size() == this.layout.zones().size()
					&& daemon.node()
						.membership()
						.liveShards(now)
						.stream()
						.allMatch((status) -> status.summary().endpoints() == this.layout.enginesPerZone()));
	}

	/**
	 * Sleeps, or returns early if the thread is interrupted.
	 * @param millis the time in milliseconds
	 */
	public static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the log.
	 * @return the stand-in
	 */
	public LogStandIn log() {
		return this.log;
	}

	/**
	 * Returns the instance list.
	 * @return the stand-in
	 */
	public InstanceListStandIn instanceList() {
		return this.instanceList;
	}

	/**
	 * Returns the plain service.
	 * @return the stand-in
	 */
	public ServiceStandIn service() {
		return this.service;
	}

	/**
	 * Returns the engines.
	 * @return the engines by name, in the order of their start
	 */
	public Map<String, EngineStandIn> engines() {
		return this.engines;
	}

	/**
	 * Returns the daemons.
	 * @return the daemons by name, in the order of their start
	 */
	public Map<String, Daemon> daemons() {
		return this.daemons;
	}

	/**
	 * Returns the URLs for callers.
	 * @return one URL per daemon, in the order of their start
	 */
	public List<String> urls() {
		return new ArrayList<>(this.daemons.values().stream().map(Daemon::url).toList());
	}

	@Override
	public void close() {
		this.daemons.values().forEach(Daemon::close);
		this.engines.values().forEach(EngineStandIn::close);
		this.service.close();
		this.instanceList.close();
		this.log.close();
	}

	/**
	 * The size and settings of a system.
	 *
	 * @param zones the availability zones
	 * @param daemonsPerZone the daemons in each zone
	 * @param enginesPerZone the engines in each zone
	 * @param engineSettings the costs and limits of each engine
	 * @param firstHttpPort the HTTP port of the first daemon, from which the others count
	 * up, or 0 for any free ports
	 * @param failureTimeoutMillis the time without a heartbeat after which a peer is
	 * considered failed, in milliseconds
	 * @param settleMillis the settle time: how long a new home waits for grants that
	 * holders announce, in milliseconds
	 * @param ramp the slow-start ramp of endpoints
	 * @param drainMillis the maximum duration of a planned stop of a daemon, in
	 * milliseconds
	 */
	public record Layout(List<String> zones, int daemonsPerZone, int enginesPerZone, EngineSettings engineSettings,
			int firstHttpPort, long failureTimeoutMillis, long settleMillis, ColdStartRamp.Settings ramp,
			long drainMillis) {

		/** Three zones of two daemons and three engines each. */
		public static final Layout DEFAULT = new Layout(List.of("gijon", "santander", "bilbao"), 2, 3,
				EngineSettings.DEFAULT, 0, 2_500, 500, ColdStartRamp.Settings.DEFAULT, 60_000);

		/**
		 * Returns the layout with fixed ports for callers.
		 * @param port the HTTP port of the first daemon, from which the others count up
		 * @return the layout
		 */
		public Layout withFirstHttpPort(int port) {
			return new Layout(this.zones, this.daemonsPerZone, this.enginesPerZone, this.engineSettings, port,
					this.failureTimeoutMillis, this.settleMillis, this.ramp, this.drainMillis);
		}

		/**
		 * Returns the layout with other numbers of daemons and engines.
		 * @param daemons the daemons in each zone
		 * @param engines the engines in each zone
		 * @return the layout
		 */
		public Layout withCountsPerZone(int daemons, int engines) {
			return new Layout(this.zones, daemons, engines, this.engineSettings, this.firstHttpPort,
					this.failureTimeoutMillis, this.settleMillis, this.ramp, this.drainMillis);
		}

		/**
		 * Returns the layout with other settings of its engines.
		 * @param newEngineSettings the costs and limits of each engine
		 * @return the layout
		 */
		public Layout withEngineSettings(EngineSettings newEngineSettings) {
			return new Layout(this.zones, this.daemonsPerZone, this.enginesPerZone, newEngineSettings,
					this.firstHttpPort, this.failureTimeoutMillis, this.settleMillis, this.ramp, this.drainMillis);
		}

		/**
		 * Returns the layout with another limit for planned stops.
		 * @param newDrainMillis the maximum duration of a planned stop of a daemon, in
		 * milliseconds
		 * @return the layout
		 */
		public Layout withDrainMillis(long newDrainMillis) {
			return new Layout(this.zones, this.daemonsPerZone, this.enginesPerZone, this.engineSettings,
					this.firstHttpPort, this.failureTimeoutMillis, this.settleMillis, this.ramp, newDrainMillis);
		}

		/**
		 * Returns the layout with another slow-start ramp.
		 * @param newRamp the slow-start ramp of endpoints
		 * @return the layout
		 */
		public Layout withRamp(ColdStartRamp.Settings newRamp) {
			return new Layout(this.zones, this.daemonsPerZone, this.enginesPerZone, this.engineSettings,
					this.firstHttpPort, this.failureTimeoutMillis, this.settleMillis, newRamp, this.drainMillis);
		}

	}

}
