package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.ZoneCommand;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ActiveConfiguration;
import org.poplarloom.wire.message.Message;

/**
 * Exchanges membership, shard homes, crash counts and the configuration's version with
 * the other instances.
 * <p>
 * Heartbeats go to every instance of the zone; gossip goes to one random instance of the
 * zone, one of another zone and every listed instance of the zone that is not a live
 * member yet, and to all instances at once when there is urgent news. The periods grow
 * with the size of the zone, so that the bytes that an instance sends per second stay
 * bounded. An instance that learns of a newer configuration fetches it from the peer.
 * This class is thread-safe.
 */
public final class Gossiper {

	/** The period of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 500;

	private static final long HEARTBEAT_PERIOD_MILLIS_PER_MEMBER = 40;

	private static final long MIN_GOSSIP_PERIOD_MILLIS = 1_000;

	private static final long GOSSIP_PERIOD_MILLIS_PER_MEMBER = 75;

	private static final long CONFIRM_TIMEOUT_MILLIS = 300;

	private static final long LOG_DELIVERY_MILLIS = 1_000;

	private static final long SILENT_MEMBER_RETENTION_MILLIS = 120_000;

	/**
	 * Homes of other zones are answered only while this instance may have started
	 * together with them.
	 */
	private static final long MAX_ANSWERING_AGE_MILLIS = 10_000;

	private static final long FETCH_TIMEOUT_MILLIS = 2_000;

	private final Settings settings;

	private final MembershipTable membership;

	private final ActiveConfiguration activeConfiguration;

	private final CrashRegistry crashes;

	private final InstanceView instances;

	private final LocalHomes homes;

	private final Peers peers;

	private final Clock clock;

	private final Random random;

	/** The incarnations of the homes of other zones that were answered. */
	private final Map<InstanceId, Long> answeredHomes = new ConcurrentHashMap<>();

	private final AtomicBoolean isFetching = new AtomicBoolean();

	private volatile TableFollower operatorTable;

	private volatile TableFollower endpointTable;

	private volatile TableReading reading;

	private volatile LongSupplier routingVersion = () -> 0;

	private long awaitedOffset = Publication.NO_OFFSET;

	private long awaitedSinceMillis;

	private long lastHeartbeatMillis;

	private long lastGossipMillis;

	public Gossiper(Settings settings, MembershipTable membership, ActiveConfiguration activeConfiguration,
			CrashRegistry crashes, InstanceView instances, LocalHomes homes, Peers peers, Clock clock) {
		this.settings = settings;
		this.membership = membership;
		this.activeConfiguration = activeConfiguration;
		this.crashes = crashes;
		this.instances = instances;
		this.homes = homes;
		this.peers = peers;
		this.clock = clock;
		this.random = new Random(settings.instance().value().hashCode());
		activeConfiguration.addListener((state) -> broadcast());
	}

	/**
	 * Names the positions in the platform's tables and the version of the routing table
	 * in each heartbeat and in gossip, so that peers which are behind fetch what they
	 * lack.
	 * @param operators the follower of the operators' table
	 * @param endpoints the follower of the endpoints' table
	 * @param tableReading who reads the tables for this instance
	 * @param version supplies the version of the routing table in force
	 */
	void announce(TableFollower operators, TableFollower endpoints, TableReading tableReading, LongSupplier version) {
		this.routingVersion = version;
		this.operatorTable = operators;
		this.endpointTable = endpoints;
		this.reading = tableReading;
	}

	private static TablePosition position(TableFollower table) {
		return (table != null) ? table.next() : TablePosition.NONE;
	}

	private void handleTablePositions(Member from, TablePosition operators, TablePosition endpoints, long version) {
		if (this.operatorTable != null) {
			this.operatorTable.handlePeerPosition(from.address(), operators);
			if (version > this.routingVersion.getAsLong()) {
				this.operatorTable.handleNewerContent(from.address(), operators);
			}
		}
		if (this.endpointTable != null) {
			this.endpointTable.handlePeerPosition(from.address(), endpoints);
		}
	}

	/**
	 * Sends the heartbeats and gossip that are due and expires old members and crashes.
	 */
	public void tick() {
		long now = this.clock.nowMillis();
		this.membership.mergeShards(this.homes.statuses(), now);
		this.membership.removeSilent(SILENT_MEMBER_RETENTION_MILLIS, now);
		this.crashes.expire(now);
		List<Member> sameZone = this.membership.live(this.settings.zone(), now);
		if (now - this.lastHeartbeatMillis >= heartbeatPeriodMillis(sameZone.size()) - TICK_MILLIS / 2) {
			this.lastHeartbeatMillis = now;
			sendHeartbeats(sameZone);
		}
		if (now - this.lastGossipMillis >= Math.max(MIN_GOSSIP_PERIOD_MILLIS,
				GOSSIP_PERIOD_MILLIS_PER_MEMBER * sameZone.size()) - TICK_MILLIS / 2) {
			this.lastGossipMillis = now;
			sendGossip();
		}
	}

