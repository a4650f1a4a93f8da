package org.poplarloom.entry.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.micronaut.context.ApplicationContext;
import io.micronaut.http.server.netty.NettyEmbeddedServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Hooks;

import org.poplarloom.core.process.AdaptivePlacement;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.request.BodyBudget;
import org.poplarloom.entry.request.ChatService;
import org.poplarloom.entry.request.EntryMetrics;
import org.poplarloom.entry.request.OrderService;
import org.poplarloom.entry.request.PlannedStop;
import org.poplarloom.entry.request.TeamLimits;
import org.poplarloom.entry.version.ConfigurationMaintainer;
import org.poplarloom.entry.version.ConfigurationPublisher;

/**
 * One running instance: the node and its HTTP server.
 * <p>
 * A graceful stop cuts off no admitted request before the drain time ends, and answers
 * each one. This class is thread-safe.
 */
public final class Daemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Daemon.class);

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final String IDLE_TIMEOUT = "15m";

	private static final long LIMITS_PERIOD_MILLIS = 500;

	private static final long MAINTENANCE_PERIOD_MILLIS = 2_000;

	/**
	 * How long new requests are still admitted after the instance reports that it is not
	 * ready: the load balancer notices that within this time.
	 */
	private static final long ADMISSION_MILLIS = 1_500;

	/** Time for the last answers to be written at the end of the drain time. */
	private static final long LAST_ANSWERS_MILLIS = 200;

	private final Settings settings;

	private final Node node;

	private final PlannedStop plannedStop = new PlannedStop();

	private ApplicationContext context;

	private NettyEmbeddedServer server;

	private volatile boolean stopping;

	private Daemon(Settings settings) {
		this.settings = settings;
		this.node = new Node(settings, Ports.overHttp(settings), AdaptivePlacement::new,
				NodeRuntime.dedicated(settings));
	}

	/**
	 * Starts a daemon.
	 * @param settings the settings
	 * @return the daemon, which is listening for callers
	 */
	public static Daemon start(Settings settings) {
		return start(settings, (daemon) -> {
		});
	}

	/**
	 * Starts a daemon.
	 * @param settings the settings
	 * @param beforeListening is called with the daemon before callers can reach it; the
	 * daemon can be stopped from then on
	 * @return the daemon, which is listening for callers
	 */
	public static Daemon start(Settings settings, Consumer<Daemon> beforeListening) {
		Daemon daemon = new Daemon(settings);
		daemon.start(beforeListening);
		return daemon;
	}

	private void start(Consumer<Daemon> beforeListening) {
		Hooks.onErrorDropped((failure) -> logger.debug("failure after the end of a request: {}", failure.toString()));
		this.node.start();
		this.node.takeOverAfterDiscovery();
		this.node.configurationFollower().start();
		this.node.startUsagePublishing();
		EntryMetrics metrics = new EntryMetrics();
		metrics.registerGauges(this.node);
		BodyBudget budget = new BodyBudget(this.settings.bodyBudgetBytes());
		TeamLimits limits = new TeamLimits(this.node);
		this.node.runPeriodically(LIMITS_PERIOD_MILLIS, limits::updateShare);
		ConfigurationPublisher publisher = new ConfigurationPublisher(this.node.log(), this.node.activeConfiguration());
		ConfigurationMaintainer maintainer = new ConfigurationMaintainer(this.node.log(),
				this.node.activeConfiguration(), this.node.configurationFollower(), publisher, this.settings.instance(),
				() -> this.node.instances().ids());
		this.node.runPeriodically(MAINTENANCE_PERIOD_MILLIS, () -> maintainer.tick(this.node.clock().nowMillis()));
		Map<String, Object> properties = new HashMap<>();
		properties.put("micronaut.server.host", this.settings.host());
		properties.put("micronaut.server.port", (this.settings.httpPort() == 0) ? -1 : this.settings.httpPort());
		properties.put("micronaut.server.max-request-size", MAX_BODY_BYTES);
		properties.put("micronaut.server.idle-timeout", IDLE_TIMEOUT);
		properties.put("micronaut.http.client.read-timeout", "60s");
		this.context = ApplicationContext.builder()
			.properties(properties)
			.singletons(this, this.node, metrics, limits,
					new ChatService(this.node, limits, metrics, budget, this.plannedStop), publisher, budget,
					new OrderService(this.node, new ClaimLog(this.node.log()), limits, this.plannedStop))
			.banner(false)
			.start();
		this.server = this.context.getBean(NettyEmbeddedServer.class);
		beforeListening.accept(this);
		this.server.start();
		logger.info("instance {} in zone {} serves callers at {}", this.settings.instance(), this.settings.zone(),
				url());
	}

	/**
	 * Returns the URL for callers.
	 * @return the URL without a trailing slash
	 */
	public String url() {
		return "http://" + this.settings.host() + ":" + this.server.getPort();
	}

	/**
	 * Returns the address for peers.
	 * @return the host and port
	 */
	public String peerAddress() {
		return this.node.membership().self().address();
	}

	/**
	 * Returns the node.
	 * @return the node
	 */
	public Node node() {
		return this.node;
	}

	/**
	 * Returns why callers should not be routed to this instance.
	 * @return the reason, empty if the instance is ready
	 */
	public String notReadyReason() {
		if (this.stopping) {
			return "shutting down";
		}
		return this.node.activeConfiguration().isLoaded() ? "" : "no configuration has been learnt";
	}

	/**
	 * Drains the instance and stops it once all answers in progress are written or the
	 * drain time is over.
	 * <p>
	 * New requests are admitted for 1.5 s, unless the drain time is shorter; those that
	 * no endpoint or service has received by then are refused. Each request that was read
	 * gets an answer: what still runs at the end of the drain time gets an error.
	 */
	public void stopGracefully() {
		this.stopping = true;
		long admissionMillis = Math.min(ADMISSION_MILLIS, this.settings.drainMillis());
		announceStop();
		pause(admissionMillis);
		this.plannedStop.endAdmission();
		Future<?> answersWritten = this.server.shutdownGracefully().toCompletableFuture();
		if (!await(answersWritten, this.settings.drainMillis() - admissionMillis)) {
			logger.warn("instance {} ends the requests that are in progress after {} ms", this.settings.instance(),
					this.settings.drainMillis());
			this.plannedStop.endRequests();
			await(answersWritten, LAST_ANSWERS_MILLIS);
		}
		close();
	}

	// The process ends with its shutdown hook, so a failure must not end the drain.
	private void announceStop() {
		try {
			this.node.announceStop();
		}
		catch (RuntimeException | Error ex) {
			logger.error("event=stop_step_failed step=announce", ex);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static boolean await(Future<?> answersWritten, long timeoutMillis) {
		try {
			answersWritten.get(timeoutMillis, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (TimeoutException ex) {
			return false;
		}
		catch (ExecutionException ex) {
			logger.warn("callers' connections could not be closed: {}", String.valueOf(ex.getCause()));
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	@Override
	public void close() {
		this.stopping = true;
		if (this.context != null) {
			this.context.close();
		}
		this.node.close();
	}

}
