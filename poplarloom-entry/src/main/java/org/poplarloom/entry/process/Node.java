package org.poplarloom.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import io.opentelemetry.api.trace.Span;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Schedulers;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.version.Documents;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.request.GrantClient;
import org.poplarloom.entry.version.ActiveConfiguration;
import org.poplarloom.entry.version.ConfigurationFollower;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.port.LogPort;
import org.poplarloom.port.ServicePort;
import org.poplarloom.wire.connection.PeerHandler;
import org.poplarloom.wire.connection.PeerReplies;
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.process.PeerTransport;

/**
 * The state and the periodic tasks of one instance.
 * <p>
 * Locks are taken in this order: active configuration, shard home, membership table,
 * limiters and usage ledgers; no thread takes an earlier one while it holds a later one.
 * This class is thread-safe.
 */
public final class Node implements AutoCloseable, PeerHandler, Peers {

	private static final Logger logger = LoggerFactory.getLogger(Node.class);

	private static final long HOME_TICK_PERIOD_MILLIS = 50;

	private static final long MEMBERSHIP_PERIOD_MILLIS = 200;

	private static final long POLL_PERIOD_MILLIS = 500;

	private static final long QUEUE_LOG_PERIOD_MILLIS = 1_000;

	private static final long LIST_REFRESH_PERIOD_MILLIS = 1_000;

	/** Other instances of the zone reply to a greeting within a few milliseconds. */
	static final long GREETING_REPLY_MILLIS = 150;

	/**
	 * An instance that hears nothing of the listed ones acts on what it knows after this
	 * time.
	 */
	static final long MAX_DISCOVERY_MILLIS = 2_000;

	private static final long CRASH_RETENTION_MILLIS = 600_000;

	private static final long USAGE_TICK_PERIOD_MILLIS = 1_000;

	private static final long LOAD_SPREAD_LOG_PERIOD_MILLIS = 10_000;

	private final Settings settings;

	private final Clock clock;

	private final NodeRuntime runtime;

	private final List<ScheduledFuture<?>> periodicTasks = new CopyOnWriteArrayList<>();

	private final Ports ports;

	private final Supplier<PlacementPolicy> placementPolicies;

	private final PeerTransport network;

	private final ActiveConfiguration activeConfiguration = new ActiveConfiguration();

	private final CrashRegistry crashes = CrashRegistry.of(CRASH_RETENTION_MILLIS);

	private final UsagePublisher usagePublisher;

	private final Tracing tracing;

	private final ConfigurationFollower configurationFollower;

	private final EndpointDirectory directory;

	private final LoadSpread loadSpread;

	private final Map<String, TableFollower> tableFollowers = new ConcurrentHashMap<>();

	private volatile boolean closed;

	private volatile ScheduledFuture<?> homeTick;

	private MembershipTable membership;

	private InstanceView instances;

	private LocalHomes localHomes;

	private HomeSelector selector;

	private GrantClient grantClient;

	private Gossiper gossiper;

	private CrashInvestigation crashInvestigation;

	private volatile BiConsumer<EndpointId, String> leavingObserver = (endpoint, bootId) -> {
	};

	private volatile PeerHandler forwardHandler = (peer, message, replies) -> replies
		.accept(new Message.ForwardedRefusal(ErrorCode.NOT_READY, Executed.NO, "the instance relays no requests", 0));

	/**
	 * Creates a node, which does nothing until it is started.
	 * @param settings the settings
	 * @param ports the ports to all systems other than its peers
	 * @param placementPolicies supplies the placement policy of each new home
	 * @param runtime threads, time and the transport to peers; the node closes it
	 */
	public Node(Settings settings, Ports ports, Supplier<PlacementPolicy> placementPolicies, NodeRuntime runtime) {
		this.runtime = runtime;
		this.clock = runtime.clock();
		this.placementPolicies = placementPolicies;
		this.settings = settings;
		this.ports = ports;
		this.loadSpread = new LoadSpread(settings.load());
		this.directory = new EndpointDirectory(settings.zone(), ports.list(), ports.reports(), this.clock);
		this.network = runtime.transport().apply(this);
		this.tracing = Tracing.of(settings.traceExport(), settings.instance());
		this.usagePublisher = new UsagePublisher(ports.log(), settings.ownerKey(),
				settings.instance() + "@" + this.clock.nowMillis(), this.clock);
		this.configurationFollower = new ConfigurationFollower(ports.log(), this.activeConfiguration,
				Schedulers.fromExecutor(runtime.tasks()));
	}

