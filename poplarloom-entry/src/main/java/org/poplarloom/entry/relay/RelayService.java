package org.poplarloom.entry.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.MemoryBudget;
import org.poplarloom.core.process.RetryBudget;
import org.poplarloom.core.version.Route;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.entry.process.CrashInvestigation;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.process.PublishedEntries;
import org.poplarloom.entry.request.PlannedStop;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.EndpointNotice;
import org.poplarloom.port.relay.EndpointProtocol;
import org.poplarloom.port.relay.RelayRequest;

/**
 * Admits callers' requests and relays them to the endpoints that homes grant.
 * <p>
 * A home is the instance that grants the endpoints of one shard. Every request that is
 * started ends exactly once, at its timeout at the latest. This class is not thread-safe;
 * the event loop guards it.
 */
public final class RelayService {

	private static final Logger logger = LoggerFactory.getLogger(RelayService.class);

	private static final double PERCENT = 100;

	private final Node node;

	private final ActiveRouting routing;

	private final PublishedEntries entries;

	private final HttpExchanger exchanger;

	private final EndpointProtocol protocol;

	private final EventLoop loop;

	private final MemoryBudget memory;

	private final AnswerBuffers answerBuffers;

	private final IncomingBodies incomingBodies;

	private final RetryLimit retryLimit;

	private final RelayMetrics metrics = new RelayMetrics();

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	private final Set<RelayRun> runs = new HashSet<>();

	private final EarlyRequests earlyRequests;

	private final EndpointLink link;

	private final Forwarding forwarding;

	private boolean admitting = true;

	/**
	 * Creates a service that admits requests.
	 * @param node the instance
	 * @param routing the routing table in force
	 * @param entries the endpoints that are known
	 * @param exchanger the HTTP client for endpoints
	 * @param protocol the wire format of endpoints
	 * @param loop the event loop
	 * @param memory limits the memory that requests and answers hold
	 * @param answerBuffers the buffers of answers whose callers read slowly
	 * @param incomingBodies the bodies that callers are sending
	 * @param retryLimit the retries that a service bears
	 */
	public RelayService(Node node, ActiveRouting routing, PublishedEntries entries, HttpExchanger exchanger,
			EndpointProtocol protocol, EventLoop loop, MemoryBudget memory, AnswerBuffers answerBuffers,
			IncomingBodies incomingBodies, RetryLimit retryLimit) {
		this.node = node;
		this.routing = routing;
		this.entries = entries;
		this.exchanger = exchanger;
		this.protocol = protocol;
		this.loop = loop;
		this.memory = memory;
		this.answerBuffers = answerBuffers;
		this.incomingBodies = incomingBodies;
		this.retryLimit = retryLimit;
		this.earlyRequests = new EarlyRequests(loop, System.nanoTime());
		this.forwarding = new Forwarding(node);
		this.link = new EndpointLink(node.settings().zone(), entries::serving, new EndpointProber(), loop,
				this::nowMillis, this::handleLostLink);
	}

	/**
	 * Starts to relay a request, or refuses it. Before the first configuration is known,
	 * it may have to wait for that.
	 * @param request the request
	 * @param reply sends the response to the caller
	 * @return the run, or null if the request was refused
	 */
	RelayRun start(RelayRequest request, CallerReply reply) {
		RelayRun run = new RelayRun(this, request, reply, null);
		if (this.routing.table().isEmpty() && this.admitting && this.earlyRequests.mayWait()) {
			this.runs.add(run);
			this.earlyRequests.add(() -> startWaiting(run, request, reply));
			return run;
		}
		return start(run, request, reply) ? run : null;
	}

	/**
	 * Starts to relay a request that another instance has forwarded, or refuses it.
	 * @param request the request
	 * @param reply sends the response to that instance
	 * @param origin what the instance has said
	 * @return the run, or null if the request was refused
	 */
	RelayRun startForwarded(RelayRequest request, CallerReply reply, ForwardedOrigin origin) {
		RelayRun run = new RelayRun(this, request, reply, origin);
		return start(run, request, reply) ? run : null;
	}

	// The caller may have left, or the instance may have begun to stop.
	private void startWaiting(RelayRun run, RelayRequest request, CallerReply reply) {
		if (!run.isEnded()) {
			start(run, request, reply);
		}
	}

	/**
	 * Starts the requests that have waited for the first configuration.
	 */
	public void startEarlyRequests() {
		this.earlyRequests.resumeAll();
	}

	private boolean start(RelayRun run, RelayRequest request, CallerReply reply) {
		try {
			requireAdmitting();
			RoutingTable table = this.routing.table()
				.orElseThrow(() -> new PoplarloomException(ErrorCode.NOT_READY, "no configuration has been learnt"));
			Route route = table.route(request.host(), request.path())
				.orElseThrow(() -> new PoplarloomException(ErrorCode.NOT_FOUND,
						"no route for '" + request.host() + request.path() + "'"));
			Optional<RoutingTable.Team> team = team(table, route, request);
			if (route.isStream()) {
				reply.requireRoom();
			}
			requireHarmless(run);
			this.runs.add(run);
			run.start(table, route, team.orElse(null));
			return true;
		}
		catch (PoplarloomException ex) {
			run.refuse(ex);
			return false;
		}
	}

	private void requireAdmitting() {
		if (!this.admitting) {
			throw PlannedStop.refusal();
		}
	}

	/**
	 * Refuses all new requests and those that no endpoint has received yet, which another
	 * instance can serve in time; the others continue.
	 */
	public void stopAdmitting() {
		this.admitting = false;
		forEachRun(RelayRun::refuseIfWaiting);
	}

	boolean isAdmitting() {
		return this.admitting;
	}

