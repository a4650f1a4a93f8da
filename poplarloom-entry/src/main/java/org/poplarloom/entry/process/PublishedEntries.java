package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.reactivestreams.Publisher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.HostPort;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.Quotes;
import org.poplarloom.core.process.EndpointNotices;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.port.EndpointEntry;
import org.poplarloom.port.InstanceListPort;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.port.ReportPort;

/**
 * The entries that endpoints and entry instances have published about themselves on the
 * platform.
 * <p>
 * An endpoint's entry serves as its load report, so the endpoint need not be polled; it
 * is published again only when more than a counter has changed. This class is
 * thread-safe.
 */
public final class PublishedEntries implements InstanceListPort, ReportPort {

	private static final Logger logger = LoggerFactory.getLogger(PublishedEntries.class);

	/**
	 * After an outage of the store, live endpoints whose entries lapsed during it have
	 * published them again within this time.
	 */
	private static final long LAPSE_GRACE_MILLIS = 2_200;

	/** Uptime reported for an endpoint that is no longer cold. */
	private static final long WARM_UPTIME_MILLIS = 3_600_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * More entries at once are logged as one line, as each instance reads all of them.
	 */
	private static final int MAX_LOGGED_ENTRIES = 12;

	/** Longer than any home grants an endpoint whose removal it has not read. */
	private static final long REMOVAL_MEMORY_MILLIS = 600_000;

	private final ActiveRouting routing;

	private final Clock clock;

	private final Map<String, ReceivedEntry> endpoints = new ConcurrentHashMap<>();

	private final Map<String, ListedInstance> instances = new ConcurrentHashMap<>();

	private final Map<String, Long> removedMillis = new ConcurrentHashMap<>();

	private final EndpointNotices notices = new EndpointNotices();

	public PublishedEntries(ActiveRouting routing, Clock clock) {
		this.routing = routing;
		this.clock = clock;
	}

	/**
	 * Replaces the entries of endpoints.
	 * @param published the entries
	 * @return whether an endpoint is new, has restarted, has another address, has become
	 * cold, or has started or stopped draining
	 */
	public boolean update(List<EndpointEntry> published) {
		List<EndpointEntry> changed = new ArrayList<>();
		for (EndpointEntry entry : published) {
			if (isChangedBy(entry)) {
				changed.add(entry);
			}
			this.endpoints.put(entry.endpoint().value(), new ReceivedEntry(entry, this.clock.nowMillis()));
			this.notices.forgetOtherLifetimes(entry.endpoint(), String.valueOf(entry.lifetime()));
			this.removedMillis.remove(entry.endpoint().value());
		}
		if (changed.size() > MAX_LOGGED_ENTRIES) {
			logger.info("event=endpoints_listed changed={} known={}", changed.size(), this.endpoints.size());
		}
		else {
			changed.forEach(this::log);
		}
		return !changed.isEmpty();
	}

	private boolean isChangedBy(EndpointEntry entry) {
		ReceivedEntry known = this.endpoints.get(entry.endpoint().value());
		return known == null || known.entry.isDraining() != entry.isDraining()
				|| known.entry.lifetime() != entry.lifetime() || !known.entry.address().equals(entry.address())
				|| (known.entry.coldMillis() == 0 && entry.coldMillis() > 0);
	}

	private void log(EndpointEntry entry) {
		logger.info("endpoint={} event={} service={} service_known={} zone={} address={} lifetime={} sequence={}",
				entry.endpoint(), entry.isDraining() ? "leaving" : "listed", entry.service(), isServiceKnown(entry),
				entry.zone(), entry.address(), entry.lifetime(), entry.sequence());
	}

	/**
	 * Removes an endpoint unless it published its entry again after the removal.
	 * @param id the endpoint
	 * @param removedMillis when the removal of its entry, or one that cannot be used, was
	 * read, in milliseconds since the epoch
	 * @return whether it was known and is removed now
	 */
	public boolean remove(String id, long removedMillis) {
		ReceivedEntry current = this.endpoints.get(id);
		boolean isRemoved = current != null && current.receivedMillis <= removedMillis
				&& this.endpoints.remove(id, current);
		if (isRemoved) {
			long now = this.clock.nowMillis();
			this.removedMillis.values().removeIf((removal) -> removal + REMOVAL_MEMORY_MILLIS < now);
			this.removedMillis.put(id, now);
			logger.info("endpoint={} event=gone silent_ms={}", id, this.clock.nowMillis() - current.receivedMillis);
		}
		return isRemoved;
	}

	/**
	 * Returns how long to wait before an endpoint whose entry was removed is removed too.
	 * @param recoveredMillis when the store could be read again after its last outage, in
	 * milliseconds since the epoch, 0 if there was none
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the remaining time in which entries that lapsed during the outage are
	 * published again, in milliseconds, 0 or more
	 */
	static long removalDelayMillis(long recoveredMillis, long nowMillis) {
		return Math.max(0, recoveredMillis + LAPSE_GRACE_MILLIS - nowMillis);
	}

	/**
	 * Replaces or removes the entry of an entry instance. An entry that cannot be used is
	 * logged and names no instance, also where an earlier one did.
	 * @param entry the record, whose key is the instance
	 */
	public void updateInstance(KeyedTablePort.Entry entry) {
		if (entry.isTombstone()) {
			this.instances.remove(entry.key());
			return;
		}
		String content = new String(entry.value(), StandardCharsets.UTF_8);
		try {
			this.instances.put(entry.key(), readInstance(entry.key(), content));
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.instances.remove(entry.key());
			logger.warn("instance={} event=unreadable_entry cause=\"{}\" value=\"{}\"", Quotes.shortened(entry.key()),
					ex.getMessage(), Quotes.shortened(content));
		}
	}

