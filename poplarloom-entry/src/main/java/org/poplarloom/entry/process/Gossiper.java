package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegister;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.ZoneOrder;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ConfigurationKeeper;
import org.poplarloom.platform.port.InstanceListPort.Listed;
import org.poplarloom.wire.message.Message;

/**
 * Spreads membership, shard homes, crashes and the configuration's version among
 * instances.
 * <p>
 * Each round goes to a few peers of the zone and one of another zone; a new configuration
 * or zone order starts a round at once. A peer that holds an older configuration fetches
 * the newer one. This class is thread-safe.
 */
public final class Gossiper {

	private static final int ZONE_FANOUT = 3;

	private static final int OTHER_FANOUT = 1;

	private static final int URGENT_FANOUT = 64;

	private static final long FORGET_MILLIS = 120_000;

	private static final long FETCH_TIMEOUT_MILLIS = 2_000;

	private final Settings settings;

	private final MembershipTable membership;

	private final ConfigurationKeeper keeper;

	private final CrashRegister crashes;

	private final EndpointDirectory directory;

	private final HomeTable homes;

	private final Peers peers;

	private final Clock clock;

	private final Random random;

	public Gossiper(Settings settings, MembershipTable membership, ConfigurationKeeper keeper, CrashRegister crashes,
			EndpointDirectory directory, HomeTable homes, Peers peers, Clock clock) {
		this.settings = settings;
		this.membership = membership;
		this.keeper = keeper;
		this.crashes = crashes;
		this.directory = directory;
		this.homes = homes;
		this.peers = peers;
		this.clock = clock;
		this.random = new Random(settings.instance().value().hashCode());
		keeper.listen((state) -> spread(URGENT_FANOUT, URGENT_FANOUT));
	}

	/**
	 * Starts the next regular round.
	 */
	public void tick() {
		this.membership.heartbeat();
		this.membership.mergeShards(this.homes.statuses(), this.clock.nowMillis());
		this.membership.forgetSilent(FORGET_MILLIS, this.clock.nowMillis());
		this.crashes.expire(this.clock.nowMillis());
		spread(ZONE_FANOUT, OTHER_FANOUT);
	}

	/**
	 * Tells as many peers as possible at once, for news that must not wait.
	 */
	public void spreadUrgently() {
		spread(URGENT_FANOUT, URGENT_FANOUT);
	}

	private void spread(int zoneFanout, int otherFanout) {
		Message.Gossip message = message();
		List<Target> near = new ArrayList<>();
		List<Target> far = new ArrayList<>();
		for (Target target : targets()) {
			(target.zone().equals(this.settings.zone()) ? near : far).add(target);
		}
		sendToSome(near, zoneFanout, message);
		sendToSome(far, otherFanout, message);
	}

	private synchronized void sendToSome(List<Target> targets, int fanout, Message message) {
		Collections.shuffle(targets, this.random);
		for (Target target : targets.subList(0, Math.min(fanout, targets.size()))) {
			this.peers.send(target.instance(), target.address(), message);
		}
	}

	private List<Target> targets() {
		List<Target> targets = new ArrayList<>();
		List<InstanceId> known = new ArrayList<>();
		known.add(this.settings.instance());
		for (Member member : this.membership.allLive(this.clock.nowMillis())) {
			if (!known.contains(member.id())) {
				known.add(member.id());
				targets.add(new Target(member.id(), member.zone(), member.address()));
			}
		}
		for (Listed listed : this.directory.listed()) {
			boolean isEntry = listed.kind().equals(Listed.ENTRY);
			if (isEntry && !known.contains(InstanceId.of(listed.id()))) {
				targets
					.add(new Target(InstanceId.of(listed.id()), AvailabilityZone.of(listed.zone()), listed.address()));
			}
		}
		return targets;
	}

	private Message.Gossip message() {
		long now = this.clock.nowMillis();
		ConfigurationState state = this.keeper.state();
		List<String> orders = state.unconfirmedOrders().stream().map(Documents::write).toList();
		List<Member> members;
		List<ShardStatus> shards;
		synchronized (this) {
			members = this.membership.gossipMembers(now, this.random);
			shards = this.membership.gossipShards(now);
		}
		return new Message.Gossip(members, shards, state.configuration().offset(), state.configuration().digest(),
				orders, this.crashes.entries());
	}

	/**
	 * Takes over what a peer told.
	 * @param gossip the message
	 */
	public void receive(Message.Gossip gossip) {
		long now = this.clock.nowMillis();
		this.membership.mergeMembers(gossip.members(), now);
		this.membership.mergeShards(gossip.shards(), now);
		this.crashes.merge(gossip.crashes());
		if (!gossip.orders().isEmpty()) {
			this.keeper.order(gossip.orders().stream().map((json) -> Documents.read(json, ZoneOrder.class)).toList());
		}
		if (gossip.offset() > this.keeper.configuration().offset() && !gossip.members().isEmpty()) {
			fetch(gossip.members().get(0));
		}
	}

	private void fetch(Member from) {
		Message question = new Message.ConfigurationFetch(this.keeper.configuration().offset());
		this.peers.request(from.id(), from.address(), question, FETCH_TIMEOUT_MILLIS).thenAccept((reply) -> {
			if (reply instanceof Message.ConfigurationContent content) {
				this.keeper.replace(Configuration.of(Documents.read(content.snapshot(), Configuration.Snapshot.class)));
			}
		});
	}

	/**
	 * A peer to send to.
	 */
	private record Target(InstanceId instance, AvailabilityZone zone, String address) {
	}

}
