package org.poplarloom.core.process;

import org.poplarloom.core.InstanceId;

/**
 * Where the home of a shard is and how loaded it is.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param shard the shard
 * @param home the instance that is the home
 * @param address the home's host and port for peers
 * @param updatedMillis when the home wrote this, in milliseconds since the epoch
 * @param summary the load
 */
public record ShardStatus(ShardId shard, InstanceId home, String address, long updatedMillis, HomeSummary summary) {
}
