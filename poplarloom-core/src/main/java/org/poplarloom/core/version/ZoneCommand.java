package org.poplarloom.core.version;

import org.poplarloom.core.AvailabilityZone;

/**
 * An operator's command to take an availability zone out or in, sent to an instance
 * directly because the log could not be reached.
 * <p>
 * It is in force from the moment an instance receives it until its publication, which has
 * the same id, is read from the log. This class is immutable and thread-safe.
 *
 * @param id the identity of the publish call
 * @param afterOffset the configuration offset of the instance that received it from the
 * operator
 * @param issuedMillis when the command was issued, in milliseconds since the epoch
 * @param operator the operator who issued it
 * @param zone the zone
 * @param isOut whether the zone takes no new work
 */
public record ZoneCommand(String id, long afterOffset, long issuedMillis, String operator, AvailabilityZone zone,
		boolean isOut) {

	/**
	 * Returns whether this command supersedes another one about the same zone.
	 * @param other the other command
	 * @return true if this command was issued later
	 */
	public boolean isLaterThan(ZoneCommand other) {
		if (this.afterOffset != other.afterOffset) {
			return this.afterOffset > other.afterOffset;
		}
		if (this.issuedMillis != other.issuedMillis) {
			return this.issuedMillis > other.issuedMillis;
		}
		return this.id.compareTo(other.id) > 0;
	}

	/**
	 * Returns the publication that confirms the command on the log.
	 * @return a publication with the same id
	 */
	public Publication toPublication() {
		return new Publication(this.id, Publication.ANY_OFFSET, this.operator,
				new Change.SetZone(this.zone, this.isOut));
	}

}
