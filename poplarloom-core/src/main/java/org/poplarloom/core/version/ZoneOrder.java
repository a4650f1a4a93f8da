package org.poplarloom.core.version;

import org.poplarloom.core.AvailabilityZone;

/**
 * An operator's order about a zone that was given to an instance directly because the log
 * could not be reached.
 * <p>
 * It is in force from the moment an instance learns it until its publication, which has
 * the same id, is read from the log. This class is immutable and thread-safe.
 *
 * @param id the identity of the publish call
 * @param afterOffset the highest offset that the receiving instance knew
 * @param issuedMillis when the order was given, in milliseconds since the epoch
 * @param operator who gave it
 * @param zone the zone
 * @param isOut whether the zone takes no new work
 */
public record ZoneOrder(String id, long afterOffset, long issuedMillis, String operator, AvailabilityZone zone,
		boolean isOut) {

	/**
	 * Says whether this order goes before another one about the same zone.
	 * @param other the other order
	 * @return true if this order was given later
	 */
	public boolean isLaterThan(ZoneOrder other) {
		if (this.afterOffset != other.afterOffset) {
			return this.afterOffset > other.afterOffset;
		}
		if (this.issuedMillis != other.issuedMillis) {
			return this.issuedMillis > other.issuedMillis;
		}
		return this.id.compareTo(other.id) > 0;
	}

	/**
	 * Returns the publication that confirms the order on the log.
	 * @return a publication with the same id
	 */
	public Publication toPublication() {
		return new Publication(this.id, Publication.ANY_OFFSET, this.operator,
				new Change.SetZone(this.zone, this.isOut));
	}

}
