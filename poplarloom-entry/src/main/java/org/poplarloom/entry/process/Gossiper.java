package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegister;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.ZoneOrder;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ConfigurationKeeper;
import org.poplarloom.wire.message.Message;

/**
 * Spreads membership, shard homes, crashes and the configuration's version among
 * instances.
 * <p>
 * Heartbeats go to every instance of the zone; gossip goes to one instance of the zone
 * and one of another zone, and to everybody at once when there is urgent news. The
 * periods grow with the zone, so that the bytes an instance sends a second stay bounded.
 * A peer that holds an older configuration fetches the newer one. This class is
 * thread-safe.
 */
public final class Gossiper {

	/** How often {@link #tick()} is due. */
	public static final long TICK_MILLIS = 500;

	private static final long HEARTBEAT_MILLIS_PER_MEMBER = 40;

	private static final long GOSSIP_MILLIS = 1_000;

	private static final long GOSSIP_MILLIS_PER_MEMBER = 75;

	private static final long CONFIRM_TIMEOUT_MILLIS = 300;

	private static final long LOG_GRACE_MILLIS = 1_000;

	private static final long FORGET_MILLIS = 120_000;

	private static final long FETCH_TIMEOUT_MILLIS = 2_000;

	private final Settings settings;

	private final MembershipTable membership;

	private final ConfigurationKeeper keeper;

	private final CrashRegister crashes;

	private final InstanceView instances;

	private final HomeTable homes;

	private final Peers peers;

	private final Clock clock;

	private final Random random;

	private final AtomicBoolean fetching = new AtomicBoolean();

	private long missedOffset = Publication.NO_OFFSET;

	private long missedMillis;

	private long heartbeatMillis;

	private long gossipMillis;

	public Gossiper(Settings settings, MembershipTable membership, ConfigurationKeeper keeper, CrashRegister crashes,
			InstanceView instances, HomeTable homes, Peers peers, Clock clock) {
		this.settings = settings;
		this.membership = membership;
		this.keeper = keeper;
		this.crashes = crashes;
		this.instances = instances;
		this.homes = homes;
		this.peers = peers;
		this.clock = clock;
		this.random = new Random(settings.instance().value().hashCode());
		keeper.listen((state) -> spreadUrgently());
	}

	/**
	 * Sends heartbeats and gossip that are due.
	 */
	public void tick() {
		long now = this.clock.nowMillis();
		this.membership.mergeShards(this.homes.statuses(), now);
		this.membership.forgetSilent(FORGET_MILLIS, now);
		this.crashes.expire(now);
		List<Member> near = this.membership.live(this.settings.zone(), now);
		if (now - this.heartbeatMillis >= Math.max(TICK_MILLIS, HEARTBEAT_MILLIS_PER_MEMBER * near.size())
				- TICK_MILLIS / 2) {
			this.heartbeatMillis = now;
			sendHeartbeats(near);
		}
		if (now - this.gossipMillis >= Math.max(GOSSIP_MILLIS, GOSSIP_MILLIS_PER_MEMBER * near.size())
				- TICK_MILLIS / 2) {
			this.gossipMillis = now;
			sendGossip();
		}
	}

	private void sendHeartbeats(List<Member> near) {
		Member self = this.membership.heartbeat();
		List<Message.ShardLoad> loads = new ArrayList<>();
		for (ShardStatus status : this.homes.statuses()) {
			loads.add(new Message.ShardLoad(status.shard().index(), status.summary()));
		}
		Message heartbeat = new Message.Heartbeat(self.incarnation(), self.heartbeat(),
				this.keeper.configuration().offset(), this.keeper.configuration().digest(), loads);
		for (Member member : near) {
			if (!member.id().equals(self.id())) {
				this.peers.send(member.id(), member.address(), heartbeat);
			}
		}
	}

	private void sendGossip() {
		List<InstanceView.Instance> near = new ArrayList<>();
		List<InstanceView.Instance> far = new ArrayList<>();
		for (InstanceView.Instance instance : others()) {
			(isNear(instance.zone()) ? near : far).add(instance);
		}
		this.instances.strangers().forEach(this::sendGossip);
		anyOf(near).ifPresent(this::sendGossip);
		anyOf(far).ifPresent(this::sendGossip);
	}

	private boolean isNear(AvailabilityZone zone) {
		return zone.equals(this.settings.zone());
	}

	private List<InstanceView.Instance> others() {
		List<InstanceView.Instance> others = new ArrayList<>(this.instances.all());
		others.removeIf((instance) -> instance.id().equals(this.settings.instance()));
		return others;
	}

