package org.poplarloom.core.process;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * An entry instance as its peers know it.
 * <p>
 * A higher incarnation replaces a lower one; within an incarnation the heartbeat only
 * grows. This class is immutable and thread-safe.
 *
 * @param id the instance
 * @param zone the zone that it runs in
 * @param address the host and port for peers
 * @param incarnation when its process started, in milliseconds since the epoch
 * @param heartbeat a counter that grows while the process runs
 * @param isLeaving whether it is shutting down
 */
public record Member(InstanceId id, AvailabilityZone zone, String address, long incarnation, long heartbeat,
		boolean isLeaving) {

	/**
	 * Says whether this is later news of the same instance.
	 * @param other the earlier news
	 * @return true if the incarnation or the heartbeat is higher
	 */
	public boolean isNewerThan(Member other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.heartbeat > other.heartbeat;
	}

	/**
	 * Returns the member after one more heartbeat.
	 * @return a newer member
	 */
	public Member plusHeartbeat() {
		return withHeartbeat(this.heartbeat + 1);
	}

	/**
	 * Returns the member with another heartbeat.
	 * @param newHeartbeat the heartbeat
	 * @return the member
	 */
	public Member withHeartbeat(long newHeartbeat) {
		return new Member(this.id, this.zone, this.address, this.incarnation, newHeartbeat, this.isLeaving);
	}

	/**
	 * Returns the member as one that is shutting down.
	 * @return a newer member
	 */
	public Member withLeaving() {
		return new Member(this.id, this.zone, this.address, this.incarnation, this.heartbeat + 1, true);
	}

}