	// Others rely on the ages that a reader of the platform's tables names.
	private long heartbeatPeriodMillis(int members) {
		TableReading tableReading = this.reading;
		return (tableReading != null && tableReading.isReader()) ? TICK_MILLIS
				: Math.max(TICK_MILLIS, HEARTBEAT_PERIOD_MILLIS_PER_MEMBER * members);
	}

	/**
	 * Sends heartbeats to all members of the zone, for news of the sender's copies of the
	 * platform's tables.
	 */
	void sendHeartbeats() {
		sendHeartbeats(this.membership.live(this.settings.zone(), this.clock.nowMillis()));
	}

	private void sendHeartbeats(List<Member> sameZone) {
		TableReading tableReading = this.reading;
		Member self = this.membership.heartbeat();
		List<Message.ShardLoad> loads = new ArrayList<>();
		for (ShardStatus status : this.homes.statuses()) {
			loads.add(new Message.ShardLoad(status.shard().index(), status.summary()));
		}
		Message heartbeat = new Message.Heartbeat(self.incarnation(), self.heartbeat(),
				this.activeConfiguration.configuration().offset(), this.activeConfiguration.configuration().digest(),
				loads, position(this.operatorTable), position(this.endpointTable),
				(tableReading != null) ? tableReading.copies() : null, this.routingVersion.getAsLong());
		for (Member member : sameZone) {
			if (!member.id().equals(self.id())) {
				this.peers.send(member.id(), member.address(), heartbeat);
			}
		}
	}

	private void sendGossip() {
		List<InstanceView.Instance> sameZone = new ArrayList<>();
		List<InstanceView.Instance> otherZones = new ArrayList<>();
		for (InstanceView.Instance instance : others()) {
			(isLocalZone(instance.zone()) ? sameZone : otherZones).add(instance);
		}
		greetUndiscovered();
		pickRandom(sameZone).ifPresent(this::sendGossip);
		pickRandom(otherZones).ifPresent(this::sendGossip);
	}

	/**
	 * Sends gossip to the listed instances of the zone that are not live members yet; one
	 * that did not know this instance replies in kind.
	 */
	public void greetUndiscovered() {
		this.instances.undiscovered().forEach(this::sendGossip);
	}

	private boolean isLocalZone(AvailabilityZone zone) {
		return zone.equals(this.settings.zone());
	}

	private List<InstanceView.Instance> others() {
		List<InstanceView.Instance> others = new ArrayList<>(this.instances.all());
		others.removeIf((instance) -> instance.id().equals(this.settings.instance()));
		return others;
	}