	private synchronized Optional<InstanceView.Instance> anyOf(List<InstanceView.Instance> choices) {
		return choices.isEmpty() ? Optional.empty() : Optional.of(choices.get(this.random.nextInt(choices.size())));
	}

	/**
	 * Tells everybody at once, for news that must not wait.
	 */
	public void spreadUrgently() {
		others().forEach(this::sendGossip);
	}

	/**
	 * Tells everybody at once and waits a little until they have heard.
	 * @return completes when all have confirmed, have failed or the time is over
	 */
	public Mono<Void> spreadConfirmed() {
		return Flux.fromIterable(others())
			.flatMap((target) -> Mono
				.fromFuture(this.peers.request(target.id(), target.address(), message(isNear(target.zone())),
						CONFIRM_TIMEOUT_MILLIS))
				.onErrorResume((failure) -> Mono.empty()), Integer.MAX_VALUE)
			.then();
	}

	private void sendGossip(InstanceView.Instance target) {
		this.peers.send(target.id(), target.address(), message(isNear(target.zone())));
	}

	private Message.Gossip message(boolean isNear) {
		long now = this.clock.nowMillis();
		ConfigurationState state = this.keeper.state();
		List<String> orders = state.unconfirmedOrders().stream().map(Documents::write).toList();
		List<Member> members;
		List<ShardStatus> shards;
		synchronized (this) {
			members = isNear ? this.membership.gossipMembers(now, this.random) : List.of(this.membership.self());
			shards = this.membership.gossipShards(isNear, now, this.random);
		}
		return new Message.Gossip(members, shards, state.configuration().offset(), state.configuration().digest(),
				orders, this.crashes.entries());
	}

	/**
	 * Takes over a heartbeat of a peer in the same zone.
	 * @param peer the sender
	 * @param heartbeat the message
	 */
	public void receive(InstanceId peer, Message.Heartbeat heartbeat) {
		long now = this.clock.nowMillis();
		this.membership.beat(peer, heartbeat.incarnation(), heartbeat.beat(), now).ifPresent((member) -> {
			List<ShardStatus> statuses = new ArrayList<>();
			for (Message.ShardLoad load : heartbeat.loads()) {
				ShardId shard = new ShardId(this.settings.zone(), load.index());
				statuses.add(new ShardStatus(shard, member.id(), member.address(), now, load.summary()));
			}
			this.membership.mergeShards(statuses, now);
			fetchIfNewer(member, heartbeat.offset());
		});
	}

	/**
	 * Takes over what a peer told.
	 * @param gossip the message
	 */
	public void receive(Message.Gossip gossip) {
		if (gossip.members().isEmpty()) {
			return;
		}
		long now = this.clock.nowMillis();
		Member sender = gossip.members().get(0);
		boolean isNew = isNear(sender.zone()) && !this.membership.isKnown(sender);
		this.membership.mergeMembers(gossip.members(), now);
		this.membership.mergeShards(gossip.shards(), now);
		this.crashes.merge(gossip.crashes());
		if (!gossip.orders().isEmpty()) {
			this.keeper.order(gossip.orders().stream().map((json) -> Documents.read(json, ZoneOrder.class)).toList());
		}
		if (isNew) {
			sendGossip(new InstanceView.Instance(sender.id(), sender.zone(), sender.address()));
		}
		fetchIfNewer(sender, gossip.offset());
	}

	// The log usually brings the same change at once, so it is given a little time.
	private synchronized boolean isOverdue(long offset) {
		long now = this.clock.nowMillis();
		if (this.missedOffset <= this.keeper.configuration().offset()) {
			this.missedOffset = offset;
			this.missedMillis = now;
		}
		boolean hasNothing = !this.keeper.isLoaded();
		return hasNothing || now - this.missedMillis >= LOG_GRACE_MILLIS;
	}

	private void fetchIfNewer(Member from, long offset) {
		boolean isNewer = offset > this.keeper.configuration().offset();
		if (!isNewer || !isOverdue(offset) || !this.fetching.compareAndSet(false, true)) {
			return;
		}
		Message question = new Message.ConfigurationFetch(this.keeper.configuration().offset());
		this.peers.request(from.id(), from.address(), question, FETCH_TIMEOUT_MILLIS)
			.whenComplete((reply, failure) -> this.fetching.set(false))
			.thenAccept((reply) -> {
				if (reply instanceof Message.ConfigurationContent content) {
					this.keeper.learn(Documents.read(content.snapshot(), Configuration.Snapshot.class));
				}
			});
	}

}
