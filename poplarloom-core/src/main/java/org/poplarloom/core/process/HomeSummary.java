package org.poplarloom.core.process;

/**
 * The load of a home's endpoints, as sent to other instances.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoints the number of endpoints
 * @param slots the requests that the endpoints may run at one time
 * @param running the requests that the endpoints run
 * @param queued the requests in the home's queue
 * @param isOut whether the home's zone is out and takes no new work
 */
public record HomeSummary(int endpoints, int slots, int running, int queued, boolean isOut) {

	/** The summary of a home whose load is not known. */
	public static final HomeSummary UNKNOWN = new HomeSummary(0, 0, 0, 0, false);

	/**
	 * Returns the running and queued requests as a fraction of the slots.
	 * @return a number from 0, above 1 if more is queued than there are free slots; 1 if
	 * there are no slots
	 */
	public double utilization() {
		return (this.slots > 0) ? (double) (this.running + this.queued) / this.slots : 1;
	}

}
