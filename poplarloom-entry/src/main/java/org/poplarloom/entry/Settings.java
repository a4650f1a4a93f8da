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
 * @param tableReaders how many instances of a zone read the platform's tables
 * @param load how requests are admitted and placed
 * @param connections how many connections others may open
 */
public record Settings(InstanceId instance, AvailabilityZone zone, String host, int httpPort, int peerPort,
		String logAddress, String listAddress, String peerKey, String operatorToken, int shardsPerZone,
		long failureTimeoutMillis, long settleMillis, ColdStartRamp.Settings ramp, long bodyBudgetBytes,
		long drainMillis, OwnerKey ownerKey, String traceExport, double cpuCores, TableReaders tableReaders, Load load,
		Connections connections) {

	/**
	 * Creates settings with the default bounds of connections.
	 */
	public Settings(InstanceId instance, AvailabilityZone zone, String host, int httpPort, int peerPort,
			String logAddress, String listAddress, String peerKey, String operatorToken, int shardsPerZone,
			long failureTimeoutMillis, long settleMillis, ColdStartRamp.Settings ramp, long bodyBudgetBytes,
			long drainMillis, OwnerKey ownerKey, String traceExport, double cpuCores, TableReaders tableReaders,
			Load load) {
		this(instance, zone, host, httpPort, peerPort, logAddress, listAddress, peerKey, operatorToken, shardsPerZone,
				failureTimeoutMillis, settleMillis, ramp, bodyBudgetBytes, drainMillis, ownerKey, traceExport, cpuCores,
				tableReaders, load, Connections.DEFAULT);
	}

	@Override
	public String toString() {
		return "Settings[instance=" + this.instance + ", zone=" + this.zone + ", host=" + this.host + "]";
	}

	/**
	 * How many instances of a zone read the platform's tables; the others fetch the
	 * records from them. This class is immutable and thread-safe.
	 *
	 * @param perZone the number of readers, 0 if every instance reads
	 * @param minInstances the number of live instances of a zone from which on this
	 * applies
	 */
	public record TableReaders(int perZone, int minInstances) {

		/** Every instance reads the tables. */
		public static final TableReaders ALL = new TableReaders(0, 0);

	}

	/**
	 * How many connections others may open. What these bounds leave of the sockets is for
	 * the store, endpoints and authenticated peers. This class is immutable and
	 * thread-safe.
	 *
	 * @param maxSockets the sockets that the process may open
	 * @param timeoutMillis the time in which a peer must be authenticated and an answer
	 * about readiness or metrics taken, in milliseconds
	 */
	public record Connections(int maxSockets, long timeoutMillis) {

		/** For an instance whose platform does not say how many sockets it may open. */
		public static final Connections DEFAULT = new Connections(8_192, 10_000);

		private static final double CALLER_SHARE = 0.375;

		private static final double PEER_SHARE = 0.25;

		private static final double TEXT_SHARE = 0.03125;

		/** Several health checks and readers of metrics at a time. */
		private static final int MIN_TEXT_CONNECTIONS = 8;

		/**
		 * Returns the bound of connections of callers.
		 * @return the number, 1 or more
		 */
		public int maxCallers() {
			return Math.max(1, (int) (CALLER_SHARE * this.maxSockets));
		}

		/**
		 * Returns the bound of connections of peers that are not authenticated.
		 * @return the number, 1 or more
		 */
		public int maxUnauthenticatedPeers() {
			return Math.max(1, (int) (PEER_SHARE * this.maxSockets));
		}

		/**
		 * Returns the bound of connections of each port that answers with a text.
		 * @return the number, 8 or more
		 */
		public int maxTextConnections() {
			return Math.max(MIN_TEXT_CONNECTIONS, (int) (TEXT_SHARE * this.maxSockets));
		}

	}

	/**
	 * How requests are admitted and placed. This class is immutable and thread-safe.
	 *
	 * @param hasTeamShares whether teams share the engines' time fairly while requests
	 * wait; if false, queued requests are ordered by deadline only
	 * @param isSpread whether load is balanced by spare capacity and age of the
	 * information
	 * @param spreadMinInstances the number of live instances of a zone from which on
	 * {@code isSpread} applies
	 * @param buffersSlowReaders whether answers are buffered while a caller reads slowly
	 * @param learnsEndpointSpeeds whether the speed of each endpoint is learnt from its
	 * answers
	 * @param sendBufferBytes the send buffer that the system has for each caller's
	 * connection, in bytes
	 */
	public record Load(boolean hasTeamShares, boolean isSpread, int spreadMinInstances, boolean buffersSlowReaders,
			boolean learnsEndpointSpeeds, int sendBufferBytes) {

		/** Enough for 14 Mbit/s with a round trip of 70 ms. */
		public static final int DEFAULT_SEND_BUFFER_BYTES = 128 * 1024;

		/** Everything is off. */
		public static final Load DEFAULT = new Load(false, false, 0, false, false, DEFAULT_SEND_BUFFER_BYTES);

	}

}
