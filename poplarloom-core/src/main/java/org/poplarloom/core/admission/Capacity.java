package org.poplarloom.core.admission;

import org.poplarloom.core.request.GrantRequest;

/**
 * What the endpoints of a home can do for a request.
 * <p>
 * Implementations need not be thread-safe; the home's lock guards them.
 */
public interface Capacity {

	/**
	 * Returns the number of endpoints that can serve the request once they have room.
	 * @param request the request
	 * @return a number from 0
	 */
	int endpoints(GrantRequest request);

	/**
	 * Estimates how much engine time a request takes: its prefill, and its decoding as
	 * the part of an engine that one of its slots is.
	 * @param request the request
	 * @return milliseconds, more than 0
	 */
	double engineMillis(GrantRequest request);

	/**
	 * Estimates the shortest time from the start of a request to its first token, without
	 * other load.
	 * @param request the request
	 * @return milliseconds from 0
	 */
	double firstTokenMillis(GrantRequest request);

}
