package org.poplarloom.entry.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Hooks;

import org.poplarloom.core.Findings;
import org.poplarloom.core.process.CostPlacement;
import org.poplarloom.core.process.EvenPlacement;
import org.poplarloom.core.process.MemoryBudget;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.relay.AnswerBuffers;
import org.poplarloom.entry.relay.CallerServer;
import org.poplarloom.entry.relay.ForwardedRequests;
import org.poplarloom.entry.relay.IncomingBodies;
import org.poplarloom.entry.relay.RelayMetrics;
import org.poplarloom.entry.relay.RelayService;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.platform.CallerFormat;
import org.poplarloom.platform.PlatformSettings;
import org.poplarloom.platform.StoreClient;
import org.poplarloom.platform.WorkerFormat;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.port.http.Connector;
import org.poplarloom.port.http.HttpExchanger;

/**
 * One running instance that relays requests on the users' platform: the node, its copies
 * of the platform's tables and the server for callers.
 * <p>
 * It is ready from the time it knows a configuration until it starts to drain. This class
 * is thread-safe.
 */
public final class RelayDaemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RelayDaemon.class);

	/** An endpoint that reads nothing of a body for so long holds its memory in vain. */
	private static final long BODY_STALL_MILLIS = 5_000;

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

	private final ForwardedRequests forwardedRequests;

	private final RelayMetrics metrics;

	private RelayTables tables;

	private String callerAddress;

	private String metricsAddress;

	private volatile boolean stopping;

	private RelayDaemon(PlatformSettings platform, Settings settings, Connector connector) {
		this.platform = platform;
		this.settings = settings;
		this.entries = new PublishedEntries(this.routing, Clock.steady());
		this.node = new Node(settings, Ports.forRelay(this.entries, this.entries), this::newPlacement,
				NodeRuntime.shared(settings, this.group));
		MemoryBudget memory = new MemoryBudget(settings.bodyBudgetBytes());
		AnswerBuffers answerBuffers = answerBuffers(memory);
		HttpExchanger exchanger = settings.load().buffersSlowReaders()
				? new HttpExchanger(this.loop, connector, BODY_STALL_MILLIS, answerBuffers::maxReadBytes)
				: new HttpExchanger(this.loop, connector);
		CountingStore countedStore = new CountingStore(new StoreClient(this.loop, exchanger, platform.storeAddress()));
		this.store = countedStore;
		IncomingBodies incomingBodies = incomingBodies(memory);
		this.relay = new RelayService(this.node, this.routing, this.entries, exchanger, new WorkerFormat(), this.loop,
				memory, answerBuffers, incomingBodies,
				new RelayService.RetryLimit(platform.retryRatio(), platform.retryReserve()));
		this.forwardedRequests = new ForwardedRequests(this.relay, new CallerFormat());
		this.node.handleForwardedBy(this.forwardedRequests);
		this.node.observeLeaving((endpoint, bootId) -> this.relay.recordLeaving(endpoint, bootId));
		this.metrics = this.relay.metrics();
		this.metrics.registerGauge("connections.opened", exchanger::openedConnections);
		this.metrics.registerGauge("endpoint_link.lost", () -> this.relay.isLinkLost() ? 1L : 0L);
		this.metrics.registerGauge("requests.forwarded", this.relay::forwardedCount);
		this.metrics.registerGauge("requests.run_for_others", this.forwardedRequests::count);
		this.metrics.registerGauge("store.calls", countedStore::calls);
		this.metrics.registerGauge("connections.unexpected_data", exchanger::connectionsWithUnexpectedData);
		this.metrics.registerGauge("memory.held_bytes", memory::heldBytes);
		this.metrics.registerGauge("memory.capacity_bytes", memory::capacityBytes);
		this.metrics.registerGauge("answers.buffered_bytes", answerBuffers::heldBytes);
		this.metrics.registerGauge("answers.slow", answerBuffers::slowCount);
		this.metrics.registerGauge("answers.paused", answerBuffers::pausedCount);
		this.metrics.registerGauge("answers.cut_off", answerBuffers::cutOffCount);
		this.metrics.registerGauge("bodies.given_up", incomingBodies::givenUpCount);
		NodeGauges.register(this.metrics, this.node);
		this.callerServer = new CallerServer(this.group, new CallerFormat(), this.relay,
				() -> this.routing.table().map(RoutingTable::limits).orElse(RoutingTable.CallerLimits.DEFAULT),
				settings.connections());
		this.metrics.registerGauge("callers.closed_for_others", this.callerServer.callers()::closedCount);
		this.routing.whenActivated(() -> this.loop.execute(() -> {
			this.callerServer.applyLimits();
			this.relay.startEarlyRequests();
		}));
	}

	private PlacementPolicy newPlacement() {
		return this.settings.load().isSpread() ? new EvenPlacement(this.node.loadSpread()::isActive, new Random())
				: new CostPlacement();
	}

	private AnswerBuffers answerBuffers(MemoryBudget memory) {
		LongSupplier nowMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		return this.settings.load().buffersSlowReaders() ? AnswerBuffers.ofBudget(memory, nowMillis)
				: AnswerBuffers.withoutRoom(nowMillis);
	}

	private IncomingBodies incomingBodies(MemoryBudget memory) {
		return this.settings.load().buffersSlowReaders() ? IncomingBodies.ofBudget(memory.capacityBytes(),
				() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime())) : IncomingBodies.unlimited();
	}

	/**
	 * Starts an instance.
	 * @param platform the settings that the platform gives
	 * @param settings the settings of the node that are derived from them
	 * @param connector opens the connections to endpoints and to the platform
	 * @return the instance
	 */
	public static RelayDaemon start(PlatformSettings platform, Settings settings, Connector connector) {
		return start(platform, settings, connector, (daemon) -> {
		});
	}

	/**
	 * Starts an instance.
	 * @param platform the settings that the platform gives
	 * @param settings the settings of the node that are derived from them
	 * @param connector opens the connections to endpoints and to the platform
	 * @param beforeListening is called with the instance before callers can reach it; the
	 * instance can be stopped from then on
	 * @return the instance
	 */
	public static RelayDaemon start(PlatformSettings platform, Settings settings, Connector connector,
			Consumer<RelayDaemon> beforeListening) {
		RelayDaemon daemon = new RelayDaemon(platform, settings, connector);
		daemon.start(beforeListening);
		return daemon;
	}

	private void start(Consumer<RelayDaemon> beforeListening) {
		Hooks.onErrorDropped((failure) -> logger.debug("failure after the end of a request: {}", failure.toString()));
		this.node.start();
		ListedInstance own = new ListedInstance(this.settings.instance().value(), ListedInstance.ENTRY,
				this.settings.zone().value(), peerAddress(), false);
		this.tables = new RelayTables(new RelayTables.Identity(own, seedAddresses()), this.store, this.routing,
				this.entries, this.node, this.loop);
		this.metrics.registerGauge("configuration.age_ms", this.tables::operatorsAgeMillis);
		this.metrics.registerGauge("configuration.findings", this.tables::configurationFindings);
		this.metrics.registerGauge("configuration.unreadable", this.tables::unreadableConfigurations);
		this.metrics.registerGauge("tables.is_reader", () -> this.tables.reading().isReading() ? 1L : 0L);
		this.metrics.registerGauge("tables.age_ms", this.tables.reading()::ageMillis);
		this.tables.start();
		beforeListening.accept(this);
		this.callerServer.listenReadiness(this.platform.readinessAddress(), this::notReadyReason);
		this.callerAddress = this.callerServer.listenForCallers(this.platform.callerAddress());
		this.metricsAddress = this.callerServer.listenMetrics(this.settings.host() + ":" + this.settings.httpPort(),
				this.metrics);
		logger.info("event=started instance={} zone={} callers={} peers={}", this.settings.instance(),
				this.settings.zone(), this.callerAddress, peerAddress());
	}

	// Seeds name the port of another interface; the port for peers is the same
	// everywhere.
	private List<String> seedAddresses() {
		return this.platform.seeds()
			.stream()
			.map((seed) -> seed.substring(0, seed.lastIndexOf(':') + 1) + this.platform.peerPort())
			.toList();
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
	 * New requests are admitted during the first third of the grace time; those that no
	 * endpoint has received by then are refused. An idle instance continues for at least
	 * 3 s, unless the grace time is shorter, so that the load balancer takes it out
	 * before it stops. Each request that was read gets an answer, except that a stream
	 * that still runs at the end is broken off.
	 */
	public void stopGracefully() {
		this.stopping = true;
		new GracefulStop(this.loop, new Requests(), this.platform.graceMillis()).run();
		close();
	}

	@Override
	public void close() {
		this.stopping = true;
		this.tables.stop();
		logger.info("event=stopped");
		this.node.close();
		NodeRuntime.shutDown(this.group);
	}

	/**
	 * The requests in progress at this instance. It is not thread-safe; the event loop
	 * guards it.
	 */
	private final class Requests implements GracefulStop.Drainable {

		@Override
		public long requestsInProgress() {
			return RelayDaemon.this.callerServer.requestsInProgress();
		}

		@Override
		public long forwardedRequestsInProgress() {
			return RelayDaemon.this.forwardedRequests.inProgress();
		}

		@Override
		public void disableKeepAlive() {
			RelayDaemon.this.callerServer.disableKeepAlive();
		}

		@Override
		public void announceStop() {
			RelayDaemon.this.node.announceStop();
		}

		@Override
		public void stopAdmitting() {
			RelayDaemon.this.relay.stopAdmitting();
		}

		@Override
		public void endRequests() {
			RelayDaemon.this.relay.endRequests();
		}

	}

}
