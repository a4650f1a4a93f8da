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
import org.poplarloom.core.version.ZoneOrder;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.relay.FrontServer;
import org.poplarloom.entry.relay.RelayMetrics;
import org.poplarloom.entry.relay.RelayService;
import org.poplarloom.entry.version.RoutingKeeper;
import org.poplarloom.platform.CallerFormat;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.PlatformSettings;
import org.poplarloom.platform.StoreClient;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.WorkerEntryFormat;
import org.poplarloom.platform.WorkerFormat;
import org.poplarloom.port.InstanceListPort.Listed;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.wire.message.Message;

/**
 * One running instance on the users' platform: the node, its copies of the platform's
 * tables and the socket for callers.
 * <p>
 * It is ready once it knows a configuration and until it is told to stop. This class is
 * thread-safe.
 */
public final class RelayDaemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RelayDaemon.class);

	/**
	 * A call returns as soon as there is news; peers notify those whose call does not.
	 */
	private static final TableFollower.Timing OPERATOR_TIMING = new TableFollower.Timing(4_000, 20);

	/** A home must grant no worker 2 s after it has said that it leaves. */
	private static final TableFollower.Timing HOME_WORKER_TIMING = new TableFollower.Timing(0, 900);

	/** Instances that grant nothing only keep up, to become a home quickly. */
	private static final TableFollower.Timing WORKER_TIMING = new TableFollower.Timing(0, 4_000);

	/** Peers that are not in the table yet are met through seeds and gossip. */
	private static final TableFollower.Timing STATUS_TIMING = new TableFollower.Timing(0, 8_000);

	private static final long PEER_TIMEOUT_MILLIS = 600;

	private static final long ANNOUNCE_RETRY_MILLIS = 1_000;

	/** The balancer asks once a second and takes an instance out after two misses. */
	private static final long LEAVE_NOTICE_MILLIS = 3_000;

	/**
	 * Part of the grace time in which new requests are admitted; the rest is for their
	 * answers.
	 */
	private static final double ADMISSION_SHARE = 0.33;

	/** Left of the grace time for the end of the process itself. */
	private static final long EXIT_MILLIS = 600;

	private static final long DRAIN_POLL_MILLIS = 100;

	/** News reach n instances in about log(n) rounds. */
	private static final int NOTIFIED_PEERS = 2;

	private final PlatformSettings platform;

	private final Settings settings;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("relay", false),
			NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final RoutingKeeper routing = new RoutingKeeper();

	private final PublishedEntries entries;

	private final Node node;

	private final KeyedTablePort store;

	private final FrontServer front;

	private final RelayService relay;

	private final RelayMetrics metrics;

	private TableFollower workerTable;

	private volatile boolean stopping;

	private RelayDaemon(PlatformSettings platform, Settings settings) {
		this.platform = platform;
		this.settings = settings;
		this.entries = new PublishedEntries(this.routing, Clock.steady());
		this.node = new Node(settings, Ports.forRelay(this.entries, this.entries), CostPlacement::new);
		HttpExchanger exchanger = new HttpExchanger(this.loop);
		this.store = new StoreClient(this.loop, exchanger, platform.storeAddress());
		this.relay = new RelayService(this.node, this.routing, this.entries, exchanger, new WorkerFormat(), this.loop,
				platform.retryRatio());
		this.metrics = this.relay.metrics();
		this.metrics.show("connections.opened", exchanger::opened);
		this.metrics.show("grants.held", () -> (long) this.node.grants().heldCount());
		this.front = new FrontServer(this.group, new CallerFormat(), this.relay,
				() -> this.routing.table().map(RoutingTable::limits).orElse(RoutingTable.CallerLimits.DEFAULT));
	}

	/**
	 * Starts an instance.
	 * @param platform what the platform says
	 * @param settings the settings that follow from it
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
		follow(Tables.OPERATORS, () -> OPERATOR_TIMING, this::notifyPeers, this::learnOperatorRecord);
		this.workerTable = follow(Tables.WORKERS, this::workerTiming, RelayDaemon::notifyNobody,
				this::learnWorkerRecord);
		follow(Tables.STATUS, () -> STATUS_TIMING, RelayDaemon::notifyNobody, this.entries::hearInstance);
		announce();
		this.front.listenReadiness(this.platform.readinessAddress(), this::notReadyReason);
		this.front.listen(this.platform.callerAddress());
		if (this.settings.httpPort() > 0) {
			this.front.listenMetrics(this.settings.host() + ":" + this.settings.httpPort(), this.metrics);
		}
		logger.info("event=started instance={} zone={} callers={} peers={}", this.settings.instance(),
				this.settings.zone(), this.platform.callerAddress(), peerAddress());
	}

	private TableFollower.Timing workerTiming() {
		boolean isHome = !this.node.homes().homes().isEmpty();
		return isHome ? HOME_WORKER_TIMING : WORKER_TIMING;
	}

	private TableFollower follow(String table, Supplier<TableFollower.Timing> timing, Consumer<Message> notices,
			Consumer<KeyedTablePort.Entry> listener) {
		TableFollower follower = new TableFollower(table, this.store, timing, this.loop, this::askAnyPeer, notices,
				listener, this.node.clock());
		this.node.share(follower);
		follower.start();
		return follower;
	}

	private static void notifyNobody(Message notice) {
		// Every instance reads the table often enough by itself.
	}

	private void notifyPeers(Message notice) {
		List<String> addresses = new ArrayList<>(this.entries.peerAddresses(peerAddress()));
		Collections.shuffle(addresses);
		addresses.stream().limit(NOTIFIED_PEERS).forEach((address) -> this.node.network().send(address, notice));
	}

	private CompletableFuture<Message> askAnyPeer(Message question) {
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
		return this.node.network().request(chosen, question, PEER_TIMEOUT_MILLIS);
	}

	private String peerAddress() {
		return this.node.membership().self().address();
	}

	private void announce() {
		Listed self = new Listed(this.settings.instance().value(), Listed.ENTRY, this.settings.zone().value(),
				peerAddress(), false);
		this.store.put(Tables.STATUS, self.id(), Documents.write(self).getBytes(StandardCharsets.UTF_8))
			.whenComplete((offset, failure) -> {
				if (failure != null && !this.stopping) {
					logger.warn("event=announcement_failed cause=\"{}\"", failure.getMessage());
					this.loop.schedule(this::announce, ANNOUNCE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	private void learnOperatorRecord(KeyedTablePort.Entry entry) {
		if (entry.key().equals(ConfigurationFormat.CONFIGURATION)) {
			learnConfiguration(entry);
		}
		else if (entry.key().startsWith(ConfigurationFormat.EVACUATION)) {
			String zone = entry.key().substring(ConfigurationFormat.EVACUATION.length());
			logger.info("event=evacuation zone={} out={} offset={}", zone, !entry.isRemoval(), entry.offset());
			this.node.keeper()
				.order(List.of(new ZoneOrder(entry.key() + "@" + entry.offset(), entry.offset(), entry.offset(),
						"operator", AvailabilityZone.of(zone), !entry.isRemoval())));
		}
	}

	private void learnConfiguration(KeyedTablePort.Entry entry) {
		if (entry.isRemoval()) {
			return;
		}
		try {
			this.routing.learn(ConfigurationFormat.read(entry.value()));
		}
		catch (PoplarloomException | IllegalArgumentException ex) {
			logger.error("event=unreadable_configuration offset={} cause=\"{}\"", entry.offset(), ex.getMessage());
		}
	}

	private void learnWorkerRecord(KeyedTablePort.Entry entry) {
		if (entry.isRemoval()) {
			forgetWorker(entry.key());
			return;
		}
		try {
			if (this.entries.hear(WorkerEntryFormat.read(entry.key(), entry.value()))) {
				this.node.refreshEndpoints();
			}
		}
		catch (PoplarloomException ex) {
			logger.warn("endpoint={} event=unreadable_entry cause=\"{}\"", entry.key(), ex.getMessage());
		}
	}

	private void forgetWorker(String id) {
		long now = this.node.clock().nowMillis();
		long regained = (this.workerTable != null) ? this.workerTable.regainedMillis() : 0;
		this.loop.schedule(() -> {
			this.entries.remove(id, now);
			this.node.refreshEndpoints();
		}, PublishedEntries.removalDelayMillis(regained, now), TimeUnit.MILLISECONDS);
	}

	private String notReadyReason() {
		if (this.stopping) {
			return "shutting down";
		}
		return this.routing.table().isPresent() ? "" : "no configuration has been learnt";
	}

	/**
	 * Reads the settings file again; addresses and places hold until the next start.
	 * @param file the file
	 */
	public void reload(Path file) {
		Findings findings = new Findings();
		PlatformSettings next = PlatformSettings.read(file, findings);
		logger.info("event=reload changed={} findings={}", next != null && !next.equals(this.platform),
				findings.entries());
	}

	/**
	 * Stops after all requests in progress have ended or the grace time is over.
	 */
	public void stopGracefully() {
		logger.info("event=stopping busy={}", this.front.busyCount());
		this.stopping = true;
		long started = System.nanoTime();
		this.loop.execute(this.front::stopKeepingConnections);
		this.loop.schedule(this.relay::stopAdmitting, (long) (ADMISSION_SHARE * this.platform.graceMillis()),
				TimeUnit.MILLISECONDS);
		this.node.membership().leave();
		this.node.gossiper().spreadUrgently();
		while (!isStopped(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started))) {
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

	private boolean isStopped(long elapsedMillis) {
		boolean isIdle = this.loop.submit(this.front::busyCount).syncUninterruptibly().getNow() == 0;
		return elapsedMillis >= this.platform.graceMillis() - EXIT_MILLIS
				|| (isIdle && elapsedMillis >= LEAVE_NOTICE_MILLIS);
	}

	@Override
	public void close() {
		this.stopping = true;
		logger.info("event=stopped");
		this.node.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
