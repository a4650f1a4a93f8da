package org.poplarloom.entry.process;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.netty.channel.embedded.EmbeddedChannel;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.CostPlacement;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.core.usage.OwnerKey;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.wire.connection.PeerHandler;
import org.poplarloom.wire.connection.PeerTraffic;
import org.poplarloom.wire.connection.ReplyListener;
import org.poplarloom.wire.connection.ReplyStream;
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.process.PeerTransport;

/**
 * Instances of several zones and the platform's store in one thread and in virtual time.
 * <p>
 * Nodes, membership, gossip and tables are the real ones; only the connections and the
 * store are replaced. Zones can be silenced, answers of the store and notices can be
 * lost, writes can be carried out late, and the store can be silent towards all or some
 * instances or refuse the calls of some. Instances can be killed, frozen, restarted and
 * cut off from each other. The same seed gives the same run. This class is not
 * thread-safe.
 */
final class SimulatedFleet {

	private static final long PEER_DELAY_MILLIS = 1;

	private static final long STORE_DELAY_MILLIS = 4;

	/**
	 * When a client of the store gives up a call, in addition to the wait of the call.
	 */
	private static final long STORE_TIMEOUT_MILLIS = 1_500;

	private static final long START_MILLIS = 1_700_000_000_000L;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final Random random;

	private final Settings.Load load;

	private final Map<String, List<KeyedTablePort.Entry>> tables = new HashMap<>();

	private final List<WaitingRead> waitingReads = new ArrayList<>();

	private final Map<String, Instance> instancesByAddress = new HashMap<>();

	private final List<Instance> instances = new ArrayList<>();

	private final Set<String> silentZones = new HashSet<>();

	private final Map<String, Long> sentMessages = new TreeMap<>();

	private final Settings.TableReaders tableReaders;

	private final Map<String, Long> firstOffsets = new HashMap<>();

	private BiPredicate<Instance, Instance> links = (from, to) -> true;

	private double lostAnswerRatio;

	private double lostNoticeRatio;

	private final Map<String, Long> storeCalls = new TreeMap<>();

	private boolean storeSilent;

	private int outages;

	private long era = 1;

	private long elapsedMillis;

	SimulatedFleet(long seed) {
		this(seed, Settings.TableReaders.ALL, Settings.Load.DEFAULT);
	}

	SimulatedFleet(long seed, Settings.TableReaders tableReaders) {
		this(seed, tableReaders, Settings.Load.DEFAULT);
	}

	SimulatedFleet(long seed, Settings.Load load) {
		this(seed, Settings.TableReaders.ALL, load);
	}

	private SimulatedFleet(long seed, Settings.TableReaders tableReaders, Settings.Load load) {
		this.tableReaders = tableReaders;
		this.load = load;
		this.random = new Random(seed);
		this.channel.freezeTime();
	}

	long elapsedMillis() {
		return this.elapsedMillis;
	}

	List<Instance> instances() {
		return this.instances;
	}

	/**
	 * Returns how many messages instances have sent to each other.
	 * @return the count by sender, receiver and type of message
	 */
	Map<String, Long> sentMessages() {
		return this.sentMessages;
	}

	Random random() {
		return this.random;
	}

	void loseAnswers(double ratio) {
		this.lostAnswerRatio = ratio;
	}

	void loseNotices(double ratio) {
		this.lostNoticeRatio = ratio;
	}

	/**
	 * Returns how many calls instances have made to the store, also if they were lost.
	 * @return the count since the start by instance and kind of call
	 */
	Map<String, Long> storeCalls() {
		return this.storeCalls;
	}

	/**
	 * Cuts links between instances.
	 * @param newLinks whether messages of the first instance reach the second
	 */
	void setLinks(BiPredicate<Instance, Instance> newLinks) {
		this.links = newLinks;
	}

