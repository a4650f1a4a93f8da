package org.poplarloom.entry;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.usage.OwnerKey;

/**
 * The validated settings of one entry instance.
 * <p>
 * {@link #toString()} shows no secrets. This class is immutable and thread-safe.
 *
 * @param instance the name of the instance
 * @param zone the availability zone
 * @param host the local IP address that callers and peers connect to
 * @param httpPort the port for callers and operators, 0 for any free one; in relay mode
 * the port for metrics, 0 for any free one
 * @param peerPort the port for peers, 0 for any free one
 * @param logAddress the log service's host and port
 * @param listAddress the instance list's host and port
 * @param peerKey the secret that all instances share
 * @param operatorToken the secret that authenticates operators
 * @param shardsPerZone the number of shards that divide a zone's endpoints
 * @param failureTimeoutMillis the time without a heartbeat after which a peer is
 * considered failed, in milliseconds
 * @param settleMillis the settle time: how long a new home waits for grants that holders
 * announce, in milliseconds
 * @param ramp the slow-start ramp of endpoints that have just started
 * @param bodyBudgetBytes the maximum memory that is held for callers and endpoints, in
 * bytes
 * @param drainMillis the maximum duration of a graceful shutdown, in milliseconds
 * @param ownerKey the key that signs the instance's usage pages
 * @param traceExport the target of trace spans: {@code none}, {@code log} or the URL of
 * an OTLP collector
 * @param cpuCores the cores that the process may use, 0 if unknown
 */
public record Settings(InstanceId instance, AvailabilityZone zone, String host, int httpPort, int peerPort,
		String logAddress, String listAddress, String peerKey, String operatorToken, int shardsPerZone,
		long failureTimeoutMillis, long settleMillis, ColdStartRamp.Settings ramp, long bodyBudgetBytes,
		long drainMillis, OwnerKey ownerKey, String traceExport, double cpuCores) {

	@Override
	public String toString() {
		return "Settings[instance=" + this.instance + ", zone=" + this.zone + ", host=" + this.host + "]";
	}

}
