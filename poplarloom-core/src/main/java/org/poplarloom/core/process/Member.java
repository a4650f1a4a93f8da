package org.poplarloom.core.process;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * An entry instance in the membership protocol.
 * <p>
 * A higher incarnation replaces a lower one; within an incarnation the heartbeat sequence
 * only grows. This class is immutable and thread-safe.
 *
 * @param id the instance
 * @param zone the zone that it runs in
 * @param address the host and port at which peers reach it
 * @param incarnation when its process started, in milliseconds since the epoch
 * @param heartbeat the heartbeat sequence, which grows while the process runs
 * @param isDraining whether it is draining
 * @param cpuCores the cores that it may use, 0 if unknown
 */
public record Member(InstanceId id, AvailabilityZone zone, String address, long incarnation, long heartbeat,
		boolean isDraining, double cpuCores) {

	/**
	 * Returns whether this is a newer state of the same instance.
	 * @param other the state to compare with
	 * @return true if the incarnation or the heartbeat is higher
	 */
	public boolean isNewerThan(Member other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.heartbeat > other.heartbeat;
	}

	/**
	 * Returns the member with its heartbeat sequence incremented.
	 * @return a newer state of the member
	 */
	public Member plusHeartbeat() {
		return withHeartbeat(this.heartbeat + 1);
	}

	/**
	 * Returns the member with another heartbeat sequence.
	 * @param newHeartbeat the heartbeat sequence
	 * @return the member
	 */
	public Member withHeartbeat(long newHeartbeat) {
		return new Member(this.id, this.zone, this.address, this.incarnation, newHeartbeat, this.isDraining,
				this.cpuCores);
	}

	/**
	 * Returns the member marked as draining, with its heartbeat sequence incremented.
	 * @return a newer state of the member
	 */
	public Member withDraining() {
		return new Member(this.id, this.zone, this.address, this.incarnation, this.heartbeat + 1, true, this.cpuCores);
	}

}
