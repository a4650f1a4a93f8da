package org.poplarloom.entry.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.opentelemetry.api.trace.Span;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegister;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.version.Documents;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.request.GrantClient;
import org.poplarloom.entry.version.ConfigurationKeeper;
import org.poplarloom.entry.version.LogFollower;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.port.LogPort;
import org.poplarloom.port.ServicePort;
import org.poplarloom.wire.connection.PeerHandler;
import org.poplarloom.wire.connection.PeerKey;
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.process.PeerNetwork;

/**
 * The tables and loops that an instance has while its process lives.
 * <p>
 * Locks are taken in this order: configuration keeper, shard home, membership table,
 * limiters and books; nobody takes an earlier one while holding a later one. This class
 * is thread-safe.
 */
public final class Node implements AutoCloseable, PeerHandler, Peers {

	private static final Logger logger = LoggerFactory.getLogger(Node.class);

	private static final long HOME_TICK_MILLIS = 50;

	private static final long FOLLOW_MILLIS = 200;

	private static final long POLL_MILLIS = 500;

	private static final long QUEUE_LOG_MILLIS = 1_000;

	private static final long LIST_MILLIS = 1_000;

	private static final long CRASH_RETENTION_MILLIS = 600_000;

	private static final long USAGE_TICK_MILLIS = 1_000;

	private static final int LOOP_THREADS = 2;

	private final Settings settings;

	private final Clock clock = Clock.steady();

	private final ScheduledExecutorService loops = Executors.newScheduledThreadPool(LOOP_THREADS, (task) -> {
		Thread thread = new Thread(task, "loop");
		thread.setDaemon(true);
		return thread;
	});

	private final Scheduler scheduler = Schedulers.fromExecutor(this.loops);

	private final Ports ports;

	private final Supplier<PlacementPolicy> placements;

	private final PeerNetwork network;

	private final ConfigurationKeeper keeper = new ConfigurationKeeper();

	private final CrashRegister crashes = CrashRegister.of(CRASH_RETENTION_MILLIS);

	private final UsagePublisher usage;

	private final Tracing tracing;

	private final LogFollower follower;

	private final EndpointDirectory directory;

	private final Map<String, TableFollower> tables = new ConcurrentHashMap<>();

	private MembershipTable membership;

	private InstanceView instances;

	private HomeTable homes;

	private HomeSelector selector;

	private GrantClient grants;

	private Gossiper gossiper;

	/**
	 * Creates a node, which does nothing before it is started.
	 * @param settings the settings
	 * @param ports what it reaches outside its peers
	 * @param placements gives the policy of a new home
	 */
	public Node(Settings settings, Ports ports, Supplier<PlacementPolicy> placements) {
		this.placements = placements;
		this.settings = settings;
		this.ports = ports;
		this.directory = new EndpointDirectory(settings.zone(), ports.list(), ports.reports(), this.clock);
		this.network = new PeerNetwork(settings.instance(), PeerKey.of(settings.peerKey()), this);
		this.tracing = Tracing.of(settings.traceExport(), settings.instance());
		this.usage = new UsagePublisher(ports.log(), settings.ownerKey(),
				settings.instance() + "@" + this.clock.nowMillis(), this.clock);
		this.follower = new LogFollower(ports.log(), this.keeper, this.scheduler);
	}

	/**
	 * Starts to listen to peers and to run the loops.
	 */
	public void start() {
		int port = this.network.listen(this.settings.host(), this.settings.peerPort());
		Member self = new Member(this.settings.instance(), this.settings.zone(), this.settings.host() + ":" + port,
				this.clock.nowMillis(), 0, false);
		this.membership = MembershipTable.of(self, this.settings.failureTimeoutMillis());
		this.instances = new InstanceView(this.membership, this.directory, this.clock);
		this.homes = new HomeTable(this.settings, this.membership, this.directory, this.ports.endpoints(),
				this.instances, this.keeper, this.clock, this.placements);
		this.selector = new HomeSelector(this.settings, this.membership, this.keeper, this.clock);
		this.grants = new GrantClient(this.selector, this, this.clock);
		this.gossiper = new Gossiper(this.settings, this.membership, this.keeper, this.crashes, this.instances,
				this.homes, this, this.clock);
		every(Gossiper.TICK_MILLIS, this.gossiper::tick);
		every(HOME_TICK_MILLIS, this.homes::tick);
		every(FOLLOW_MILLIS, this.homes::followMembership);
		every(FOLLOW_MILLIS, this.grants::followHomes);
		every(POLL_MILLIS, () -> this.homes.poll().subscribe());
		every(QUEUE_LOG_MILLIS, this.homes::logQueues);
		every(LIST_MILLIS, () -> this.directory.refresh().subscribe());
	}

	/**
	 * Runs a task again and again until the node closes.
	 * @param periodMillis the time between two runs in milliseconds
	 * @param task the task
	 */
	public void every(long periodMillis, Runnable task) {
		this.loops.scheduleWithFixedDelay(() -> runSafely(task), 0, periodMillis, TimeUnit.MILLISECONDS);
	}

