package org.poplarloom.core.process;

import org.poplarloom.core.InstanceId;

/**
 * The home of a shard, that is the instance that grants its endpoints, and their load.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param shard the shard
 * @param home the instance that is the home
 * @param address the host and port at which peers reach the home
 * @param updatedMillis when the home created the status, in milliseconds since the epoch
 * @param summary the load of the shard's endpoints
 */
public record ShardStatus(ShardId shard, InstanceId home, String address, long updatedMillis, HomeSummary summary) {
}
