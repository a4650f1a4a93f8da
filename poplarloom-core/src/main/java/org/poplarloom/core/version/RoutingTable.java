package org.poplarloom.core.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.EngineModel;

/**
 * One version of the routes, services and teams.
 * <p>
 * Of the routes of a host, the longest prefix of a path wins. This class is immutable and
 * thread-safe.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, Route> routes = new HashMap<>();

	private final Map<String, Service> services = new HashMap<>();

	private final Map<String, Team> teamsByKey = new HashMap<>();

	private final boolean hasTeams;

	private final CallerLimits limits;

	private RoutingTable(long version, List<Route> routes, List<Service> services, List<Team> teams,
			CallerLimits limits) {
		this.version = version;
		this.limits = limits;
		this.hasTeams = !teams.isEmpty();
		routes.forEach((route) -> this.routes.put(place(route.host(), route.pathPrefix()), route));
		services.forEach((service) -> this.services.put(service.name(), service));
		teams.forEach((team) -> team.keys().forEach((key) -> this.teamsByKey.put(key, team)));
	}

	/**
	 * Returns a table.
	 * @param version the version, higher ones replace lower ones
	 * @param routes the routes
	 * @param services the services
	 * @param teams the teams; if there are none, no request needs a key
	 * @param limits what callers may send
	 * @return the table
	 */
	public static RoutingTable of(long version, List<Route> routes, List<Service> services, List<Team> teams,
			CallerLimits limits) {
		return new RoutingTable(version, routes, services, teams, limits);
	}

	private static String place(String host, String prefix) {
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
	 * Returns what callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Finds the route of a request.
	 * @param host the host that the caller named
	 * @param path the path without its query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			Route route = this.routes.get(place(host, path.substring(0, slash + 1)));
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
	 * Finds the team that holds a key.
	 * @param key the key
	 * @return the team, or empty if no team holds it
	 */
	public Optional<Team> team(String key) {
		return Optional.ofNullable(this.teamsByKey.get(key));
	}

	/**
	 * Says whether requests need a key.
	 * @return true if there are teams
	 */
	public boolean hasTeams() {
		return this.hasTeams;
	}

	/**
	 * A service with the workers behind it.
	 *
	 * @param name its name
	 * @param slots the requests that one engine runs together, 0 if it is no model
	 * @param kvTokens the KV cache of one engine in tokens, 0 if it is no model
	 * @param coldRequestsPerSecond the requests that a cold worker bears, 0 for no limit
	 * @param engine the speed of its engines, or null if it is no model
	 */
	public record Service(String name, int slots, long kvTokens, double coldRequestsPerSecond, EngineModel engine) {
	}

	/**
	 * A team and its keys.
	 *
	 * @param id the team
	 * @param keys its keys
	 * @param priority its rank, which goes before a route's, or {@link #NO_PRIORITY}
	 */
	public record Team(TeamId id, List<String> keys, int priority) {

		/** Says that the route's rank holds. */
		public static final int NO_PRIORITY = -1;

		public Team {
			keys = List.copyOf(keys);
		}

	}

	/**
	 * What callers may send and how long they may take.
	 *
	 * @param headerBytes the most bytes of a request's headers
	 * @param bodyBytes the most bytes of a request's body
	 * @param headerTimeoutMillis the longest time for a request's headers
	 * @param idleTimeoutMillis the longest time without a request on a connection
	 */
	public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

		/** The limits while no configuration is known. */
		public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

	}

}
