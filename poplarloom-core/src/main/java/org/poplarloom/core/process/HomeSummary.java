package org.poplarloom.core.process;

/**
 * How loaded a home's endpoints are, as told to other instances.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoints the number of endpoints
 * @param slots the requests that they may run together
 * @param running the requests that they run
 * @param queued the requests that wait
 * @param isOut whether the home takes no new work
 */
public record HomeSummary(int endpoints, int slots, int running, int queued, boolean isOut) {

	/** The summary of a home of which nothing is known. */
	public static final HomeSummary UNKNOWN = new HomeSummary(0, 0, 0, 0, false);

	/**
	 * Returns the part of the slots that is in use or waited for.
	 * @return a number from 0, above 1 if requests wait
	 */
	public double utilization() {
		return (this.slots > 0) ? (double) (this.running + this.queued) / this.slots : 1;
	}

}
