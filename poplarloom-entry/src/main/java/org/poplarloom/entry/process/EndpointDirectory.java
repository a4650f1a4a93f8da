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
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.ReportPort;

/**
 * The instances, endpoints and services that the platform lists, and the last reports of
 * the endpoints.
 * <p>
 * If the list cannot be read, the last one stays in use. This class is thread-safe.
 */
public final class EndpointDirectory {

	private static final Logger logger = LoggerFactory.getLogger(EndpointDirectory.class);

	private static final int FAILURES_UNTIL_UNREACHABLE = 2;

	private final AvailabilityZone zone;

	private final Clock clock;

	private final InstanceListPort list;

	private final ReportPort reportPort;

	private final Map<EndpointId, EndpointReport> reports = new ConcurrentHashMap<>();

	private final Map<EndpointId, Integer> consecutiveFailures = new ConcurrentHashMap<>();

	private volatile List<ListedInstance> listed = List.of();

	public EndpointDirectory(AvailabilityZone zone, InstanceListPort list, ReportPort reportPort, Clock clock) {
		this.zone = zone;
		this.clock = clock;
		this.list = list;
		this.reportPort = reportPort;
	}

	/**
	 * Reads the list again.
	 * @return completes when the list has been read or the read has failed
	 */
	public Mono<Void> refresh() {
		return Mono.from(this.list.list(this.zone)).doOnNext((next) -> this.listed = next).onErrorResume((failure) -> {
			logger.debug("cannot read the instance list: {}", failure.getMessage());
			return Mono.empty();
		}).then();
	}

	/**
	 * Returns all listed instances.
	 * @return the last list that was read
	 */
	public List<ListedInstance> listed() {
		return this.listed;
	}

	/**
	 * Returns the processes of a plain service that are not draining.
	 * @param service the name of the service
	 * @return the processes in the order of the list
	 */
	public List<ListedInstance> services(String service) {
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
			.map(ListedInstance::address)
			.findFirst()
			.orElse(null);
	}

	/**
	 * Returns the boot ID of an endpoint, which changes with every start.
	 * @param endpoint the endpoint
	 * @return the boot ID in its last report, empty if there is no report
	 */
	public String bootId(EndpointId endpoint) {
		EndpointReport report = this.reports.get(endpoint);
		return (report != null) ? report.bootId() : "";
	}

	/**
	 * Polls the endpoints of a shard for new reports.
	 * @param shard the shard
	 * @param shardsPerZone the number of shards in the zone
	 * @param isDue selects the endpoints to poll; one without a report is always polled
	 * @return the last report of each endpoint of the shard that has answered at least
	 * once; one that could not be reached twice in a row is reported as draining
	 */
	public Mono<List<EndpointReport>> poll(ShardId shard, int shardsPerZone, Predicate<EndpointId> isDue) {
		List<ListedInstance> members = engines(shard.zone()).stream()
			.filter((entry) -> ShardId.of(shard.zone(), EndpointId.of(entry.id()), shardsPerZone).equals(shard))
			.toList();
		return Mono.defer(() -> {
			List<ListedInstance> due = due(members, isDue);
			return due.isEmpty() ? Mono.just(lastReports(members))
					: Flux.fromIterable(due).flatMap(this::poll).then(Mono.fromSupplier(() -> lastReports(members)));
		});
	}

	private List<ListedInstance> due(List<ListedInstance> members, Predicate<EndpointId> isDue) {
		List<ListedInstance> due = new ArrayList<>();
		for (ListedInstance entry : members) {
			EndpointId endpoint = EndpointId.of(entry.id());
			if (isDue.test(endpoint) || !this.reports.containsKey(endpoint)) {
				due.add(entry);
			}
		}
		return due;
	}

	private List<ListedInstance> engines(AvailabilityZone zone) {
		return this.listed.stream()
			.filter((entry) -> entry.kind().equals(ListedInstance.ENGINE) && entry.zone().equals(zone.value()))
			.toList();
	}

	private Mono<EndpointReport> poll(ListedInstance entry) {
		EndpointId endpoint = EndpointId.of(entry.id());
		long pollMillis = this.clock.nowMillis();
		return Mono.from(this.reportPort.report(entry.address())).doOnNext((report) -> {
			this.consecutiveFailures.remove(endpoint);
			this.reports.put(endpoint,
					(report.requestedMillis() > 0) ? report : report.withRequestedMillis(pollMillis));
		}).onErrorResume((failure) -> {
			this.consecutiveFailures.merge(endpoint, 1, Integer::sum);
			return Mono.empty();
		});
	}

	private List<EndpointReport> lastReports(List<ListedInstance> members) {
		Map<EndpointId, EndpointReport> found = new HashMap<>();
		for (ListedInstance entry : members) {
			EndpointId endpoint = EndpointId.of(entry.id());
			EndpointReport report = this.reports.get(endpoint);
			if (report != null) {
				boolean isUnreachable = this.consecutiveFailures.getOrDefault(endpoint,
						0) >= FAILURES_UNTIL_UNREACHABLE;
				boolean isDraining = entry.isLeaving() || report.isDraining() || isUnreachable;
				found.put(endpoint, isDraining ? report.withDraining() : report);
			}
		}
		return new ArrayList<>(found.values());
	}

}