	/**
	 * Ends all requests in progress, since the process ends. Each one gets an answer,
	 * except that a stream is broken off.
	 */
	public void endRequests() {
		stopAdmitting();
		forEachRun(RelayRun::endAtShutdown);
	}

	// A request that fails must not keep the others from their answers.
	private void forEachRun(Consumer<RelayRun> action) {
		for (RelayRun run : List.copyOf(this.runs)) {
			try {
				action.accept(run);
			}
			catch (RuntimeException | Error ex) {
				logger.error("request={} event=step_failed", run.request().id(), ex);
			}
		}
	}

	// What was open before may stay silent when the link is back.
	private void handleLostLink() {
		this.entries.serving().forEach((entry) -> this.exchanger.closeIdle(entry.address()));
		forEachRun(RelayRun::handleLostLink);
	}

	/**
	 * Returns whether this instance can reach the endpoints.
	 * @return the link to the endpoints
	 */
	EndpointLink link() {
		return this.link;
	}

	/**
	 * Returns whether no endpoint can be reached.
	 * @return true if requests go through other instances
	 */
	public boolean isLinkLost() {
		return this.link.isLost();
	}

	/**
	 * Returns how many requests were forwarded to other instances.
	 * @return the count since the start
	 */
	public long forwardedCount() {
		return this.forwarding.count();
	}

	Forwarding forwarding() {
		return this.forwarding;
	}

	long routingVersion() {
		return this.routing.version();
	}

	void remove(RelayRun ended) {
		this.runs.remove(ended);
	}

	private static Optional<RoutingTable.Team> team(RoutingTable table, Route route, RelayRequest request) {
		Optional<RoutingTable.Team> team = table.team(request.apiKey());
		if (team.isEmpty() && table.needsKeys() && !route.isPublic()) {
			throw new PoplarloomException(ErrorCode.UNAUTHORIZED, "the key belongs to no team");
		}
		return team;
	}

	/**
	 * Refuses a request that crashes endpoints or contains a part that does.
	 * @param run the request's run
	 */
	void requireHarmless(RelayRun run) {
		for (String cause : run.possibleCrashCauses()) {
			long remainingMillis = crashInvestigation().remainingMillis(cause);
			if (remainingMillis > 0) {
				throw new PoplarloomException(ErrorCode.NO_ENDPOINT, Executed.NO, cause + " crashes endpoints",
						remainingMillis);
			}
		}
	}

	/**
	 * Returns the metrics of relayed requests.
	 * @return the metrics
	 */
	public RelayMetrics metrics() {
		return this.metrics;
	}

	long nowMillis() {
		return this.node.clock().nowMillis();
	}

	Node node() {
		return this.node;
	}

	/**
	 * Records what a response says about its endpoint. The home of a leaving endpoint is
	 * told, so that it grants it to nobody.
	 * @param notice what the response says
	 * @param endpoint the endpoint that sent it
	 * @param endpoints the endpoints of the attempt
	 */
	void recordNotice(EndpointNotice notice, AttemptEndpoints.AssignedEndpoint endpoint, AttemptEndpoints endpoints) {
		if (notice.backOffMillis() > 0) {
			this.entries.notices()
				.recordBackOff(endpoint.endpoint(), endpoint.bootId(), notice.backOffMillis(), nowMillis());
			this.metrics.recordBackOff();
			logger.info("endpoint={} event=back_off lifetime={} for_ms={}", endpoint.endpoint(), endpoint.bootId(),
					notice.backOffMillis());
		}
		if (notice.isLeaving() && recordLeaving(endpoint.endpoint(), endpoint.bootId())) {
			endpoints.reportLeaving(endpoint);
		}
	}

	/**
	 * Records that an endpoint has said that it leaves.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of its process
	 * @return whether that was not known
	 */
	public boolean recordLeaving(EndpointId endpoint, String bootId) {
		boolean isNew = this.entries.notices().recordLeaving(endpoint, bootId, nowMillis());
		if (isNew) {
			this.metrics.recordLeaving();
			logger.info("endpoint={} event=said_leaving lifetime={}", endpoint, bootId);
			this.node.refreshEndpoints();
		}
		return isNew;
	}

	CrashInvestigation crashInvestigation() {
		return this.node.crashInvestigation();
	}

	PublishedEntries entries() {
		return this.entries;
	}

	MemoryBudget memory() {
		return this.memory;
	}

	AnswerBuffers answerBuffers() {
		return this.answerBuffers;
	}

	IncomingBodies incomingBodies() {
		return this.incomingBodies;
	}

	HttpExchanger exchanger() {
		return this.exchanger;
	}

	EndpointProtocol protocol() {
		return this.protocol;
	}

	EventLoop loop() {
		return this.loop;
	}

	void earnRetry(String service) {
		retryBudget(service).earn(this.retryLimit.ratio() * PERCENT);
	}

	boolean trySpendRetry(String service) {
		return retryBudget(service).trySpend();
	}

	private RetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service,
				(name) -> RetryBudget.shared(this.retryLimit.reserve(), this.entries::instanceCount));
	}

	/**
	 * Finds out whether endpoints can be reached. It is not thread-safe; the event loop
	 * guards it.
	 */
	private final class EndpointProber implements EndpointLink.Prober {

		@Override
		public void open(String address, Consumer<Boolean> onResult) {
			RelayService.this.exchanger.open(address, onResult);
		}

		@Override
		public void askForStatus(String address, Consumer<Boolean> onResult) {
			EndpointCommand.askForStatus(RelayService.this, address, onResult);
		}

	}

	/**
	 * The retries that a service bears from all instances together.
	 *
	 * @param ratio the retries per request
	 * @param reserve the retries beyond that in the window in which they are counted
	 */
	public record RetryLimit(double ratio, double reserve) {
	}

}