	/**
	 * Drops the records of a table that are known to no instance but are not the newest
	 * of their keys, as the store does after some time. Reads from before fail.
	 * @param table the table
	 */
	void dropHistory(String table) {
		this.firstOffsets.put(table, (long) this.tables.getOrDefault(table, List.of()).size());
	}

	/**
	 * Replaces an instance by a new process with the same name and address.
	 * @param instance the instance, which is killed if it lives
	 * @return the new instance
	 */
	Instance restart(Instance instance) {
		instance.kill();
		Instance next = new Instance(instance.settings.instance().value(), instance.zone, instance.settings.host());
		this.instances.set(this.instances.indexOf(instance), next);
		this.instancesByAddress.put(next.address, next);
		next.start();
		return next;
	}

	/**
	 * Silences the store. Calls that are in progress or arrive while it is silent are
	 * never answered.
	 * @param isSilent whether the store is silent from now on
	 */
	void setStoreSilent(boolean isSilent) {
		this.storeSilent = isSilent;
		if (isSilent) {
			this.outages++;
			this.waitingReads.clear();
		}
	}

	/**
	 * Copies the tables of the store.
	 * @return the copy, for {@link #restoreStore}
	 */
	Map<String, List<KeyedTablePort.Entry>> copyStore() {
		Map<String, List<KeyedTablePort.Entry>> copy = new HashMap<>();
		this.tables.forEach((table, records) -> copy.put(table, List.copyOf(records)));
		return copy;
	}

	/**
	 * Replaces the tables of the store with those of a copy and begins a new era. Reads
	 * that wait are never answered.
	 * @param copy the copy
	 */
	void restoreStore(Map<String, List<KeyedTablePort.Entry>> copy) {
		this.tables.clear();
		copy.forEach((table, records) -> this.tables.put(table, new ArrayList<>(records)));
		this.waitingReads.clear();
		this.firstOffsets.clear();
		this.era++;
	}

	List<String> keys(String table) {
		return this.tables.getOrDefault(table, List.of()).stream().map(KeyedTablePort.Entry::key).toList();
	}

	void setSilent(String zone, boolean isSilent) {
		if (isSilent) {
			this.silentZones.add(zone);
		}
		else {
			this.silentZones.remove(zone);
		}
	}

	/**
	 * Starts instances in turn in each zone.
	 * @param count how many
	 * @param zones the availability zones
	 */
	void startInstances(int count, List<String> zones) {
		for (int i = 0; i < count; i++) {
			start("edge-" + i, zones.get(i % zones.size()));
		}
	}

	Instance start(String id, String zone) {
		Instance instance = new Instance(id, zone, "10.0.0." + (this.instances.size() + 1));
		this.instances.add(instance);
		this.instancesByAddress.put(instance.address, instance);
		instance.start();
		return instance;
	}

	long put(String table, String key, String value) {
		List<KeyedTablePort.Entry> records = this.tables.computeIfAbsent(table, (name) -> new ArrayList<>());
		long offset = records.size();
		records.add(new KeyedTablePort.Entry(key, value.getBytes(StandardCharsets.UTF_8),
				TablePosition.of(this.era, offset)));
		List<WaitingRead> due = this.waitingReads.stream().filter((read) -> read.table.equals(table)).toList();
		this.waitingReads.removeAll(due);
		due.forEach((read) -> answerLater(read.reader, read.result, page(table, read.from)));
		return offset;
	}

	/**
	 * Writes a record whose writer got no answer and may have written again since.
	 * @param table the table
	 * @param key the key
	 * @param value the value, empty for a tombstone
	 * @param delayMillis after how long the store carries the write out, in milliseconds
	 */
	void putLate(String table, String key, String value, long delayMillis) {
		schedule(() -> put(table, key, value), delayMillis);
	}

	/**
	 * Advances the time.
	 * @param millis by how much
	 */
	void advance(long millis) {
		advance(millis, (elapsed) -> {
		});
	}

