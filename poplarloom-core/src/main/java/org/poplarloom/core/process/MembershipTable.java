package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * The instances of the zone and the shard homes that an instance knows.
 * <p>
 * Only members of the own zone are kept. A member is live while its heartbeat has grown
 * within the failure timeout, judged by the local clock alone. News of an instance is
 * replaced only by newer news. This class is thread-safe; one lock guards its tables and
 * no other lock is taken while it is held.
 */
public final class MembershipTable {

	/** The most members in one gossip message. */
	public static final int GOSSIP_MEMBERS = 8;

	/** The most shard statuses in one gossip message. */
	public static final int GOSSIP_SHARDS = 6;

	/**
	 * How much longer shard statuses of other zones stay valid, as they come less often.
	 */
	private static final int OTHER_ZONE_FACTOR = 4;

	private final long failureTimeoutMillis;

	private final Map<InstanceId, Observed<Member>> members = new TreeMap<>();

	private final Map<ShardId, Observed<ShardStatus>> shards = new HashMap<>();

	private Member self;

	private MembershipTable(Member self, long failureTimeoutMillis) {
		this.self = self;
		this.failureTimeoutMillis = failureTimeoutMillis;
	}

	/**
	 * Returns a table that holds only the local instance.
	 * @param self the local instance
	 * @param failureTimeoutMillis how long a heartbeat may stand still, in milliseconds
	 * @return the table
	 */
	public static MembershipTable of(Member self, long failureTimeoutMillis) {
		return new MembershipTable(self, failureTimeoutMillis);
	}

	/**
	 * Counts one more heartbeat of the local instance.
	 * @return the local instance
	 */
	public synchronized Member heartbeat() {
		this.self = this.self.plusHeartbeat();
		return this.self;
	}

	/**
	 * Returns the local instance.
	 * @return the local instance, never null
	 */
	public synchronized Member self() {
		return this.self;
	}

	/**
	 * Marks the local instance as shutting down.
	 */
	public synchronized void leave() {
		this.self = this.self.withLeaving();
	}

	/**
	 * Takes over members that a peer sent.
	 * @param news the members
	 * @param nowMillis the local time in milliseconds
	 */
	public synchronized void mergeMembers(Collection<Member> news, long nowMillis) {
		for (Member member : news) {
			Observed<Member> known = this.members.get(member.id());
			boolean isOther = !member.id().equals(this.self.id()) && member.zone().equals(this.self.zone());
			if (isOther && (known == null || member.isNewerThan(known.value()))) {
				this.members.put(member.id(), new Observed<>(member, nowMillis));
			}
		}
	}

	/**
	 * Notes a heartbeat that came from the member itself.
	 * @param id the member
	 * @param incarnation the incarnation of its process
	 * @param beat the heartbeat
	 * @param nowMillis the local time in milliseconds
	 * @return the member, or empty if this incarnation was never introduced
	 */
	public synchronized Optional<Member> beat(InstanceId id, long incarnation, long beat, long nowMillis) {
		Observed<Member> known = this.members.get(id);
		if (known == null || known.value().incarnation() != incarnation) {
			return Optional.empty();
		}
		Member member = known.value().withHeartbeat(Math.max(beat, known.value().heartbeat()));
		if (beat > known.value().heartbeat()) {
			this.members.put(id, new Observed<>(member, nowMillis));
		}
		return Optional.of(member);
	}

	/**
	 * Says whether an incarnation of a member is known.
	 * @param member the member
	 * @return true if it was introduced before
	 */
	public synchronized boolean isKnown(Member member) {
		Observed<Member> known = this.members.get(member.id());
		return known != null && known.value().incarnation() == member.incarnation();
	}

	/**
	 * Takes over shard statuses that a peer sent.
	 * @param news the statuses
	 * @param nowMillis the local time in milliseconds
	 */
	public synchronized void mergeShards(Collection<ShardStatus> news, long nowMillis) {
		for (ShardStatus status : news) {
			Observed<ShardStatus> known = this.shards.get(status.shard());
			if (known == null || status.updatedMillis() > known.value().updatedMillis()) {
				this.shards.put(status.shard(), new Observed<>(status, nowMillis));
			}
		}
	}

