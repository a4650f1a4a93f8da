package org.poplarloom.port;

import java.util.List;

import org.reactivestreams.Publisher;

import org.poplarloom.core.AvailabilityZone;

/**
 * The platform's list of live and draining instances. It lags behind the instances'
 * actual state.
 * <p>
 * Implementations are thread-safe.
 */
public interface InstanceListPort {

	/**
	 * Reads the engines of one zone and the other instances of all zones.
	 * @param zone the availability zone
	 * @return the instances, empty if the list has not changed since the last call, or an
	 * error if the platform cannot be reached
	 */
	Publisher<List<ListedInstance>> list(AvailabilityZone zone);

	/**
	 * A listed instance.
	 *
	 * @param id the name of the instance
	 * @param kind {@code entry}, {@code engine} or the name of a plain service
	 * @param zone the availability zone
	 * @param address the host and port
	 * @param isLeaving whether it is draining because the platform will stop it
	 */
	record ListedInstance(String id, String kind, String zone, String address, boolean isLeaving) {

		/** The kind of entry instances. */
		public static final String ENTRY = "entry";

		/** The kind of model engines. */
		public static final String ENGINE = "engine";

	}

}
