package org.poplarloom.platform.port;

import java.util.List;

import org.reactivestreams.Publisher;

/**
 * The platform's list of live and leaving instances, which lags behind the truth.
 * <p>
 * Implementations are thread-safe.
 */
public interface InstanceListPort {

	/**
	 * Reads the list.
	 * @return the instances, or an error if the platform cannot be reached
	 */
	Publisher<List<Listed>> list();

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