	/**
	 * Forgets members that have been silent for a long time.
	 * @param silentMillis the time in milliseconds
	 * @param nowMillis the local time in milliseconds
	 */
	public synchronized void forgetSilent(long silentMillis, long nowMillis) {
		this.members.values().removeIf((entry) -> entry.atMillis() + silentMillis < nowMillis);
		this.shards.values().removeIf((entry) -> entry.atMillis() + silentMillis < nowMillis);
	}

	/**
	 * Returns the live members of a zone, with the local instance if it is one.
	 * @param zone the zone
	 * @param nowMillis the local time in milliseconds
	 * @return members that are not shutting down, in ascending order
	 */
	public synchronized List<Member> live(AvailabilityZone zone, long nowMillis) {
		return allLive(nowMillis).stream()
			.filter((member) -> member.zone().equals(zone) && !member.isLeaving())
			.toList();
	}

	/**
	 * Returns all live members, with the local instance and those shutting down.
	 * @param nowMillis the local time in milliseconds
	 * @return the members in ascending order
	 */
	public synchronized List<Member> allLive(long nowMillis) {
		List<Member> live = new ArrayList<>();
		live.add(this.self);
		for (Observed<Member> entry : this.members.values()) {
			if (isRecent(entry, entry.value().zone(), nowMillis)) {
				live.add(entry.value());
			}
		}
		live.sort(Comparator.comparing(Member::id));
		return live;
	}

	/**
	 * Finds the home of a shard in the local zone.
	 * @param shard the shard
	 * @param nowMillis the local time in milliseconds
	 * @return the live member with the highest weight, or empty
	 */
	public Optional<Member> home(ShardId shard, long nowMillis) {
		List<Member> live = live(shard.zone(), nowMillis);
		List<InstanceId> ids = live.stream().map(Member::id).toList();
		Optional<InstanceId> chosen = Rendezvous.choose(shard.toString(), ids);
		return chosen.flatMap((id) -> live.stream().filter((member) -> member.id().equals(id)).findFirst());
	}

	/**
	 * Returns the shard homes heard of recently.
	 * @param nowMillis the local time in milliseconds
	 * @return the statuses in no particular order
	 */
	public synchronized List<ShardStatus> liveShards(long nowMillis) {
		return this.shards.values()
			.stream()
			.filter((entry) -> isRecent(entry, entry.value().shard().zone(), nowMillis))
			.map(Observed::value)
			.toList();
	}

	/**
	 * Returns members to tell a peer of the same zone.
	 * @param nowMillis the local time in milliseconds
	 * @param random the source of the choice when there are too many
	 * @return the local instance first, then live members of the zone
	 */
	public synchronized List<Member> gossipMembers(long nowMillis, Random random) {
		List<Member> others = new ArrayList<>(allLive(nowMillis));
		others.removeIf((member) -> member.id().equals(this.self.id()));
		Collections.shuffle(others, random);
		List<Member> chosen = new ArrayList<>();
		chosen.add(this.self);
		chosen.addAll(others.subList(0, Math.min(others.size(), GOSSIP_MEMBERS - 1)));
		return chosen;
	}

	/**
	 * Returns shard statuses to tell a peer.
	 * <p>
	 * A peer of the same zone hears of other zones, a peer of another zone of this one.
	 * @param isSameZone whether the peer is in the same zone
	 * @param nowMillis the local time in milliseconds
	 * @param random the source of the choice when there are too many
	 * @return the statuses
	 */
	public synchronized List<ShardStatus> gossipShards(boolean isSameZone, long nowMillis, Random random) {
		List<ShardStatus> candidates = new ArrayList<>(liveShards(nowMillis));
		candidates.removeIf((status) -> status.shard().zone().equals(this.self.zone()) == isSameZone);
		Collections.shuffle(candidates, random);
		return candidates.subList(0, Math.min(candidates.size(), GOSSIP_SHARDS));
	}

	private boolean isRecent(Observed<?> entry, AvailabilityZone zone, long nowMillis) {
		int factor = zone.equals(this.self.zone()) ? 1 : OTHER_ZONE_FACTOR;
		return nowMillis - entry.atMillis() <= this.failureTimeoutMillis * factor;
	}

	/**
	 * A value and the local time at which it was learnt.
	 */
	private record Observed<T>(T value, long atMillis) {
	}

}