	/**
	 * Advances the time.
	 * @param millis by how much
	 * @param eachStep is called with the elapsed time after each step
	 */
	void advance(long millis, LongConsumer eachStep) {
		long end = this.elapsedMillis + millis;
		while (this.elapsedMillis < end) {
			this.elapsedMillis++;
			this.channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
			this.channel.runPendingTasks();
			eachStep.accept(this.elapsedMillis);
		}
	}

	private void schedule(Runnable task, long delayMillis) {
		this.channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
	}

	private boolean isDropped(String table, long from) {
		return from > 0 && from < this.firstOffsets.getOrDefault(table, 0L);
	}

	private KeyedTablePort.Page page(String table, long from) {
		List<KeyedTablePort.Entry> records = this.tables.getOrDefault(table, List.of());
		if (from > records.size() || isDropped(table, from)) {
			return new KeyedTablePort.Page(TablePosition.of(this.era, from), true, List.of());
		}
		List<KeyedTablePort.Entry> found = records.subList((int) from, records.size())
			.stream()
			.map((record) -> new KeyedTablePort.Entry(record.key(), record.value(),
					TablePosition.of(this.era, record.position().offset())))
			.toList();
		return new KeyedTablePort.Page(TablePosition.of(this.era, records.size()), false, found);
	}

	private KeyedTablePort.Page newestPage(String table) {
		KeyedTablePort.Page all = page(table, 0);
		Map<String, KeyedTablePort.Entry> newest = new LinkedHashMap<>();
		all.records().forEach((record) -> newest.put(record.key(), record));
		newest.values().removeIf(KeyedTablePort.Entry::isTombstone);
		return new KeyedTablePort.Page(all.next(), false, List.copyOf(newest.values()));
	}

	private <T> void answerLater(Instance caller, CompletableFuture<T> result, T answer) {
		boolean isLost = this.random.nextDouble() < this.lostAnswerRatio || this.storeSilent;
		int outagesBefore = this.outages;
		schedule(() -> {
			if (!isLost && outagesBefore == this.outages && caller.canReachStore()) {
				caller.receive(() -> result.complete(answer));
			}
		}, STORE_DELAY_MILLIS);
	}

	private <T> CompletableFuture<T> newCall(Instance caller, String kind, long waitMillis) {
		CompletableFuture<T> result = new CompletableFuture<>();
		if (caller.isDead) {
			return result;
		}
		if (!caller.isFrozen) {
			this.storeCalls.merge(caller.settings.instance() + " " + kind, 1L, Long::sum);
		}
		if (caller.storeUnreachable) {
			schedule(() -> result.completeExceptionally(new ConnectException("cannot connect")), STORE_DELAY_MILLIS);
			return result;
		}
		schedule(() -> result.completeExceptionally(new TimeoutException("no answer")),
				waitMillis + STORE_TIMEOUT_MILLIS);
		return result;
	}

	/**
	 * A read that waits for a record.
	 */
	private record WaitingRead(Instance reader, String table, long from,
			CompletableFuture<KeyedTablePort.Page> result) {
	}

	/**
	 * One instance.
	 */
	final class Instance implements KeyedTablePort, PeerTransport {

		private final String zone;

		private final String address;

		private final Settings settings;

		private final PublishedEntries entries;

		private final ActiveRouting routing = new ActiveRouting();

		private final Node node;

		private final PeerTraffic traffic = new PeerTraffic();

		private PeerHandler handler;

		private boolean storeUnreachable;

		private boolean storeSilent;

		private boolean isDead;

		private boolean isFrozen;

		/** What arrives while the process does not run. */
		private final List<Runnable> held = new ArrayList<>();

		private RelayTables tables;