	private static void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			logger.error("loop failed", ex);
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
	public void handle(InstanceId peer, Message message, Consumer<Message> reply) {
		if (this.gossiper == null) {
			return;
		}
		if (message instanceof Message.Heartbeat heartbeat) {
			this.gossiper.receive(peer, heartbeat);
		}
		else if (message instanceof Message.Gossip gossip) {
			this.gossiper.receive(gossip);
			reply.accept(new Message.Announced(true));
		}
		else if (message instanceof Message.GrantAsk ask) {
			Span span = this.tracing.start("home", ask.traceParent());
			GrantRequest request = ask.request().shifted(this.clock.nowMillis() - ask.sentMillis());
			this.homes.ask(peer, ask.shard(), request, ask.isTrial(), (decision) -> {
				span.end();
				reply.accept(decision);
			});
		}
		else if (message instanceof Message.FirstToken first) {
			this.homes.firstToken(first.shard(), first.key());
		}
		else if (message instanceof Message.SegmentDone done) {
			this.homes.segmentDone(done.shard(), done.key(), done.segment());
		}
		else if (message instanceof Message.Release release) {
			this.homes.release(release.shard(), release.key(), release.failedEndpoint());
		}
		else if (message instanceof Message.Announce announce) {
			long shift = this.clock.nowMillis() - announce.sentMillis();
			List<Grant> grants = announce.grants().stream().map((grant) -> grant.shifted(shift)).toList();
			reply.accept(new Message.Announced(this.homes.announce(peer, announce.shard(), grants)));
		}
		else if (message instanceof Message.VersionAsk ask) {
			reply.accept(version(ask.publicationId()));
		}
		else if (message instanceof Message.TableFetch fetch && this.tables.containsKey(fetch.table())) {
			reply.accept(this.tables.get(fetch.table()).recordsSince(fetch.offset()));
		}
		else if (message instanceof Message.TableNotice notice && this.tables.containsKey(notice.table())) {
			this.tables.get(notice.table()).noticed(notice.end());
		}
		else if (message instanceof Message.ConfigurationFetch fetch) {
			reply.accept(new Message.ConfigurationContent(
					Documents.write(this.keeper.configuration().changesSince(fetch.offset()))));
		}
	}

	/**
	 * Lets peers ask for what the follower of a platform table has read.
	 * @param follower the follower
	 */
	public void share(TableFollower follower) {
		this.tables.put(follower.table(), follower);
	}

	private Message version(String publicationId) {
		return new Message.VersionGiven(this.keeper.configuration().offset(), this.keeper.configuration().digest(),
				this.keeper.state().isInForce(publicationId), this.grants.heldCount());
	}

	/**
	 * Takes over what the platform lists now, without waiting for the next period.
	 */
	public void refreshEndpoints() {
		this.directory.refresh().then(this.homes.poll()).subscribe();
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
	 * Returns the log.
	 * @return the log
	 */
	public LogPort log() {
		return this.ports.log();
	}

	/**
	 * Returns the follower of the configuration stream.
	 * @return the follower
	 */
	public LogFollower follower() {
		return this.follower;
	}

	/**
	 * Returns the keeper of the configuration.
	 * @return the keeper
	 */
	public ConfigurationKeeper keeper() {
		return this.keeper;
	}

	/**
	 * Returns the members that are known.
	 * @return the table
	 */
	public MembershipTable membership() {
		return this.membership;
	}

	/**
	 * Returns the entry instances of the whole system.
	 * @return the view
	 */
	public InstanceView instances() {
		return this.instances;
	}

	/**
	 * Returns the endpoints that are known.
	 * @return the directory
	 */
	public EndpointDirectory directory() {
		return this.directory;
	}

	/**
	 * Returns the own shards.
	 * @return the table
	 */
	public HomeTable homes() {
		return this.homes;
	}

	/**
	 * Returns the client of the homes.
	 * @return the client
	 */
	public GrantClient grants() {
		return this.grants;
	}

	/**
	 * Returns the gossip loop.
	 * @return the loop
	 */
	public Gossiper gossiper() {
		return this.gossiper;
	}

	/**
	 * Returns the crashes that are known.
	 * @return the register
	 */
	public CrashRegister crashes() {
		return this.crashes;
	}

	/**
	 * Returns the publisher of this instance's books.
	 * @return the publisher
	 */
	public UsagePublisher usage() {
		return this.usage;
	}

	/**
	 * Starts to publish the books.
	 */
	public void startUsage() {
		every(USAGE_TICK_MILLIS, this::publishUsage);
	}

	private void publishUsage() {
		if (this.usage.startIfDue(this.instances.all().size())) {
			this.homes.pollUsage(this.usage).then(this.usage.publish()).subscribe();
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
	 * @return the port
	 */
	public EndpointPort endpoints() {
		return this.ports.endpoints();
	}

	/**
	 * Returns the port to plain services.
	 * @return the port
	 */
	public ServicePort services() {
		return this.ports.services();
	}

	/**
	 * Returns the connections to peers.
	 * @return the network
	 */
	public PeerNetwork network() {
		return this.network;
	}

	@Override
	public void close() {
		this.follower.close();
		this.loops.shutdownNow();
		this.network.close();
		this.ports.close();
		this.tracing.close();
	}

}
