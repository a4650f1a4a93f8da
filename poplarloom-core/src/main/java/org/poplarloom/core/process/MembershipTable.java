package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * The live instances of the local zone and the shard homes of all zones, as learnt from
 * gossip. The home of a shard is the instance that grants the shard's endpoints.
 * <p>
 * Only members of the local zone are kept. A member is live if its heartbeat sequence has
 * grown within the failure timeout, measured by the local clock. An update replaces only
 * older information. This class is thread-safe; one lock guards its tables and no other
 * lock is taken while it is held.
 */
public final class MembershipTable {

	/** Maximum number of members in one gossip message. */
	public static final int MAX_GOSSIP_MEMBERS = 8;

	/** Maximum number of shard statuses in one gossip message. */
	public static final int MAX_GOSSIP_SHARDS = 6;

	/**
	 * Factor on the failure timeout for shard statuses of other zones, which arrive less
	 * often.
	 */
	private static final int OTHER_ZONE_TIMEOUT_FACTOR = 4;

	private final long failureTimeoutMillis;

	private final Map<InstanceId, Observed<Member>> members = new TreeMap<>();

	private final Map<ShardId, Observed<ShardStatus>> shards = new HashMap<>();

	private Member self;

	private MembershipTable(Member self, long failureTimeoutMillis) {
		this.self = self;
		this.failureTimeoutMillis = failureTimeoutMillis;
	}

	/**
	 * Returns a table with only the local instance.
	 * @param self the local instance
	 * @param failureTimeoutMillis how long a member is live without a new heartbeat, in
	 * milliseconds
	 * @return the table
	 */
	public static MembershipTable of(Member self, long failureTimeoutMillis) {
		return new MembershipTable(self, failureTimeoutMillis);
	}

	/**
	 * Increments the heartbeat sequence of the local instance.
	 * @return the local instance, never null
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
	 * Marks the local instance as draining.
	 */
	public synchronized void startDraining() {
		this.self = this.self.withDraining();
	}

	/**
	 * Merges members that a peer has sent; those of other zones and the local instance
	 * are ignored.
	 * @param updates the members
	 * @param nowMillis the local time in milliseconds
	 */
	public synchronized void mergeMembers(Collection<Member> updates, long nowMillis) {
		for (Member member : updates) {
			Observed<Member> known = this.members.get(member.id());
			boolean isZonePeer = !member.id().equals(this.self.id()) && member.zone().equals(this.self.zone());
			if (isZonePeer && (known == null || member.isNewerThan(known.value()))) {
				this.members.put(member.id(), new Observed<>(member, nowMillis));
			}
		}
	}

	/**
	 * Records a heartbeat that the member itself has sent.
	 * @param id the member
	 * @param incarnation the incarnation of its process
	 * @param heartbeat the heartbeat sequence
	 * @param nowMillis the local time in milliseconds
	 * @return the member, or empty if this incarnation is not known from gossip
	 */
	public synchronized Optional<Member> recordHeartbeat(InstanceId id, long incarnation, long heartbeat,
			long nowMillis) {
		Observed<Member> known = this.members.get(id);
		if (known == null || known.value().incarnation() != incarnation) {
			return Optional.empty();
		}
		Member member = known.value().withHeartbeat(Math.max(heartbeat, known.value().heartbeat()));
		if (heartbeat > known.value().heartbeat()) {
			this.members.put(id, new Observed<>(member, nowMillis));
		}
		return Optional.of(member);
	}

	/**
	 * Returns whether this incarnation of a member is known.
	 * @param member the member
	 * @return true if the table has the member in the same incarnation
	 */
	public synchronized boolean isKnown(Member member) {
		Observed<Member> known = this.members.get(member.id());
		return known != null && known.value().incarnation() == member.incarnation();
	}

	/**
	 * Merges shard statuses that a peer has sent.
	 * @param updates the statuses
	 * @param nowMillis the local time in milliseconds
	 */
	public synchronized void mergeShards(Collection<ShardStatus> updates, long nowMillis) {
		for (ShardStatus status : updates) {
			Observed<ShardStatus> known = this.shards.get(status.shard());
			if (known == null || status.updatedMillis() > known.value().updatedMillis()) {
				this.shards.put(status.shard(), new Observed<>(status, nowMillis));
			}
		}
	}

	/**
	 * Removes members and shard statuses without a recent update.
	 * @param silentMillis how long an entry is kept without an update, in milliseconds
	 * @param nowMillis the local time in milliseconds
	 */
	public synchronized void removeSilent(long silentMillis, long nowMillis) {
		this.members.values().removeIf((entry) -> entry.receivedMillis() + silentMillis < nowMillis);
		this.shards.values().removeIf((entry) -> entry.receivedMillis() + silentMillis < nowMillis);
	}

	/**
	 * Returns whether a member has fallen silent without draining first. It has ended, or
	 * it runs and cannot be heard.
	 * @param maxSilentMillis the silence after which a member is taken for ended, in
	 * milliseconds
	 * @param nowMillis the local time in milliseconds
	 * @return true if there is a member that is not live and has been silent for at most
	 * that time
	 */
	public synchronized boolean hasSilentMember(long maxSilentMillis, long nowMillis) {
		return this.members.values()
			.stream()
			.anyMatch((entry) -> !entry.value().isDraining() && !isRecent(entry, entry.value().zone(), nowMillis)
					&& entry.receivedMillis() + maxSilentMillis >= nowMillis);
	}

