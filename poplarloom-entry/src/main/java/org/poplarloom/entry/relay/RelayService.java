package org.poplarloom.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.EventLoop;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.CrashRegister;
import org.poplarloom.core.process.RetryBudget;
import org.poplarloom.core.version.Route;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.process.PublishedEntries;
import org.poplarloom.entry.version.RoutingKeeper;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.EndpointProtocol;
import org.poplarloom.port.relay.RelayRequest;

/**
 * Admits requests and runs them on the endpoints that homes grant.
 * <p>
 * Every request that is started ends once, by its time-out at the latest. This class is
 * not thread-safe; the event loop guards it.
 */
public final class RelayService {

	private static final double PERCENT = 100;

	/** A new connection reaches another instance, which can take the request at once. */
	private static final long RETRY_ELSEWHERE_MILLIS = 50;

	private final Node node;

	private final RoutingKeeper routing;

	private final PublishedEntries entries;

	private final HttpExchanger exchanger;

	private final EndpointProtocol protocol;

	private final EventLoop loop;

	private final double retryPercent;

	private final RelayMetrics metrics = new RelayMetrics();

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private boolean admitting = true;

	/**
	 * Creates a service.
	 * @param node the instance
	 * @param routing the routes
	 * @param entries the endpoints
	 * @param exchanger the client for endpoints
	 * @param protocol how endpoints are called
	 * @param loop the event loop
	 * @param retryRatio the repetitions per request that a service may get
	 */
	public RelayService(Node node, RoutingKeeper routing, PublishedEntries entries, HttpExchanger exchanger,
			EndpointProtocol protocol, EventLoop loop, double retryRatio) {
		this.node = node;
		this.routing = routing;
		this.entries = entries;
		this.exchanger = exchanger;
		this.protocol = protocol;
		this.loop = loop;
		this.retryPercent = retryRatio * PERCENT;
	}

	/**
	 * Starts a request.
	 * @param request the request
	 * @param reply the way back to the caller
	 * @return the run, or null if the request was refused at once
	 */
	RelayRun start(RelayRequest request, CallerReply reply) {
		RelayRun run = new RelayRun(this, request, reply);
		try {
			requireAdmitting();
			RoutingTable table = this.routing.table()
				.orElseThrow(() -> new PoplarloomException(ErrorCode.NOT_READY, "no configuration has been learnt"));
			Route route = table.route(request.host(), request.path())
				.orElseThrow(() -> new PoplarloomException(ErrorCode.NOT_FOUND,
						"no route for '" + request.host() + request.path() + "'"));
			Optional<RoutingTable.Team> team = team(table, route, request);
			requireHarmless(run);
			run.start(table, route, team.orElse(null));
			return run;
		}
		catch (PoplarloomException ex) {
			run.refuse(ex);
			return null;
		}
	}

	private void requireAdmitting() {
		if (!this.admitting) {
			throw new PoplarloomException(ErrorCode.SHUTTING_DOWN, Executed.NO, "the instance is about to stop",
					RETRY_ELSEWHERE_MILLIS);
		}
	}

	/**
	 * Refuses all requests from now on; those in progress go on.
	 */
	public void stopAdmitting() {
		this.admitting = false;
	}

	private static Optional<RoutingTable.Team> team(RoutingTable table, Route route, RelayRequest request) {
		Optional<RoutingTable.Team> team = table.team(request.apiKey());
		if (team.isEmpty() && table.hasTeams() && !route.isPublic()) {
			throw new PoplarloomException(ErrorCode.UNAUTHORIZED, "the key belongs to no team");
		}
		return team;
	}

	private void requireHarmless(RelayRun run) {
		if (this.node.crashes().standing(run.fingerprint(), nowMillis()) == CrashRegister.Standing.QUARANTINED) {
			throw new PoplarloomException(ErrorCode.NO_ENDPOINT, "the request has crashed endpoints");
		}
	}

	/**
	 * Returns the counts and times of requests.
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

	PublishedEntries entries() {
		return this.entries;
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
		budget(service).earn(this.retryPercent);
	}

	boolean trySpendRetry(String service) {
		return budget(service).trySpend();
	}

	private RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new RetryBudget());
	}

	/**
	 * Notes that an endpoint was lost while it ran a request.
	 * @param fingerprint what the request's repetitions have in common
	 * @param endpoint the endpoint
	 * @param lifetime the start of the endpoint
	 */
	void noteCrash(String fingerprint, EndpointId endpoint, String lifetime) {
		this.node.crashes().note(fingerprint, endpoint, lifetime, nowMillis());
		this.node.gossiper().spreadConfirmed().subscribe();
	}

}