	/**
	 * Starts to listen to peers and to run the periodic tasks.
	 */
	public void start() {
		int port = this.network.listen(this.settings.host(), this.settings.peerPort());
		Member self = new Member(this.settings.instance(), this.settings.zone(), this.settings.host() + ":" + port,
				this.clock.nowMillis(), 0, false, this.settings.cpuCores());
		this.membership = MembershipTable.of(self, this.settings.failureTimeoutMillis());
		this.instances = new InstanceView(this.membership, this.directory, this.clock);
		this.localHomes = new LocalHomes(this.settings, this.membership, this.directory, this.ports.endpoints(),
				this.instances, this.activeConfiguration, this.clock, this.placementPolicies);
		this.selector = new HomeSelector(this.settings, this.membership, this.activeConfiguration, this.directory,
				this.clock, this.loadSpread);
		this.grantClient = new GrantClient(this.selector, this, this.clock);
		this.gossiper = new Gossiper(this.settings, this.membership, this.activeConfiguration, this.crashes,
				this.instances, this.localHomes, this, this.clock);
		this.crashInvestigation = new CrashInvestigation(this.membership, this.instances, this.crashes, this.gossiper,
				this, this.clock);
		this.localHomes.onReady(this.gossiper::announceHomes);
		runPeriodically(Gossiper.TICK_MILLIS, this.gossiper::tick);
		runPeriodically(MEMBERSHIP_PERIOD_MILLIS, this::followMembership);
		runPeriodically(CrashInvestigation.TICK_MILLIS, this.crashInvestigation::tick);
		this.runtime.tasks().execute(this::tickHomes);
		runPeriodically(POLL_PERIOD_MILLIS, () -> this.localHomes.poll().subscribe());
		runPeriodically(QUEUE_LOG_PERIOD_MILLIS, this.localHomes::logQueues);
		if (this.loadSpread.isEnabled()) {
			runPeriodically(LOAD_SPREAD_LOG_PERIOD_MILLIS,
					() -> this.loadSpread.report(this.selector.isSpilling(), this.selector.estimates()));
		}
		runPeriodically(LIST_REFRESH_PERIOD_MILLIS, () -> this.directory.refresh().subscribe());
	}

	/**
	 * Lets this instance take over shards once the listed instances of its zone have
	 * replied to a greeting, or after a limited time. Until then it would take itself for
	 * the home of every shard.
	 */
	public void takeOverAfterDiscovery() {
		long end = this.clock.nowMillis() + MAX_DISCOVERY_MILLIS;
		this.directory.refresh().doFinally((signal) -> greetUntil(end)).subscribe();
	}

