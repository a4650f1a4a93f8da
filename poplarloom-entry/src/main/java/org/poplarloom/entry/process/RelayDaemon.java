package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Hooks;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.CostPlacement;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.core.version.ZoneCommand;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.relay.CallerServer;
import org.poplarloom.entry.relay.RelayMetrics;
import org.poplarloom.entry.relay.RelayService;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.platform.CallerFormat;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.PlatformSettings;
import org.poplarloom.platform.StoreClient;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.WorkerEntryFormat;
import org.poplarloom.platform.WorkerFormat;
import org.poplarloom.port.EndpointEntry;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.wire.message.Message;

/**
 * One running instance that relays requests on the users' platform: the node, its copies
 * of the platform's tables and the server for callers.
 * <p>
 * It is ready from the time it knows a configuration until it starts to drain. This class
 * is thread-safe.
 */
public final class RelayDaemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RelayDaemon.class);

	/**
	 * A read returns as soon as there is a new record; notices from peers reach instances
	 * whose read does not return.
	 */
	private static final TableFollower.Timing OPERATOR_TIMING = new TableFollower.Timing(4_000, 20);

	/** A home must stop granting an endpoint within 2 s after it starts to drain. */
	private static final TableFollower.Timing HOME_ENDPOINT_TIMING = new TableFollower.Timing(0, 900);

	/** An instance that is no home keeps its copy recent enough to become one quickly. */
	private static final TableFollower.Timing NON_HOME_ENDPOINT_TIMING = new TableFollower.Timing(0, 4_000);

	/** Peers that are not in the table yet are discovered through seeds and gossip. */
	private static final TableFollower.Timing STATUS_TIMING = new TableFollower.Timing(0, 8_000);

	private static final long PEER_TIMEOUT_MILLIS = 600;

	private static final long ENTRY_RETRY_MILLIS = 1_000;

	/**
	 * The load balancer checks readiness once a second and takes an instance out after
	 * two failed checks.
	 */
	private static final long MIN_DRAIN_MILLIS = 3_000;

	/**
	 * Fraction of the grace time in which new requests are still admitted; the rest is
	 * for their answers.
	 */
	private static final double ADMISSION_RATIO = 0.33;

	/** Part of the grace time that is reserved for the exit of the process. */
	private static final long EXIT_RESERVE_MILLIS = 600;

	private static final long DRAIN_POLL_MILLIS = 100;

	/**
	 * Each instance that has news passes it on, so n instances know it in about log(n)
	 * rounds.
	 */
	private static final int NOTIFIED_PEERS = 2;

	private final PlatformSettings platform;

	private final Settings settings;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relay", false),
			NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final ActiveRouting routing = new ActiveRouting();

	private final PublishedEntries entries;

	private final Node node;

	private final KeyedTablePort store;

	private final CallerServer callerServer;

	private final RelayService relay;

	private final RelayMetrics metrics;

	private TableFollower endpointTable;

	private String callerAddress;

	private String metricsAddress;

	private volatile boolean stopping;

	private RelayDaemon(PlatformSettings platform, Settings settings) {
		this.platform = platform;
		this.settings = settings;
		this.entries = new PublishedEntries(this.routing, Clock.steady());
		this.node = new Node(settings, Ports.forRelay(this.entries, this.entries), CostPlacement::new,
				NodeThreads.shared(this.group));
		HttpExchanger exchanger = new HttpExchanger(this.loop);
		this.store = new StoreClient(this.loop, exchanger, platform.storeAddress());
		this.relay = new RelayService(this.node, this.routing, this.entries, exchanger, new WorkerFormat(), this.loop,
				platform.retryRatio());
		this.metrics = this.relay.metrics();
		this.metrics.registerGauge("connections.opened", exchanger::openedConnections);
		this.metrics.registerGauge("grants.held", () -> (long) this.node.grantClient().heldCount());
		this.callerServer = new CallerServer(this.group, new CallerFormat(), this.relay,
				() -> this.routing.table().map(RoutingTable::limits).orElse(RoutingTable.CallerLimits.DEFAULT));
	}

	/**
	 * Starts an instance.
	 * @param platform the settings that the platform gives
	 * @param settings the settings of the node that are derived from them
	 * @return the instance
	 */
	public static RelayDaemon start(PlatformSettings platform, Settings settings) {
		RelayDaemon daemon = new RelayDaemon(platform, settings);
		daemon.start();
		return daemon;
	}

	private void start() {
		Hooks.onErrorDropped((failure) -> logger.debug("failure after the end of a request: {}", failure.toString()));
		this.node.start();
		follow(Tables.OPERATORS, () -> OPERATOR_TIMING, this::notifyPeers,
				(records) -> records.forEach(this::applyOperatorRecord));
		this.endpointTable = follow(Tables.WORKERS, this::endpointTiming, RelayDaemon::notifyNoPeer,
				this::applyEndpointRecords);
		follow(Tables.STATUS, () -> STATUS_TIMING, RelayDaemon::notifyNoPeer,
				(records) -> records.forEach(this.entries::updateInstance));
		publishOwnEntry();
		this.callerServer.listenReadiness(this.platform.readinessAddress(), this::notReadyReason);
		this.callerAddress = this.callerServer.listenForCallers(this.platform.callerAddress());
		this.metricsAddress = this.callerServer.listenMetrics(this.settings.host() + ":" + this.settings.httpPort(),
				this.metrics);
		logger.info("event=started instance={} zone={} callers={} peers={}", this.settings.instance(),
				this.settings.zone(), this.callerAddress, peerAddress());
	}

	private TableFollower.Timing endpointTiming() {
		boolean isHome = !this.node.localHomes().isEmpty();
		return isHome ? HOME_ENDPOINT_TIMING : NON_HOME_ENDPOINT_TIMING;
	}

	private TableFollower follow(String table, Supplier<TableFollower.Timing> timing, Consumer<Message> peerNotices,
			Consumer<List<KeyedTablePort.Entry>> listener) {
		TableFollower follower = new TableFollower(table, this.store, timing, this.loop, this::queryRandomPeer,
				peerNotices, listener, this.node.clock());
		this.node.shareWithPeers(follower);
		follower.start();
		return follower;
	}

	private static void notifyNoPeer(Message notice) {
		// Every instance reads the table often enough.
	}

	private void notifyPeers(Message notice) {
		List<String> addresses = new ArrayList<>(this.entries.peerAddresses(peerAddress()));
		Collections.shuffle(addresses);
		addresses.stream().limit(NOTIFIED_PEERS).forEach((address) -> this.node.network().send(address, notice));
	}

	private CompletableFuture<Message> queryRandomPeer(Message query) {
		List<String> addresses = new ArrayList<>(this.entries.peerAddresses(peerAddress()));
		for (String seed : this.platform.seeds()) {
			addresses.add(seed.substring(0, seed.lastIndexOf(':') + 1) + this.platform.peerPort());
		}
		addresses.remove(peerAddress());
		if (addresses.isEmpty()) {
			return CompletableFuture
				.failedFuture(new PoplarloomException(ErrorCode.PEER_TIMEOUT, "no other instance is known"));
		}
		String chosen = addresses.get(ThreadLocalRandom.current().nextInt(addresses.size()));
		return this.node.network().request(chosen, query, PEER_TIMEOUT_MILLIS);
	}

	/**
	 * Returns the address at which callers reach this instance.
	 * @return the host and the port that the socket is bound to
	 */
	public String callerAddress() {
		return this.callerAddress;
	}

	/**
	 * Returns the address at which the metrics are served.
	 * @return the host and the port that the socket is bound to
	 */
	public String metricsAddress() {
		return this.metricsAddress;
	}

	private String peerAddress() {
		return this.node.membership().self().address();
	}

	private void publishOwnEntry() {
		ListedInstance self = new ListedInstance(this.settings.instance().value(), ListedInstance.ENTRY,
				this.settings.zone().value(), peerAddress(), false);
		this.store.put(Tables.STATUS, self.id(), Documents.write(self).getBytes(StandardCharsets.UTF_8))
			.whenComplete((offset, failure) -> {
				if (failure != null && !this.stopping) {
					logger.warn("event=announcement_failed cause=\"{}\"", failure.getMessage());
					this.loop.schedule(this::publishOwnEntry, ENTRY_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	private void applyOperatorRecord(KeyedTablePort.Entry entry) {
		if (entry.key().equals(ConfigurationFormat.CONFIGURATION_KEY)) {
			applyConfiguration(entry);
		}
		else if (entry.key().startsWith(ConfigurationFormat.EVACUATION_KEY_PREFIX)) {
			String zone = entry.key().substring(ConfigurationFormat.EVACUATION_KEY_PREFIX.length());
			logger.info("event=evacuation zone={} out={} offset={}", zone, !entry.isTombstone(), entry.offset());
			this.node.activeConfiguration()
				.applyZoneCommands(List.of(new ZoneCommand(entry.key() + "@" + entry.offset(), entry.offset(),
						entry.offset(), "operator", AvailabilityZone.of(zone), !entry.isTombstone())));
		}
	}

	private void applyConfiguration(KeyedTablePort.Entry entry) {
		if (entry.isTombstone()) {
			return;
		}
		try {
			this.routing.activateIfNewer(ConfigurationFormat.read(entry.value()));
		}
		catch (PoplarloomException | IllegalArgumentException ex) {
			logger.error("event=unreadable_configuration offset={} cause=\"{}\"", entry.offset(), ex.getMessage());
		}
	}

	private void applyEndpointRecords(List<KeyedTablePort.Entry> records) {
		List<EndpointEntry> published = new ArrayList<>();
		for (KeyedTablePort.Entry record : records) {
			if (record.isTombstone()) {
				removeEndpointAfterGrace(record.key());
				continue;
			}
			try {
				published.add(WorkerEntryFormat.read(record.key(), record.value()));
			}
			catch (PoplarloomException ex) {
				logger.warn("endpoint={} event=unreadable_entry cause=\"{}\"", record.key(), ex.getMessage());
			}
		}
		if (this.entries.update(published)) {
			this.node.refreshEndpoints();
		}
	}

	private void removeEndpointAfterGrace(String id) {
		long now = this.node.clock().nowMillis();
		long recovered = (this.endpointTable != null) ? this.endpointTable.recoveredMillis() : 0;
		this.loop.schedule(() -> {
			this.entries.remove(id, now);
			this.node.refreshEndpoints();
		}, PublishedEntries.removalDelayMillis(recovered, now), TimeUnit.MILLISECONDS);
	}

	private String notReadyReason() {
		if (this.stopping) {
			return "shutting down";
		}
		return this.routing.table().isPresent() ? "" : "no configuration has been learnt";
	}

	/**
	 * Reads the settings file again and logs whether it changed; new values take effect
	 * at the next start.
	 * @param file the file
	 */
	public void reload(Path file) {
		Findings findings = new Findings();
		PlatformSettings reread = PlatformSettings.read(file, findings);
		logger.info("event=reload changed={} findings={}", reread != null && !reread.equals(this.platform),
				findings.entries());
	}

	/**
	 * Drains the instance and stops it once all requests in progress have ended or the
	 * grace time is nearly over.
	 * <p>
	 * New requests are admitted during the first third of the grace time. An idle
	 * instance continues for at least 3 s, unless the grace time is shorter, so that the
	 * load balancer takes it out before it stops.
	 */
	public void stopGracefully() {
		logger.info("event=stopping busy={}", this.callerServer.requestsInProgress());
		this.stopping = true;
		long startNanos = System.nanoTime();
		this.loop.execute(this.callerServer::disableKeepAlive);
		this.loop.schedule(this.relay::stopAdmitting, (long) (ADMISSION_RATIO * this.platform.graceMillis()),
				TimeUnit.MILLISECONDS);
		this.node.membership().startDraining();
		this.node.gossiper().broadcast();
		while (!isStopDue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))) {
			try {
				Thread.sleep(DRAIN_POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
		}
		close();
	}

	private boolean isStopDue(long elapsedMillis) {
		boolean isIdle = this.loop.submit(this.callerServer::requestsInProgress).syncUninterruptibly().getNow() == 0;
		return elapsedMillis >= this.platform.graceMillis() - EXIT_RESERVE_MILLIS
				|| (isIdle && elapsedMillis >= MIN_DRAIN_MILLIS);
	}

	@Override
	public void close() {
		this.stopping = true;
		logger.info("event=stopped");
		this.node.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
