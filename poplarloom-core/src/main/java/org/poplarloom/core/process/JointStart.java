package org.poplarloom.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.poplarloom.core.InstanceId;

/**
 * Shows whether all instances have started together with the local one, so that none of
 * them can hold a grant of an earlier home.
 * <p>
 * Only what was heard counts: an instance that is listed but has not been heard may have
 * kept running. Once an instance that started earlier, or a second start of the same
 * instance, has been heard, the answer stays no. Starts are compared by the clocks of the
 * machines and by the heartbeats sent since, as clocks may differ. This class is
 * thread-safe; its lock guards its tables and no other lock is taken while it is held.
 */
public final class JointStart {

	/** The shortest time between two heartbeats of an instance, in milliseconds. */
	private static final long MIN_HEARTBEAT_PERIOD_MILLIS = 250;

	private final Member own;

	private final long maxSpreadMillis;

	private final Map<InstanceId, Long> incarnations = new HashMap<>();

	private final Set<ShardId> shardsWithOtherHome = new HashSet<>();

	private boolean isEarlierStartKnown;

	/**
	 * Creates the state of an instance that has heard of no other.
	 * @param own the local instance at its start
	 * @param maxSpreadMillis how much earlier the others may have started, in
	 * milliseconds
	 */
	public JointStart(Member own, long maxSpreadMillis) {
		this.own = own;
		this.maxSpreadMillis = maxSpreadMillis;
	}

	/**
	 * Records instances of any zone that were heard of.
	 * @param members the instances; the local one is ignored
	 * @param ownHeartbeat the current heartbeat sequence of the local instance
	 */
	public synchronized void recordMembers(Collection<Member> members, long ownHeartbeat) {
		for (Member member : members) {
			if (member.id().equals(this.own.id())) {
				continue;
			}
			Long known = this.incarnations.put(member.id(), member.incarnation());
			if (known == null) {
				long maxHeartbeat = ownHeartbeat + this.maxSpreadMillis / MIN_HEARTBEAT_PERIOD_MILLIS + 1;
				this.isEarlierStartKnown |= member.incarnation() < this.own.incarnation() - this.maxSpreadMillis
						|| member.heartbeat() > maxHeartbeat;
			}
			else {
				this.isEarlierStartKnown |= known != member.incarnation();
			}
		}
	}

	/**
	 * Records the homes of shards that were heard of.
	 * @param statuses the statuses of the shards
	 */
	public synchronized void recordShards(Collection<ShardStatus> statuses) {
		for (ShardStatus status : statuses) {
			if (!status.home().equals(this.own.id())) {
				this.shardsWithOtherHome.add(status.shard());
			}
		}
	}

	/**
	 * Records that the local instance is no longer the home of a shard. Its grants are
	 * unknown to any later home, also to one in the same instance.
	 * @param shard the shard
	 */
	public synchronized void recordStepDown(ShardId shard) {
		this.shardsWithOtherHome.add(shard);
	}

	/**
	 * Returns whether no instance can hold a grant that an earlier home of a shard made.
	 * @param shard a shard of which the local instance is the home
	 * @param listed the instances that the platform lists, in all zones
	 * @return true if the local instance is listed, all others were heard and started
	 * together with it, and no other home of the shard was heard
	 */
	public synchronized boolean isFirstHome(ShardId shard, Set<InstanceId> listed) {
		return !this.isEarlierStartKnown && !this.shardsWithOtherHome.contains(shard) && listed.contains(this.own.id())
				&& listed.stream().allMatch((id) -> id.equals(this.own.id()) || this.incarnations.containsKey(id));
	}

}
