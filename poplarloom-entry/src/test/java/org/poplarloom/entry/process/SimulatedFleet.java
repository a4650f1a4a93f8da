package org.poplarloom.entry.process;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.process.PeerTransport;

/**
 * Instances of several zones and the platform's store in one thread and in virtual time.
 * <p>
 * Nodes, membership, gossip and tables are the real ones; only the connections and the
 * store are replaced. Zones can be silenced, answers of the store can be lost, and the
 * store can be silent towards all instances or refuse the calls of some. The same seed
 * gives the same run. This class is not thread-safe.
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

	private final Map<String, List<KeyedTablePort.Entry>> tables = new HashMap<>();

	private final List<WaitingRead> waitingReads = new ArrayList<>();

	private final Map<String, Instance> instancesByAddress = new HashMap<>();

	private final List<Instance> instances = new ArrayList<>();

	private final Set<String> silentZones = new HashSet<>();

	private final Map<String, Long> sentMessages = new TreeMap<>();

	private double lostAnswerRatio;

	private boolean storeSilent;

	private int outages;

	private long era = 1;

	private long elapsedMillis;

	SimulatedFleet(long seed) {
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

	private KeyedTablePort.Page page(String table, long from) {
		List<KeyedTablePort.Entry> records = this.tables.getOrDefault(table, List.of());
		if (from > records.size()) {
			return new KeyedTablePort.Page(TablePosition.of(this.era, from), true, List.of());
		}
		List<KeyedTablePort.Entry> found = records.subList((int) from, records.size())
			.stream()
			.map((record) -> new KeyedTablePort.Entry(record.key(), record.value(),
					TablePosition.of(this.era, record.position().offset())))
			.toList();
		return new KeyedTablePort.Page(TablePosition.of(this.era, records.size()), false, found);
	}

	private <T> void answerLater(Instance caller, CompletableFuture<T> result, T answer) {
		boolean isLost = this.random.nextDouble() < this.lostAnswerRatio || this.storeSilent;
		int outagesBefore = this.outages;
		schedule(() -> {
			if (!isLost && outagesBefore == this.outages && !caller.storeUnreachable
					&& !this.silentZones.contains(caller.zone)) {
				result.complete(answer);
			}
		}, STORE_DELAY_MILLIS);
	}

	private <T> CompletableFuture<T> newCall(Instance caller, long waitMillis) {
		CompletableFuture<T> result = new CompletableFuture<>();
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

		private Instance(String id, String zone, String host) {
			this.zone = zone;
			this.address = host + ":1";
			this.settings = new Settings(InstanceId.of(id), AvailabilityZone.of(zone), host, 0, 1, "", "",
					"0123456789abcdef", "", 1, 1_600, 1_000, new ColdStartRamp.Settings(6, 500, 500), 0, 2_000,
					OwnerKey.none(), "none", 0, Settings.TableReaders.ALL, Settings.Load.DEFAULT);
			this.entries = new PublishedEntries(this.routing, this::nowMillis);
			NodeRuntime runtime = new NodeRuntime(SimulatedFleet.this.channel.eventLoop(), this::nowMillis,
					this::connect, () -> {
					});
			this.node = new Node(this.settings, Ports.forRelay(this.entries, this.entries), CostPlacement::new,
					runtime);
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
			new RelayTables(new RelayTables.Identity(own, List.of()), this, this.routing, this.entries, this.node,
					SimulatedFleet.this.channel.eventLoop())
				.start();
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
					result.complete(reply);
				}
			}, PEER_DELAY_MILLIS));
			return result;
		}

		private void deliver(String target, Message message, Consumer<Message> reply) {
			SimulatedFleet.this.sentMessages
				.merge(this.address + " " + target + " " + message.getClass().getSimpleName(), 1L, Long::sum);
			schedule(() -> {
				if (isReachable(target)) {
					SimulatedFleet.this.instancesByAddress.get(target).handler.handle(this.settings.instance(), message,
							reply);
				}
			}, PEER_DELAY_MILLIS);
		}

		private boolean isReachable(String target) {
			Instance peer = SimulatedFleet.this.instancesByAddress.get(target);
			return peer != null && !SimulatedFleet.this.silentZones.contains(this.zone)
					&& !SimulatedFleet.this.silentZones.contains(peer.zone);
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
			CompletableFuture<Page> result = newCall(this, 0);
			answerLater(this, result, page(table, 0));
			return result;
		}

		@Override
		public CompletableFuture<Page> read(String table, TablePosition position, long waitMillis) {
			long from = position.offset();
			CompletableFuture<Page> result = newCall(this, waitMillis);
			Page page = page(table, from);
			if (waitMillis == 0 || !page.records().isEmpty()) {
				answerLater(this, result, page);
				return result;
			}
			if (SimulatedFleet.this.storeSilent || this.storeUnreachable) {
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
			CompletableFuture<TablePosition> result = newCall(this, 0);
			schedule(() -> {
				if (!this.storeUnreachable && !SimulatedFleet.this.silentZones.contains(this.zone)) {
					answerLater(this, result, TablePosition.of(SimulatedFleet.this.era,
							SimulatedFleet.this.put(table, key, new String(value, StandardCharsets.UTF_8))));
				}
			}, STORE_DELAY_MILLIS);
			return result;
		}

	}

}