		private Instance(String id, String zone, String host) {
			this.zone = zone;
			this.address = host + ":1";
			this.settings = new Settings(InstanceId.of(id), AvailabilityZone.of(zone), host, 0, 1, "", "",
					"0123456789abcdef", "", 1, 1_600, 1_000, new ColdStartRamp.Settings(6, 500, 500), 0, 2_000,
					OwnerKey.none(), "none", 0, SimulatedFleet.this.tableReaders, SimulatedFleet.this.load);
			this.entries = new PublishedEntries(this.routing, this::nowMillis);
			NodeRuntime runtime = new NodeRuntime(SimulatedFleet.this.channel.eventLoop(), this::nowMillis,
					this::connect, () -> {
					});
			this.node = new Node(this.settings, Ports.forRelay(this.entries, this.entries), CostPlacement::new,
					runtime);
		}

		Node node() {
			return this.node;
		}

		long nowMillis() {
			return START_MILLIS + SimulatedFleet.this.elapsedMillis;
		}

		private PeerTransport connect(PeerHandler newHandler) {
			this.handler = newHandler;
			return this;
		}

		private void start() {
			this.node.start();
			ListedInstance own = new ListedInstance(this.settings.instance().value(), ListedInstance.ENTRY, this.zone,
					this.address, false);
			this.tables = new RelayTables(new RelayTables.Identity(own, List.of()), this, this.routing, this.entries,
					this.node, SimulatedFleet.this.channel.eventLoop());
			this.tables.start();
		}

		/**
		 * Ends the process without notice.
		 */
		void kill() {
			this.isDead = true;
			this.tables.stop();
			this.node.close();
		}

		/**
		 * Stops the process or lets it run again. What arrives in between is handled at
		 * the end; what it would have sent in between is lost.
		 * @param frozen whether the process is stopped from now on
		 */
		void setFrozen(boolean frozen) {
			this.isFrozen = frozen;
			if (!frozen) {
				List<Runnable> arrived = new ArrayList<>(this.held);
				this.held.clear();
				arrived.forEach(Runnable::run);
			}
		}

		private void receive(Runnable action) {
			if (this.isFrozen) {
				this.held.add(action);
			}
			else if (!this.isDead) {
				action.run();
			}
		}

		/**
		 * Lets the store leave the calls of this instance without an answer.
		 * @param isSilent whether it does so from now on
		 */
		void setStoreSilent(boolean isSilent) {
			this.storeSilent = isSilent;
			if (isSilent) {
				SimulatedFleet.this.waitingReads.removeIf((read) -> read.reader == this);
			}
		}

		private boolean canReachStore() {
			return !this.storeUnreachable && !this.storeSilent && !this.isDead
					&& !SimulatedFleet.this.silentZones.contains(this.zone);
		}

		boolean isAlive() {
			return !this.isDead;
		}

		TableReading reading() {
			return this.tables.reading();
		}

		String zone() {
			return this.zone;
		}

		/**
		 * Cuts this instance off from the store or connects it again. Calls in progress
		 * fail at once.
		 * @param isReachable whether this instance can call the store from now on
		 */
		void setStoreReachable(boolean isReachable) {
			this.storeUnreachable = !isReachable;
			if (!isReachable) {
				List<WaitingRead> cut = SimulatedFleet.this.waitingReads.stream()
					.filter((read) -> read.reader == this)
					.toList();
				SimulatedFleet.this.waitingReads.removeAll(cut);
				cut.forEach((read) -> read.result.completeExceptionally(new ConnectException("connection was closed")));
			}
		}

		boolean isHome() {
			return !this.node.localHomes().isEmpty();
		}

		boolean isSettling() {
			return this.node.localHomes().isSettling();
		}

		CrashInvestigation investigation() {
			return this.node.crashInvestigation();
		}

		PublishedEntries entries() {
			return this.entries;
		}

		boolean knowsHomeOf(String otherZone) {
			return this.node.membership().zonesWithShards().contains(AvailabilityZone.of(otherZone));
		}

		boolean knowsZoneAsOut(String otherZone) {
			return this.node.activeConfiguration().state().isZoneOut(AvailabilityZone.of(otherZone));
		}