	private synchronized Optional<InstanceView.Instance> pickRandom(List<InstanceView.Instance> candidates) {
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	/**
	 * Tells all instances which shards this instance is the home of.
	 */
	public void announceHomes() {
		this.membership.mergeShards(this.homes.statuses(), this.clock.nowMillis());
		broadcast();
	}

	/**
	 * Sends gossip to all instances at once, for urgent news.
	 */
	public void broadcast() {
		others().forEach(this::sendGossip);
	}

	/**
	 * Sends gossip to all instances at once and waits for their confirmations.
	 * @return completes when every instance has confirmed, has failed or has exceeded a
	 * timeout of 300 ms
	 */
	public Mono<Void> broadcastAndConfirm() {
		return Flux.fromIterable(others())
			.flatMap(
					(target) -> Mono
						.fromFuture(this.peers.request(target.id(), target.address(),
								gossipMessage(isLocalZone(target.zone())), CONFIRM_TIMEOUT_MILLIS))
						.onErrorResume((failure) -> Mono.empty()),
					Integer.MAX_VALUE)
			.then();
	}

	private void sendGossip(InstanceView.Instance target) {
		this.peers.send(target.id(), target.address(), gossipMessage(isLocalZone(target.zone())));
	}

	private Message.Gossip gossipMessage(boolean isSameZone) {
		long now = this.clock.nowMillis();
		ConfigurationState state = this.activeConfiguration.state();
		List<String> zoneCommands = state.unconfirmedZoneCommands().stream().map(Documents::write).toList();
		List<Member> members;
		List<ShardStatus> shards;
		synchronized (this) {
			members = isSameZone ? this.membership.gossipMembers(now, this.random) : List.of(this.membership.self());
			shards = new ArrayList<>(this.membership.gossipShards(isSameZone, now, this.random));
		}
		if (isSameZone) {
			// Shows an instance that has just started which shards have had a home.
			shards.addAll(this.homes.statuses());
		}
		return new Message.Gossip(members, shards, state.configuration().offset(), state.configuration().digest(),
				zoneCommands, this.crashes.entries(), position(this.operatorTable), position(this.endpointTable),
				this.routingVersion.getAsLong());
	}

	/**
	 * Handles a heartbeat of a peer in the same zone; one of an unknown incarnation is
	 * ignored.
	 * @param peer the sender
	 * @param heartbeat the message
	 */
	public void receive(InstanceId peer, Message.Heartbeat heartbeat) {
		long now = this.clock.nowMillis();
		this.membership.recordHeartbeat(peer, heartbeat.incarnation(), heartbeat.sequence(), now)
			.ifPresent((member) -> {
				List<ShardStatus> statuses = new ArrayList<>();
				for (Message.ShardLoad load : heartbeat.loads()) {
					ShardId shard = new ShardId(this.settings.zone(), load.index());
					statuses.add(new ShardStatus(shard, member.id(), member.address(), now, load.summary()));
				}
				this.homes.jointStart().recordShards(statuses);
				this.membership.mergeShards(statuses, now);
				fetchIfNewer(member, heartbeat.offset());
				handleTablePositions(member, heartbeat.operatorTable(), heartbeat.endpointTable(),
						heartbeat.routingVersion());
				if (this.reading != null) {
					this.reading.receive(member.id(), member.address(), heartbeat);
				}
			});
	}

	/**
	 * Merges the gossip of a peer.
	 * @param gossip the message, whose first member is the sender
	 */
	public void receive(Message.Gossip gossip) {
		if (gossip.members().isEmpty()) {
			return;
		}
		long now = this.clock.nowMillis();
		Member sender = gossip.members().get(0);
		boolean isNew = isLocalZone(sender.zone()) && !this.membership.isKnown(sender);
		this.homes.jointStart().recordMembers(gossip.members(), this.membership.self().heartbeat());
		this.homes.jointStart().recordShards(gossip.shards());
		this.membership.mergeMembers(gossip.members(), now);
		this.membership.mergeShards(gossip.shards(), now);
		if (this.crashes.merge(gossip.crashes(), now)) {
			broadcast();
		}
		if (!gossip.zoneCommands().isEmpty()) {
			this.activeConfiguration.applyZoneCommands(
					gossip.zoneCommands().stream().map((json) -> Documents.read(json, ZoneCommand.class)).toList());
		}
		if (isNew || isUnansweredHome(sender, gossip.shards(), now)) {
			sendGossip(new InstanceView.Instance(sender.id(), sender.zone(), sender.address()));
		}
		fetchIfNewer(sender, gossip.offset());
		handleTablePositions(sender, gossip.operatorTable(), gossip.endpointTable(), gossip.routingVersion());
	}

	// A home that has just started waits until it knows when the instances of other zones
	// have started.
	private boolean isUnansweredHome(Member sender, List<ShardStatus> shards, long now) {
		boolean isYoung = now - this.membership.self().incarnation() < MAX_ANSWERING_AGE_MILLIS;
		if (!isYoung || isLocalZone(sender.zone())
				|| shards.stream().noneMatch((status) -> status.home().equals(sender.id()))) {
			return false;
		}
		Long answered = this.answeredHomes.put(sender.id(), sender.incarnation());
		return answered == null || answered != sender.incarnation();
	}

	// The log usually delivers the same change soon, so a peer is queried only after a
	// delay.
	private synchronized boolean isOverdue(long offset) {
		long now = this.clock.nowMillis();
		if (this.awaitedOffset <= this.activeConfiguration.configuration().offset()) {
			this.awaitedOffset = offset;
			this.awaitedSinceMillis = now;
		}
		boolean hasConfiguration = this.activeConfiguration.isLoaded();
		return !hasConfiguration || now - this.awaitedSinceMillis >= LOG_DELIVERY_MILLIS;
	}

	private void fetchIfNewer(Member from, long offset) {
		boolean isNewer = offset > this.activeConfiguration.configuration().offset();
		if (!isNewer || !isOverdue(offset) || !this.isFetching.compareAndSet(false, true)) {
			return;
		}
		Message request = new Message.ConfigurationFetch(this.activeConfiguration.configuration().offset());
		this.peers.request(from.id(), from.address(), request, FETCH_TIMEOUT_MILLIS)
			.whenComplete((reply, failure) -> this.isFetching.set(false))
			.thenAccept((reply) -> {
				if (reply instanceof Message.ConfigurationContent content) {
					this.activeConfiguration.merge(Documents.read(content.snapshot(), Configuration.Snapshot.class));
				}
			});
	}

}
