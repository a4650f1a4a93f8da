package org.poplarloom.port;

import java.util.List;

import org.reactivestreams.Publisher;

import org.poplarloom.core.AvailabilityZone;

/**
 * The platform's list of live and leaving instances, which lags behind the truth.
 * <p>
 * Implementations are thread-safe.
 */
public interface InstanceListPort {

	/**
	 * Reads the engines of a zone and everything else of all zones.
	 * @param zone the availability zone
	 * @return the instances, nothing if the list has not changed since the last call, or
	 * an error if the platform cannot be reached
	 */
	Publisher<List<Listed>> list(AvailabilityZone zone);

	/**
	 * One instance.
	 *
	 * @param id the name
	 * @param kind {@code entry}, {@code engine} or the name of a plain service
	 * @param zone the availability zone
	 * @param address the host and port
	 * @param isLeaving whether the platform is about to stop it
	 */
	record Listed(String id, String kind, String zone, String address, boolean isLeaving) {

		/** The kind of entry instances. */
		public static final String ENTRY = "entry";

		/** The kind of model engines. */
		public static final String ENGINE = "engine";

	}

}