		long configurationVersion() {
			return this.routing.table().map((table) -> table.version()).orElse(0L);
		}

		@Override
		public int listen(String host, int port) {
			return port;
		}

		@Override
		public void send(String target, Message message) {
			deliver(target, message, (reply) -> {
			});
		}

		@Override
		public CompletableFuture<Message> request(String target, Message message, long timeoutMillis) {
			CompletableFuture<Message> result = new CompletableFuture<>();
			schedule(() -> result.completeExceptionally(new TimeoutException("no reply")), timeoutMillis);
			deliver(target, message, (reply) -> schedule(() -> {
				if (isReachable(target)) {
					receive(() -> result.complete(reply));
				}
			}, PEER_DELAY_MILLIS));
			return result;
		}

		private void deliver(String target, Message message, Consumer<Message> reply) {
			SimulatedFleet.this.sentMessages
				.merge(this.address + " " + target + " " + message.getClass().getSimpleName(), 1L, Long::sum);
			boolean isLost = this.isFrozen
					|| (message instanceof Message.TableNotice && SimulatedFleet.this.lostNoticeRatio > 0
							&& SimulatedFleet.this.random.nextDouble() < SimulatedFleet.this.lostNoticeRatio);
			schedule(() -> {
				if (!isLost && isReachable(target)) {
					Instance peer = SimulatedFleet.this.instancesByAddress.get(target);
					peer.receive(() -> peer.handler.handle(this.settings.instance(), message, reply::accept));
				}
			}, PEER_DELAY_MILLIS);
		}

		private boolean isReachable(String target) {
			Instance peer = SimulatedFleet.this.instancesByAddress.get(target);
			return peer != null && !this.isDead && !peer.isDead && SimulatedFleet.this.links.test(this, peer)
					&& !SimulatedFleet.this.silentZones.contains(this.zone)
					&& !SimulatedFleet.this.silentZones.contains(peer.zone);
		}

		@Override
		public ReplyStream open(String target, Message message, ReplyListener listener) {
			throw new UnsupportedOperationException("instances of the fleet relay no requests");
		}

		@Override
		public PeerTraffic traffic() {
			return this.traffic;
		}

		@Override
		public void close() {
			// The fleet ends with the test.
		}

		@Override
		public CompletableFuture<Page> readNewest(String table) {
			CompletableFuture<Page> result = newCall(this, "read newest " + table, 0);
			answerLater(this, result, newestPage(table));
			return result;
		}

		@Override
		public CompletableFuture<Page> read(String table, TablePosition position, long waitMillis) {
			long from = position.offset();
			CompletableFuture<Page> result = newCall(this, "read " + table, waitMillis);
			Page page = page(table, from);
			if (this.isFrozen) {
				return result;
			}
			if (waitMillis == 0 || !page.records().isEmpty() || isDropped(table, from)) {
				answerLater(this, result, page);
				return result;
			}
			if (SimulatedFleet.this.storeSilent || this.storeUnreachable || this.storeSilent) {
				return result;
			}
			WaitingRead waiting = new WaitingRead(this, table, from, result);
			SimulatedFleet.this.waitingReads.add(waiting);
			schedule(() -> {
				if (SimulatedFleet.this.waitingReads.remove(waiting)) {
					answerLater(this, result, page(table, from));
				}
			}, waitMillis);
			return result;
		}

		@Override
		public CompletableFuture<TablePosition> put(String table, String key, byte[] value) {
			CompletableFuture<TablePosition> result = newCall(this, "put " + table, 0);
			schedule(() -> {
				if (canReachStore() && !this.isFrozen) {
					answerLater(this, result, TablePosition.of(SimulatedFleet.this.era,
							SimulatedFleet.this.put(table, key, new String(value, StandardCharsets.UTF_8))));
				}
			}, STORE_DELAY_MILLIS);
			return result;
		}

	}

}
