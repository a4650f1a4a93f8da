package org.poplarloom.core.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.EngineModel;

/**
 * One version of the routing configuration: routes, services, teams and caller limits.
 * <p>
 * Among the routes of a host, the one with the longest matching path prefix applies. This
 * class is immutable and thread-safe.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, Route> routes = new HashMap<>();

	private final Map<String, Service> services = new HashMap<>();

	private final Map<String, Team> teamsByKey = new HashMap<>();

	private final boolean needsKeys;

	private final CallerLimits limits;

	private RoutingTable(long version, List<Route> routes, List<Service> services, List<Team> teams, boolean needsKeys,
			CallerLimits limits) {
		this.version = version;
		this.limits = limits;
		this.needsKeys = needsKeys;
		routes.forEach((route) -> this.routes.put(routeKey(route.host(), route.pathPrefix()), route));
		services.forEach((service) -> this.services.put(service.name(), service));
		teams.forEach((team) -> team.keys().forEach((key) -> this.teamsByKey.put(key, team)));
	}

	/**
	 * Returns a routing table with teams, so that requests need a key.
	 * @param version the version, higher ones replace lower ones
	 * @param routes the routes
	 * @param services the services
	 * @param teams the teams; if there are none, no key is valid
	 * @param limits the limits on requests of callers
	 * @return the table
	 */
	public static RoutingTable withTeams(long version, List<Route> routes, List<Service> services, List<Team> teams,
			CallerLimits limits) {
		return new RoutingTable(version, routes, services, teams, true, limits);
	}

	/**
	 * Returns a routing table without teams, so that no request needs a key.
	 * @param version the version, higher ones replace lower ones
	 * @param routes the routes
	 * @param services the services
	 * @param limits the limits on requests of callers
	 * @return the table
	 */
	public static RoutingTable withoutTeams(long version, List<Route> routes, List<Service> services,
			CallerLimits limits) {
		return new RoutingTable(version, routes, services, List.of(), false, limits);
	}

	private static String routeKey(String host, String prefix) {
		return host + prefix;
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on requests of callers.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Finds the route of a request.
	 * @param host the host name in the request
	 * @param path the path without its query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = this.routes.get(routeKey(host, path.substring(0, slash + 1)));
			if (route != null) {
				return Optional.of(route);
			}
			if (slash == 0) {
				break;
			}
		}
		return Optional.empty();
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service, or empty if it is not configured
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the team that a key belongs to.
	 * @param key the key
	 * @return the team, or empty if it belongs to no team
	 */
	public Optional<Team> team(String key) {
		return Optional.ofNullable(this.teamsByKey.get(key));
	}

	/**
	 * Returns whether requests need a key.
	 * @return true if the configuration contains a list of teams, also an empty one
	 */
	public boolean needsKeys() {
		return this.needsKeys;
	}

	/**
	 * A service that requests are routed to: a model service or a plain service.
	 *
	 * @param name its name
	 * @param slots the number of requests that one engine runs concurrently, 0 if the
	 * service is not a model
	 * @param kvTokens the KV cache of one engine in tokens, 0 if the service is not a
	 * model
	 * @param coldRequestsPerSecond the request rate that a newly started worker can
	 * sustain, 0 for no limit
	 * @param engine the performance model of its engines, or null if the service is not a
	 * model
	 */
	public record Service(String name, int slots, long kvTokens, double coldRequestsPerSecond, EngineModel engine) {
	}

	/**
	 * A team and its keys.
	 *
	 * @param name its name as the operator writes it
	 * @param keys its keys
	 * @param priority its priority, which overrides the route's, or {@link #NO_PRIORITY}
	 */
	public record Team(String name, List<String> keys, int priority) {

		/** The team has no priority of its own, so that the route's priority applies. */
		public static final int NO_PRIORITY = -1;

		public Team {
			keys = List.copyOf(keys);
		}

		/**
		 * Returns the identifier of the team within the system.
		 * @return the identifier, which follows from the name
		 */
		public TeamId id() {
			return TeamId.ofName(this.name);
		}

	}

	/**
	 * The limits on requests of callers.
	 *
	 * @param headerBytes the maximum size of a request's headers in bytes
	 * @param bodyBytes the maximum size of a request's body in bytes
	 * @param headerTimeoutMillis the maximum time to receive a request's headers, in
	 * milliseconds
	 * @param idleTimeoutMillis the maximum time without a request on a connection, in
	 * milliseconds
	 */
	public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

		/** The limits that apply until a configuration is known. */
		public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

	}

}
