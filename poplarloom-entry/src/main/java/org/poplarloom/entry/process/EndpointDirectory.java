package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.port.InstanceListPort;
import org.poplarloom.port.InstanceListPort.Listed;
import org.poplarloom.port.ReportPort;

/**
 * The endpoints and services that the platform lists and their last reports.
 * <p>
 * If the list cannot be read, the last one stays in use. This class is thread-safe.
 */
public final class EndpointDirectory {

	private static final Logger logger = LoggerFactory.getLogger(EndpointDirectory.class);

	private static final int FAILURES_UNTIL_UNREACHABLE = 2;

	private final AvailabilityZone zone;

	private final Clock clock;

	private final InstanceListPort list;

	private final ReportPort endpoints;

	private final Map<EndpointId, EndpointReport> reports = new ConcurrentHashMap<>();

	private final Map<EndpointId, Integer> failures = new ConcurrentHashMap<>();

	private volatile List<Listed> listed = List.of();

	public EndpointDirectory(AvailabilityZone zone, InstanceListPort list, ReportPort endpoints, Clock clock) {
		this.zone = zone;
		this.clock = clock;
		this.list = list;
		this.endpoints = endpoints;
	}

	/**
	 * Reads the list again.
	 * @return completes when the list was read or could not be read
	 */
	public Mono<Void> refresh() {
		return Mono.from(this.list.list(this.zone)).doOnNext((next) -> this.listed = next).onErrorResume((failure) -> {
			logger.debug("instance list cannot be read: {}", failure.getMessage());
			return Mono.empty();
		}).then();
	}

	/**
	 * Returns all listed instances.
	 * @return the last list that was read
	 */
	public List<Listed> listed() {
		return this.listed;
	}

	/**
	 * Returns the processes of a plain service that are not about to stop.
	 * @param service the name of the service
	 * @return the processes in the order of the list
	 */
	public List<Listed> services(String service) {
		return this.listed.stream().filter((entry) -> entry.kind().equals(service) && !entry.isLeaving()).toList();
	}

	/**
	 * Returns the address of an endpoint.
	 * @param endpoint the endpoint
	 * @return the host and port, or null if it is not listed
	 */
	public String address(EndpointId endpoint) {
		return this.listed.stream()
			.filter((entry) -> entry.id().equals(endpoint.value()))
			.map(Listed::address)
			.findFirst()
			.orElse(null);
	}

	/**
	 * Returns the boot of an endpoint.
	 * @param endpoint the endpoint
	 * @return the boot in its last report, empty if there is none
	 */
	public String bootId(EndpointId endpoint) {
		EndpointReport report = this.reports.get(endpoint);
		return (report != null) ? report.bootId() : "";
	}

	/**
	 * Asks the endpoints of a shard for new reports.
	 * @param shard the shard
	 * @param shardsPerZone the number of shards in the zone
	 * @param isDue says which endpoints to ask; one without a report is always asked
	 * @return the reports of all endpoints of the shard that ever answered
	 */
	public Mono<List<EndpointReport>> poll(ShardId shard, int shardsPerZone, Predicate<EndpointId> isDue) {
		List<Listed> members = engines(shard.zone()).stream()
			.filter((entry) -> ShardId.of(shard.zone(), EndpointId.of(entry.id()), shardsPerZone).equals(shard))
			.toList();
		return Flux.fromIterable(members)
			.filter((entry) -> isDue.test(EndpointId.of(entry.id()))
					|| !this.reports.containsKey(EndpointId.of(entry.id())))
			.flatMap(this::poll)
			.then(Mono.fromSupplier(() -> collect(members)));
	}

	private List<Listed> engines(AvailabilityZone zone) {
		return this.listed.stream()
			.filter((entry) -> entry.kind().equals(Listed.ENGINE) && entry.zone().equals(zone.value()))
			.toList();
	}

	private Mono<EndpointReport> poll(Listed entry) {
		EndpointId endpoint = EndpointId.of(entry.id());
		long started = this.clock.nowMillis();
		return Mono.from(this.endpoints.report(entry.address())).doOnNext((report) -> {
			this.failures.remove(endpoint);
			this.reports.put(endpoint, (report.takenMillis() > 0) ? report : report.withTakenMillis(started));
		}).onErrorResume((failure) -> {
			this.failures.merge(endpoint, 1, Integer::sum);
			return Mono.empty();
		});
	}

	private List<EndpointReport> collect(List<Listed> members) {
		Map<EndpointId, EndpointReport> collected = new HashMap<>();
		for (Listed entry : members) {
			EndpointId endpoint = EndpointId.of(entry.id());
			EndpointReport report = this.reports.get(endpoint);
			if (report != null) {
				boolean isUnreachable = this.failures.getOrDefault(endpoint, 0) >= FAILURES_UNTIL_UNREACHABLE;
				boolean isLeaving = entry.isLeaving() || report.isLeaving() || isUnreachable;
				collected.put(endpoint, isLeaving ? report.withLeaving() : report);
			}
		}
		return new ArrayList<>(collected.values());
	}

}