	private void greetUntil(long endMillis) {
		if (this.instances.undiscovered().isEmpty() || this.clock.nowMillis() >= endMillis) {
			this.localHomes.allowTakeOver();
		}
		else if (!this.closed) {
			this.gossiper.greetUndiscovered();
			this.runtime.tasks().schedule(() -> greetUntil(endMillis), GREETING_REPLY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void followMembership() {
		if (this.loadSpread.isEnabled()) {
			this.loadSpread.update(this.membership.live(this.settings.zone(), this.clock.nowMillis()).size());
		}
		this.localHomes.followMembership();
		this.grantClient.handleHomeChanges();
		this.network.replaceSilentConnections();
	}

	// Only queues need the short period.
	private void tickHomes() {
		if (!this.closed) {
			runAndLogFailure(this.localHomes::tick);
			long delayMillis = this.localHomes.hasQueuedRequests() ? HOME_TICK_PERIOD_MILLIS : MEMBERSHIP_PERIOD_MILLIS;
			this.homeTick = this.runtime.tasks().schedule(this::tickHomes, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	// A request that was queued during a long period has its first tick after a short
	// one.
	private void tickHomesSoon() {
		ScheduledFuture<?> next = this.homeTick;
		if (next != null && next.getDelay(TimeUnit.MILLISECONDS) > HOME_TICK_PERIOD_MILLIS && next.cancel(false)) {
			this.homeTick = this.runtime.tasks()
				.schedule(this::tickHomes, HOME_TICK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Runs a task periodically until the node is closed. A failure of the task is logged.
	 * @param delayMillis the time from the end of one run to the start of the next, in
	 * milliseconds
	 * @param task the task
	 */
	public void runPeriodically(long delayMillis, Runnable task) {
		this.periodicTasks.add(this.runtime.tasks()
			.scheduleWithFixedDelay(() -> runAndLogFailure(task), 0, delayMillis, TimeUnit.MILLISECONDS));
	}

	private static void runAndLogFailure(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			logger.error("periodic task failed", ex);
		}
	}

	@Override
	public void send(InstanceId instance, String address, Message message) {
		if (instance.equals(this.settings.instance())) {
			this.handle(instance, message, (reply) -> {
			});
			return;
		}
		this.network.send(address, message);
	}

	@Override
	public CompletableFuture<Message> request(InstanceId instance, String address, Message message,
			long timeoutMillis) {
		if (!instance.equals(this.settings.instance())) {
			return this.network.request(address, message, timeoutMillis);
		}
		CompletableFuture<Message> reply = new CompletableFuture<>();
		this.handle(instance, message, reply::complete);
		return reply.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void handle(InstanceId peer, Message message, PeerReplies reply) {
		if (this.crashInvestigation == null) {
			return;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			this.gossiper.receive(peer, heartbeat);
		}
		else if (message instanceof Message.Gossip gossip) {
			this.gossiper.receive(gossip);
			reply.accept(new Message.Acknowledgement(true));
		}
		else if (message instanceof Message.AcquireGrant acquire) {
			Span span = this.tracing.start("home", acquire.traceParent());
			GrantRequest request = acquire.request().shifted(this.clock.nowMillis() - acquire.sentMillis());
			this.localHomes.acquire(peer, acquire.shard(), request, acquire.isFailFast(), (decision) -> {
				span.end();
				reply.accept(decision);
			});
			if (this.localHomes.hasPendingReplies()) {
				tickHomesSoon();
			}
		}
		else if (message instanceof Message.FirstToken firstToken) {
			this.localHomes.recordFirstToken(firstToken.shard(), firstToken.key());
		}
		else if (message instanceof Message.SegmentPrefilled prefilled) {
			this.localHomes.recordSegmentPrefilled(prefilled.shard(), prefilled.key(), prefilled.segment());
		}
		else if (message instanceof Message.Release release) {
			this.localHomes.release(release.shard(), release.key(), release.failedEndpoint());
		}
		else if (message instanceof Message.AnnounceGrants announce) {
			long shift = this.clock.nowMillis() - announce.sentMillis();
			List<Grant> grants = announce.grants().stream().map((grant) -> grant.shifted(shift)).toList();
			reply.accept(new Message.Acknowledgement(this.localHomes.announce(peer, announce.shard(), grants)));
		}
		else if (message instanceof Message.EndpointLeaving leaving) {
			this.leavingObserver.accept(leaving.endpoint(), leaving.bootId());
		}
		else if (message instanceof Message.CrashReport report) {
			this.crashInvestigation.receive(report);
		}
		else if (message instanceof Message.SurvivalQuery query) {
			reply.accept(this.crashInvestigation.receive(query));
		}
		else if (message instanceof Message.VersionQuery query) {
			reply.accept(versionReply(query.publicationId()));
		}
		else if (message instanceof Message.TableFetch fetch && this.tableFollowers.containsKey(fetch.table())) {
			reply.accept(this.tableFollowers.get(fetch.table()).handleFetch(fetch));
		}
		else if (message instanceof Message.TableNotice notice && this.tableFollowers.containsKey(notice.table())) {
			this.instances.address(peer)
				.ifPresent((address) -> this.tableFollowers.get(notice.table())
					.handlePeerPosition(address, notice.next()));
		}
		else if (isForwarding(message)) {
			this.forwardHandler.handle(peer, message, reply);
		}
		else if (message instanceof Message.ConfigurationFetch fetch) {
			reply.accept(new Message.ConfigurationContent(
					Documents.write(this.activeConfiguration.configuration().changesSince(fetch.offset()))));
		}
	}

	private static boolean isForwarding(Message message) {
		return message instanceof Message.ForwardRequest || message instanceof Message.ForwardCredit
				|| message instanceof Message.ForwardCancel;
	}

	/**
	 * Sets the handler of the requests that peers forward.
	 * @param handler handles them
	 */
	public void handleForwardedBy(PeerHandler handler) {
		this.forwardHandler = handler;
	}

	/**
	 * Lets peers fetch the records that a follower of a platform table has read.
	 * @param follower the follower
	 */
	public void shareWithPeers(TableFollower follower) {
		this.tableFollowers.put(follower.table(), follower);
	}

	/**
	 * Sets the receiver of notices of peers that an endpoint is leaving.
	 * @param observer receives the endpoint and the boot ID of its process
	 */
	public void observeLeaving(BiConsumer<EndpointId, String> observer) {
		this.leavingObserver = observer;
	}

	private Message versionReply(String publicationId) {
		return new Message.VersionReply(this.activeConfiguration.configuration().offset(),
				this.activeConfiguration.configuration().digest(),
				this.activeConfiguration.state().isInForce(publicationId), this.grantClient.heldCount());
	}

	/**
	 * Reads the platform's list and polls the endpoints now, without waiting for the next
	 * period.
	 */
	public void refreshEndpoints() {
		this.directory.refresh().then(this.localHomes.poll()).subscribe();
	}

	/**
	 * Returns the settings.
	 * @return the settings
	 */
	public Settings settings() {
		return this.settings;
	}

	/**
	 * Returns the clock.
	 * @return the clock
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns the port to the platform's log.
	 * @return the port, null at an instance that only relays requests
	 */
	public LogPort log() {
		return this.ports.log();
	}

	/**
	 * Returns the follower of the configuration stream.
	 * @return the follower
	 */
	public ConfigurationFollower configurationFollower() {
		return this.configurationFollower;
	}

	/**
	 * Returns the configuration that is in force.
	 * @return the active configuration
	 */
	public ActiveConfiguration activeConfiguration() {
		return this.activeConfiguration;
	}

	/**
	 * Returns the membership table.
	 * @return the table, null before {@link #start()}
	 */
	public MembershipTable membership() {
		return this.membership;
	}

	/**
	 * Returns the view of the entry instances of all zones.
	 * @return the view, null before {@link #start()}
	 */
	public InstanceView instances() {
		return this.instances;
	}

	/**
	 * Returns the directory of the listed endpoints.
	 * @return the directory
	 */
	public EndpointDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the shards whose home is this instance.
	 * @return the local homes, null before {@link #start()}
	 */
	public LocalHomes localHomes() {
		return this.localHomes;
	}

	/**
	 * Returns whether load is spread, and where requests went.
	 * @return the state of the spreading of load
	 */
	public LoadSpread loadSpread() {
		return this.loadSpread;
	}

	/**
	 * Returns the choice of homes.
	 * @return the selector, null before {@link #start()}
	 */
	public HomeSelector homeSelector() {
		return this.selector;
	}

	/**
	 * Returns the client that acquires grants from the homes.
	 * @return the client, null before {@link #start()}
	 */
	public GrantClient grantClient() {
		return this.grantClient;
	}

	/**
	 * Returns the gossiper.
	 * @return the gossiper, null before {@link #start()}
	 */
	public Gossiper gossiper() {
		return this.gossiper;
	}

	/**
	 * Returns the crash counts of requests.
	 * @return the registry
	 */
	public CrashRegistry crashes() {
		return this.crashes;
	}

	/**
	 * Returns the search for parts of prompts that crash endpoints.
	 * @return the investigation, null before {@link #start()}
	 */
	public CrashInvestigation crashInvestigation() {
		return this.crashInvestigation;
	}

	/**
	 * Returns the publisher of this instance's usage.
	 * @return the publisher
	 */
	public UsagePublisher usagePublisher() {
		return this.usagePublisher;
	}

	/**
	 * Starts to publish the usage periodically.
	 */
	public void startUsagePublishing() {
		runPeriodically(USAGE_TICK_PERIOD_MILLIS, this::publishUsage);
	}

	private void publishUsage() {
		if (this.usagePublisher.startIfDue(this.instances.all().size())) {
			this.localHomes.pollUsage(this.usagePublisher).then(this.usagePublisher.publish()).subscribe();
		}
	}

	/**
	 * Returns the recorder of spans.
	 * @return the recorder
	 */
	public Tracing tracing() {
		return this.tracing;
	}

	/**
	 * Returns the port to model engines.
	 * @return the port, null at an instance that only relays requests
	 */
	public EndpointPort endpoints() {
		return this.ports.endpoints();
	}

	/**
	 * Returns the port to plain services.
	 * @return the port, null at an instance that only relays requests
	 */
	public ServicePort services() {
		return this.ports.services();
	}

	/**
	 * Returns the connections to peers.
	 * @return the network
	 */
	public PeerTransport network() {
		return this.network;
	}

	/**
	 * Tells the other instances that this one is about to stop.
	 */
	void announceStop() {
		this.membership.startDraining();
		this.gossiper.broadcast();
	}

	@Override
	public void close() {
		this.configurationFollower.close();
		this.closed = true;
		this.periodicTasks.forEach((task) -> task.cancel(false));
		this.network.close();
		this.runtime.close();
		this.ports.close();
		this.tracing.close();
	}

}