	private static ListedInstance readInstance(String key, String content) {
		ListedInstance instance = Documents.read(content, ListedInstance.class);
		if (!InstanceId.of(key).value().equals(instance.id()) || !ListedInstance.ENTRY.equals(instance.kind())) {
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, "must be the entry of the instance '" + key
					+ "', but was of kind '" + instance.kind() + "' with the id '" + instance.id() + "'");
		}
		HostPort.parse(instance.address());
		AvailabilityZone.of(instance.zone());
		return instance;
	}

	/**
	 * Returns whether an endpoint that a home has granted may be used.
	 * @param endpoint the endpoint
	 * @return false if it is known to be draining or gone; true for an endpoint that only
	 * the home has read of so far
	 */
	public boolean mayServe(EndpointId endpoint) {
		ReceivedEntry current = this.endpoints.get(endpoint.value());
		return (current != null) ? !current.entry.isDraining() : !this.removedMillis.containsKey(endpoint.value());
	}

	/**
	 * Returns whether an endpoint still runs in the same process.
	 * @param endpoint the endpoint
	 * @param bootId the boot ID of the process, which is the lifetime in its entry
	 * @return false if the endpoint is gone or has restarted
	 */
	public boolean isSameProcess(EndpointId endpoint, String bootId) {
		ReceivedEntry current = this.endpoints.get(endpoint.value());
		return current != null && String.valueOf(current.entry.lifetime()).equals(bootId);
	}

	/**
	 * Returns the endpoints that take requests.
	 * @return their entries, in no order
	 */
	public List<EndpointEntry> serving() {
		return this.endpoints.values()
			.stream()
			.map(ReceivedEntry::entry)
			.filter((entry) -> !isDraining(entry))
			.toList();
	}

	/**
	 * Returns how many entry instances have published themselves; those that ended
	 * without notice count too.
	 * @return the number, at least 1
	 */
	public int instanceCount() {
		return Math.max(1, this.instances.size());
	}

	/**
	 * Returns the addresses of the other entry instances.
	 * @param self the address of this instance
	 * @return the hosts and ports for peers
	 */
	public List<String> peerAddresses(String self) {
		return this.instances.values()
			.stream()
			.map(ListedInstance::address)
			.filter((address) -> !address.equals(self))
			.toList();
	}

	@Override
	public Publisher<List<ListedInstance>> list(AvailabilityZone zone) {
		List<ListedInstance> all = new ArrayList<>(this.instances.values());
		for (ReceivedEntry received : this.endpoints.values()) {
			EndpointEntry entry = received.entry;
			all.add(new ListedInstance(entry.endpoint().value(), ListedInstance.ENGINE, entry.zone().value(),
					entry.address(), isDraining(entry)));
		}
		return Mono.just(all);
	}

	// An entry of a service that no configuration names claims no address.
	@Override
	public Publisher<EndpointReport> report(String address) {
		return this.endpoints.values()
			.stream()
			.filter((received) -> received.entry.address().equals(address))
			.max(Comparator.comparing((ReceivedEntry received) -> isServiceKnown(received.entry))
				.thenComparingLong(ReceivedEntry::receivedMillis))
			.map((received) -> Mono.just(report(received)))
			.orElseGet(() -> Mono.error(new IllegalStateException("no endpoint at " + address)));
	}

	private boolean isServiceKnown(EndpointEntry entry) {
		return this.routing.table().flatMap((table) -> table.service(entry.service())).isPresent();
	}

	private boolean isDraining(EndpointEntry entry) {
		return entry.isDraining() || this.notices.isLeaving(entry.endpoint(), String.valueOf(entry.lifetime()));
	}

	/**
	 * Returns what endpoints have said about themselves in their answers.
	 * @return the notices, which end with the lifetime of their endpoint
	 */
	public EndpointNotices notices() {
		return this.notices;
	}

	/**
	 * Returns how long all endpoints of a service want no requests.
	 * @param service the service
	 * @return the time until the first of them takes requests again, in milliseconds, or
	 * empty if one does now or none is known
	 */
	public OptionalLong remainingBackOffMillis(String service) {
		if (!this.notices.hasBackOffs(this.clock.nowMillis())) {
			return OptionalLong.empty();
		}
		List<EndpointId> ofService = serving().stream()
			.filter((entry) -> entry.service().equals(service))
			.map(EndpointEntry::endpoint)
			.toList();
		return this.notices.remainingBackOffMillis(ofService, this.clock.nowMillis());
	}

	private EndpointReport report(ReceivedEntry received) {
		EndpointEntry entry = received.entry;
		RoutingTable.Service service = this.routing.table()
			.flatMap((table) -> table.service(entry.service()))
			.orElse(new RoutingTable.Service(entry.service(), 0, 0, 0, null));
		double rate = (service.engine() != null) ? service.engine().prefillTokensPerMilli() * MILLIS_PER_SECOND : 1;
		long uptime = (entry.coldMillis() > 0) ? 0 : WARM_UPTIME_MILLIS;
		long coldEndMillis = (entry.coldMillis() > 0) ? received.receivedMillis + entry.coldMillis() : 0;
		return new EndpointReport(entry.endpoint(), String.valueOf(entry.lifetime()), isDraining(entry),
				Set.of(entry.service()), entry.slots(), service.kvTokens(), rate, 0, uptime, Set.of(),
				received.receivedMillis, service.engine(),
				new EndpointReport.ColdPeriod(service.coldRequestsPerSecond(), coldEndMillis));
	}

	/**
	 * An entry and the time of its receipt in milliseconds since the epoch.
	 */
	private record ReceivedEntry(EndpointEntry entry, long receivedMillis) {
	}

}
