package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.Quotes;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.RoutingTable;
import org.poplarloom.core.version.ZoneCommand;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.WorkerEntryFormat;
import org.poplarloom.port.EndpointEntry;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.wire.message.Message;

/**
 * The copies of the platform's tables at one instance: what operators, endpoints and the
 * other instances have published.
 * <p>
 * The ages of the operators' and the endpoints' tables are bounded although a read may
 * stay without an answer or homes cannot read: homes read often, heartbeats, gossip and
 * notices name the offsets that the sender has read, whoever is behind fetches the
 * records from the sender, and an instance that is asked for news reads them. This class
 * is thread-safe.
 */
final class RelayTables {

	private static final Logger logger = LoggerFactory.getLogger(RelayTables.class);

	/** Shorter than the 5 s after which an evacuation must be in force. */
	private static final TableCopy.RestoreGrace OPERATOR_GRACE = new TableCopy.RestoreGrace(3_000, 3_000);

	/**
	 * Live endpoints have written their entries again after 2 s; the platform removes an
	 * outdated entry after the endpoint has been silent for three heartbeats.
	 */
	private static final TableCopy.RestoreGrace ENDPOINT_GRACE = new TableCopy.RestoreGrace(2_200, 10_000);

	/** Instances notice a restore at their next read. */
	private static final TableCopy.RestoreGrace INSTANCE_GRACE = new TableCopy.RestoreGrace(60_000, 0);

	private static final long PEER_TIMEOUT_MILLIS = 600;

	private static final long ENTRY_RETRY_MILLIS = 1_000;

	/**
	 * Each instance that has news passes it on, so n instances know it in about log(n)
	 * rounds.
	 */
	private static final int NOTIFIED_PEERS = 2;

	private static final int MAX_LOGGED_FINDINGS = 50;

	private final Identity identity;

	private final KeyedTablePort store;

	private final ActiveRouting routing;

	private final PublishedEntries entries;

	private final Node node;

	private final ScheduledExecutorService scheduler;

	/** Seeded, so that simulations repeat. */
	private final Random random;

	private final TableReading reading;

	private volatile TableFollower operatorTable;

	private TableFollower endpointTable;

	private boolean instancesFollowed;

	// The scheduler's thread guards what follows.

	/** The latest era in which the platform was read. */
	private long era = TablePosition.NONE.era();

	/** The era in which this instance's entry was last written or is being written. */
	private long ownEntryEra = TablePosition.NONE.era();

	// Read by other threads too.

	private volatile long configurationFindings;

	private volatile long unreadableConfigurations;

	private volatile boolean stopping;

	/**
	 * Creates copies that are empty until {@link #start()}.
	 * @param identity the entry that this instance publishes and the seeds of its
	 * settings
	 * @param store the platform's store
	 * @param routing takes the operators' configuration
	 * @param entries takes the entries of endpoints and instances
	 * @param node the started node
	 * @param scheduler runs the reads and applies what they return
	 */
	RelayTables(Identity identity, KeyedTablePort store, ActiveRouting routing, PublishedEntries entries, Node node,
			ScheduledExecutorService scheduler) {
		this.identity = identity;
		this.store = store;
		this.routing = routing;
		this.entries = entries;
		this.node = node;
		this.scheduler = scheduler;
		this.random = new Random(identity.own().id().hashCode());
		this.reading = new TableReading(node, entries, scheduler);
	}

	/**
	 * Starts to read the tables and publishes this instance's entry.
	 */
	void start() {
		this.operatorTable = follow(Tables.OPERATORS, new TableCopy(new OperatorRecordOrder(), OPERATOR_GRACE),
				this.reading.timings()::operators, NOTIFIED_PEERS, this::applyOperatorRecords);
		this.endpointTable = follow(Tables.WORKERS, new TableCopy(new EndpointRecordOrder(), ENDPOINT_GRACE),
				this.reading.timings()::endpoints, NOTIFIED_PEERS, this::applyEndpointRecords);
		this.reading.start(this.operatorTable, this.endpointTable);
		this.node.gossiper().announce(this.operatorTable, this.endpointTable, this.reading, this.routing::version);
		publishOwnEntry();
		allowTakeOverAfter(Node.MAX_DISCOVERY_MILLIS);
	}