	/**
	 * Returns the live members of a zone that are not draining. The local instance is one
	 * of them if it is in the zone and not draining.
	 * @param zone the zone
	 * @param nowMillis the local time in milliseconds
	 * @return the members in ascending order
	 */
	public synchronized List<Member> live(AvailabilityZone zone, long nowMillis) {
		List<Member> live = allLive(nowMillis);
		live.removeIf((member) -> member.isDraining() || !member.zone().equals(zone));
		return live;
	}

	/**
	 * Returns all live members, including the local instance and draining ones.
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
	 * Finds the home of a shard in the local zone by rendezvous hashing. Small instances
	 * are passed over while a larger one is live, and draining ones while another one is
	 * live: the last instance of a zone grants endpoints to its requests until it ends.
	 * @param shard the shard
	 * @param nowMillis the local time in milliseconds
	 * @return the live member with the highest weight among those with at least half as
	 * many cores as the largest, or empty if there is none
	 */
	public Optional<Member> home(ShardId shard, long nowMillis) {
		List<Member> serving = live(shard.zone(), nowMillis);
		List<Member> live = !serving.isEmpty() ? serving
				: allLive(nowMillis).stream().filter((member) -> member.zone().equals(shard.zone())).toList();
		Map<InstanceId, Member> candidates = new LinkedHashMap<>();
		largest(live).forEach((member) -> candidates.put(member.id(), member));
		return RendezvousHashing.choose(shard.toString(), candidates.keySet()).map(candidates::get);
	}

	// While a member of an older version does not name its cores, all members count as
	// equal, as they do for that member.
	private static List<Member> largest(List<Member> live) {
		double smallest = Double.MAX_VALUE;
		double most = 0;
		for (Member member : live) {
			smallest = Math.min(smallest, member.cpuCores());
			most = Math.max(most, member.cpuCores());
		}
		if (smallest <= 0 || smallest * 2 >= most) {
			return live;
		}
		double required = most;
		return live.stream().filter((member) -> member.cpuCores() * 2 >= required).toList();
	}

	/**
	 * Returns the statuses of shard homes that were updated recently.
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
	 * Returns how long ago the last status of each shard's home was received. The home's
	 * own clock does not count, as it may differ or jump.
	 * @param nowMillis the local time in milliseconds
	 * @return the ages in milliseconds
	 */
	public synchronized Map<ShardId, Long> statusAges(long nowMillis) {
		Map<ShardId, Long> ages = new HashMap<>();
		this.shards.forEach((shard, entry) -> ages.put(shard, nowMillis - entry.receivedMillis()));
		return ages;
	}

	/**
	 * Returns the zones of which a shard's home has been heard, recently or not.
	 * @return the zones
	 */
	public synchronized Set<AvailabilityZone> zonesWithShards() {
		Set<AvailabilityZone> zones = new HashSet<>();
		this.shards.keySet().forEach((shard) -> zones.add(shard.zone()));
		return zones;
	}

	/**
	 * Returns the members to send to a peer of the same zone.
	 * @param nowMillis the local time in milliseconds
	 * @param random selects the members if there are more than one message may have
	 * @return the local instance first, then live members of the zone, at most
	 * {@link #MAX_GOSSIP_MEMBERS} in all
	 */
	public synchronized List<Member> gossipMembers(long nowMillis, Random random) {
		List<Member> others = new ArrayList<>(allLive(nowMillis));
		others.removeIf((member) -> member.id().equals(this.self.id()));
		Collections.shuffle(others, random);
		List<Member> chosen = new ArrayList<>();
		chosen.add(this.self);
		chosen.addAll(others.subList(0, Math.min(others.size(), MAX_GOSSIP_MEMBERS - 1)));
		return chosen;
	}

	/**
	 * Returns the shard statuses to send to a peer.
	 * <p>
	 * A peer of the same zone is sent statuses of other zones, a peer of another zone
	 * those of the local zone.
	 * @param isSameZone whether the peer is in the same zone
	 * @param nowMillis the local time in milliseconds
	 * @param random selects the statuses if there are more than one message may have
	 * @return at most {@link #MAX_GOSSIP_SHARDS} statuses
	 */
	public synchronized List<ShardStatus> gossipShards(boolean isSameZone, long nowMillis, Random random) {
		List<ShardStatus> candidates = new ArrayList<>(liveShards(nowMillis));
		candidates.removeIf((status) -> status.shard().zone().equals(this.self.zone()) == isSameZone);
		Collections.shuffle(candidates, random);
		return candidates.subList(0, Math.min(candidates.size(), MAX_GOSSIP_SHARDS));
	}

	private boolean isRecent(Observed<?> entry, AvailabilityZone zone, long nowMillis) {
		int factor = zone.equals(this.self.zone()) ? 1 : OTHER_ZONE_TIMEOUT_FACTOR;
		return nowMillis - entry.receivedMillis() <= this.failureTimeoutMillis * factor;
	}

	/**
	 * A value and the local time at which it was received.
	 */
	private record Observed<T>(T value, long receivedMillis) {
	}

}
