package org.poplarloom.core.process;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;

/**
 * Identifies a shard: one of the parts into which the endpoints of a zone are divided by
 * hash.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param zone the zone
 * @param index the number of the shard within the zone, counted from 0
 */
public record ShardId(AvailabilityZone zone, int index) {

	/**
	 * Returns the shard that an endpoint belongs to.
	 * @param zone the endpoint's zone
	 * @param endpoint the endpoint
	 * @param shardsPerZone the number of shards in the zone
	 * @return the shard
	 */
	public static ShardId of(AvailabilityZone zone, EndpointId endpoint, int shardsPerZone) {
		return new ShardId(zone, Math.floorMod(endpoint.value().hashCode(), shardsPerZone));
	}

	@Override
	public String toString() {
		return this.zone + "/" + this.index;
	}

}