	private void allowTakeOverAfter(long delayMillis) {
		this.scheduler.schedule(this.node.localHomes()::allowTakeOver, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns who reads the tables for this instance.
	 * @return the state of the reads
	 */
	TableReading reading() {
		return this.reading;
	}

	/**
	 * Stops to publish this instance's entry again.
	 */
	void stop() {
		this.stopping = true;
	}

	/**
	 * Returns how long ago the platform last confirmed that the operators' table is
	 * complete.
	 * @return the age in milliseconds, 0 or more
	 */
	long operatorsAgeMillis() {
		TableFollower table = this.operatorTable;
		return (table != null) ? table.ageMillis() : 0;
	}

	private TableFollower follow(String table, TableCopy copy, Supplier<ReadTiming> timing, int notifiedPeers,
			Consumer<List<KeyedTablePort.Entry>> listener) {
		TableFollower follower = new TableFollower(table, copy, this.store, timing, this.scheduler,
				new Instances(notifiedPeers), listener, this.node.clock(), this.random);
		follower.observeEras(this::handleEra);
		this.node.shareWithPeers(follower);
		follower.start();
		return follower;
	}

	// The table of instances is read only after the own entry was written: of two
	// instances that start at the same time, at least the later one finds the other.
	private void publishOwnEntry() {
		ListedInstance own = this.identity.own();
		this.store.put(Tables.STATUS, own.id(), Documents.write(own).getBytes(StandardCharsets.UTF_8))
			.whenCompleteAsync((position, failure) -> {
				if (failure == null) {
					this.ownEntryEra = position.era();
					publishOwnEntryIfLost();
				}
				else if (!this.stopping) {
					logger.warn("event=announcement_failed cause=\"{}\"", failure.getMessage());
					this.scheduler.schedule(this::publishOwnEntry, ENTRY_RETRY_MILLIS, TimeUnit.MILLISECONDS);
				}
				followInstances();
			}, this.scheduler);
	}

	private void handleEra(long newEra) {
		this.era = Math.max(this.era, newEra);
		publishOwnEntryIfLost();
	}

	// The entry has no era until its first write has ended, after which this runs again.
	private void publishOwnEntryIfLost() {
		boolean isWritten = this.ownEntryEra != TablePosition.NONE.era();
		if (isWritten && this.ownEntryEra < this.era && !this.stopping) {
			logger.info("event=announced_again era={} before={}", this.era, this.ownEntryEra);
			this.ownEntryEra = this.era;
			publishOwnEntry();
		}
	}

	private void followInstances() {
		if (this.instancesFollowed) {
			return;
		}
		this.instancesFollowed = true;
		RecordOrder alwaysNewer = (restored, known) -> false;
		this.reading.include(follow(Tables.STATUS, new TableCopy(alwaysNewer, INSTANCE_GRACE),
				this.reading.timings()::instances, 0, this::applyInstanceRecords));
	}

	private void applyInstanceRecords(List<KeyedTablePort.Entry> records) {
		records.forEach(this.entries::updateInstance);
		this.node.refreshEndpoints();
		this.node.gossiper().greetUndiscovered();
		allowTakeOverAfter(Node.GREETING_REPLY_MILLIS);
	}

	// A record that cannot be applied must not keep back those after it.
	private void applyOperatorRecords(List<KeyedTablePort.Entry> records) {
		for (KeyedTablePort.Entry record : records) {
			try {
				applyOperatorRecord(record);
			}
			catch (RuntimeException | StackOverflowError ex) {
				logger.error("event=unreadable_operator_record key={} position={} cause=\"{}\"",
						Quotes.shortened(record.key()), record.position(), ex.toString());
			}
		}
	}

	private void applyOperatorRecord(KeyedTablePort.Entry entry) {
		if (entry.key().equals(ConfigurationFormat.CONFIGURATION_KEY)) {
			applyConfiguration(entry);
		}
		else if (entry.key().startsWith(ConfigurationFormat.EVACUATION_KEY_PREFIX)) {
			String zone = entry.key().substring(ConfigurationFormat.EVACUATION_KEY_PREFIX.length());
			logger.info("event=evacuation zone={} out={} position={}", zone, !entry.isTombstone(), entry.position());
			this.node.activeConfiguration().applyZoneCommands(List.of(zoneCommand(entry, AvailabilityZone.of(zone))));
		}
	}

	// Commands are ordered by era and then by offset.
	private static ZoneCommand zoneCommand(KeyedTablePort.Entry entry, AvailabilityZone zone) {
		return new ZoneCommand(entry.key() + "@" + entry.position(), entry.position().era(), entry.position().offset(),
				"operator", zone, !entry.isTombstone());
	}

	private void applyConfiguration(KeyedTablePort.Entry entry) {
		if (entry.isTombstone()) {
			return;
		}
		Findings findings = new Findings();
		RoutingTable next = readConfiguration(entry, findings);
		if (this.routing.activateIfNewer(next)) {
			this.configurationFindings = findings.entries().size();
			findings.entries()
				.stream()
				.limit(MAX_LOGGED_FINDINGS)
				.forEach((finding) -> logger.error("event=configuration_finding version={} finding=\"{}\"",
						next.version(), finding));
			logger.info("event=configuration version={} position={} age_ms={}", next.version(), entry.position(),
					operatorsAgeMillis());
		}
		else {
			logger.info("event=outdated_configuration version={} position={} active={}", next.version(),
					entry.position(), this.routing.version());
		}
	}

	private RoutingTable readConfiguration(KeyedTablePort.Entry entry, Findings findings) {
		try {
			return ConfigurationFormat.read(entry.value(), findings);
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.unreadableConfigurations++;
			throw ex;
		}
	}

	/**
	 * Returns how many entries of the configuration in force cannot be used.
	 * @return the number of findings, 0 if the configuration is sound
	 */
	long configurationFindings() {
		return this.configurationFindings;
	}

	/**
	 * Returns how many configurations could not be read, so that the one before stayed in
	 * force.
	 * @return the number since the start
	 */
	long unreadableConfigurations() {
		return this.unreadableConfigurations;
	}

	private void applyEndpointRecords(List<KeyedTablePort.Entry> records) {
		List<EndpointEntry> published = new ArrayList<>();
		boolean isChanged = false;
		for (KeyedTablePort.Entry record : lastOfEachKey(records)) {
			if (record.isTombstone()) {
				removeEndpointAfterGrace(record.key());
				continue;
			}
			Optional<EndpointEntry> entry = readEndpointEntry(record);
			entry.ifPresent(published::add);
			isChanged |= entry.isEmpty() && this.entries.remove(record.key(), this.node.clock().nowMillis());
		}
		boolean isUpdated = this.entries.update(published);
		if (isUpdated) {
			published.stream()
				.filter((entry) -> entry.coldMillis() > 0)
				.forEach((entry) -> this.node.localHomes().pollSoon(entry.endpoint()));
		}
		if (isUpdated || isChanged) {
			this.node.refreshEndpoints();
		}
	}

	// An entry that cannot be read names no endpoint to use, also where an earlier one
	// did: an instance that starts now knows only the newest entry, and all of them must
	// use the same endpoints.
	private static Optional<EndpointEntry> readEndpointEntry(KeyedTablePort.Entry record) {
		try {
			return Optional.of(WorkerEntryFormat.read(record.key(), record.value()));
		}
		catch (RuntimeException | StackOverflowError ex) {
			logger.warn("endpoint={} event=unreadable_entry position={} cause=\"{}\" value=\"{}\"",
					Quotes.shortened(record.key()), record.position(), ex.getMessage(),
					Quotes.shortened(new String(record.value(), StandardCharsets.UTF_8)));
			return Optional.empty();
		}
	}

	// An entry that was removed and published again in one read is not removed.
	private static Collection<KeyedTablePort.Entry> lastOfEachKey(List<KeyedTablePort.Entry> records) {
		Map<String, KeyedTablePort.Entry> last = new LinkedHashMap<>();
		records.forEach((record) -> last.put(record.key(), record));
		return last.values();
	}

	private void removeEndpointAfterGrace(String id) {
		long now = this.node.clock().nowMillis();
		long recovered = (this.endpointTable != null) ? this.endpointTable.recoveredMillis() : 0;
		this.scheduler.schedule(() -> {
			this.entries.remove(id, now);
			this.node.refreshEndpoints();
		}, PublishedEntries.removalDelayMillis(recovered, now), TimeUnit.MILLISECONDS);
	}

	/**
	 * What an instance publishes about itself, and where others may be found.
	 *
	 * @param own the entry of this instance
	 * @param seeds addresses of a few instances for peers, which may be gone
	 */
	record Identity(ListedInstance own, List<String> seeds) {
	}

	/**
	 * The instances that are known from their entries and the settings. This class is
	 * thread-safe.
	 */
	private final class Instances implements TablePeers {

		private final int notifiedPeers;

		Instances(int notifiedPeers) {
			this.notifiedPeers = notifiedPeers;
		}

		@Override
		public CompletableFuture<Message> queryAny(Message query) {
			List<String> addresses = new ArrayList<>(RelayTables.this.entries.peerAddresses(ownAddress()));
			addresses.addAll(RelayTables.this.identity.seeds());
			addresses.remove(ownAddress());
			if (addresses.isEmpty()) {
				return CompletableFuture
					.failedFuture(new PoplarloomException(ErrorCode.PEER_TIMEOUT, "no other instance is known"));
			}
			return query(addresses.get(RelayTables.this.random.nextInt(addresses.size())), query);
		}

		@Override
		public CompletableFuture<Message> query(String address, Message query) {
			return RelayTables.this.node.network().request(address, query, PEER_TIMEOUT_MILLIS);
		}

		@Override
		public void notifySome(Message notice) {
			List<String> addresses = new ArrayList<>(RelayTables.this.entries.peerAddresses(ownAddress()));
			Collections.shuffle(addresses, RelayTables.this.random);
			Set<String> notified = new LinkedHashSet<>(
					addresses.subList(0, Math.min(this.notifiedPeers, addresses.size())));
			if (RelayTables.this.reading.notifiesZone()) {
				RelayTables.this.node.membership()
					.allLive(RelayTables.this.node.clock().nowMillis())
					.forEach((member) -> notified.add(member.address()));
				notified.remove(ownAddress());
			}
			notified.forEach((address) -> RelayTables.this.node.network().send(address, notice));
		}

		private String ownAddress() {
			return RelayTables.this.identity.own().address();
		}

	}

}
