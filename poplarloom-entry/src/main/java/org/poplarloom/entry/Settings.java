package org.poplarloom.entry;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.usage.OwnerKey;

/**
 * The checked settings of one daemon.
 * <p>
 * Secrets never appear in the text form. This class is immutable and thread-safe.
 *
 * @param instance the name of the instance
 * @param zone the availability zone
 * @param host the local IP number that callers and peers reach
 * @param httpPort the port for callers and operators, 0 for any free one; on the users'
 * platform the port for metrics, 0 for none
 * @param peerPort the port for peers, 0 for any free one
 * @param logAddress the log service's host and port
 * @param listAddress the instance list's host and port
 * @param peerKey the secret that all instances share
 * @param operatorToken the secret that operators show
 * @param shardsPerZone the number of parts of a zone's endpoints
 * @param failureTimeoutMillis how long a peer may be silent, in milliseconds
 * @param settleMillis how long a new home waits for grants of the previous one, in
 * milliseconds
 * @param ramp how endpoints that have just started are loaded
 * @param bodyBudgetBytes the most request bytes held at one time
 * @param drainMillis the longest graceful shutdown in milliseconds
 * @param ownerKey the key with which the instance signs its books
 * @param traceExport where spans go: {@code none}, {@code log} or the URL of a collector
 */
public record Settings(InstanceId instance, AvailabilityZone zone, String host, int httpPort, int peerPort,
		String logAddress, String listAddress, String peerKey, String operatorToken, int shardsPerZone,
		long failureTimeoutMillis, long settleMillis, ColdStartRamp.Settings ramp, long bodyBudgetBytes,
		long drainMillis, OwnerKey ownerKey, String traceExport) {

	@Override
	public String toString() {
		return "Settings[instance=" + this.instance + ", zone=" + this.zone + ", host=" + this.host + "]";
	}

}
