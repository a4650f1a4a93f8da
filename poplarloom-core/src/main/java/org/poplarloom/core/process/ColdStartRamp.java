package org.poplarloom.core.process;

/**
 * A slow-start ramp: limits the requests on an endpoint that has just started.
 * <p>
 * After a start the limit stays at the floor for the hold time, doubles at its end and
 * then after each step until it reaches the endpoint's slots. This class is not
 * thread-safe.
 */
public final class ColdStartRamp {

	private final Settings settings;

	private long startedMillis;

	private ColdStartRamp(Settings settings, long startedMillis) {
		this.settings = settings;
		this.startedMillis = startedMillis;
	}

	/**
	 * Returns the ramp of an endpoint that starts at a given time.
	 * @param settings the shape of the ramp
	 * @param startMillis the time of the start in milliseconds
	 * @return the ramp
	 */
	public static ColdStartRamp startingAt(Settings settings, long startMillis) {
		return new ColdStartRamp(settings, startMillis);
	}

	/**
	 * Restarts the ramp at the floor.
	 * @param nowMillis the time in milliseconds
	 */
	public void restart(long nowMillis) {
		this.startedMillis = nowMillis;
	}

	/**
	 * Sets the time at which the endpoint started; the ramp counts from it.
	 * @param startMillis the time of the start in milliseconds
	 */
	public void setStartMillis(long startMillis) {
		this.startedMillis = startMillis;
	}

	/**
	 * Returns how many requests the endpoint may run at one time.
	 * @param slots the limit when the endpoint is warm
	 * @param nowMillis the time in milliseconds
	 * @return a number from the floor to {@code slots}
	 */
	public int limit(int slots, long nowMillis) {
		long rampMillis = nowMillis - this.startedMillis - this.settings.holdMillis();
		if (rampMillis < 0) {
			return Math.min(slots, this.settings.floor());
		}
		long doublings = 1 + rampMillis / this.settings.stepMillis();
		if (doublings >= Integer.SIZE) {
			return slots;
		}
		return (int) Math.min(slots, (long) this.settings.floor() << doublings);
	}

	/**
	 * Returns whether the endpoint has completed its slow start.
	 * @param slots the limit when the endpoint is warm
	 * @param nowMillis the time in milliseconds
	 * @return true if the limit is not below the slots
	 */
	public boolean isWarm(int slots, long nowMillis) {
		return limit(slots, nowMillis) >= slots;
	}

	/**
	 * The shape of a ramp.
	 *
	 * @param floor the requests that a cold endpoint may run
	 * @param holdMillis how long the limit stays at the floor, in milliseconds
	 * @param stepMillis the time between two doublings, in milliseconds
	 */
	public record Settings(int floor, long holdMillis, long stepMillis) {

		/** The shape used where none is configured. */
		public static final Settings DEFAULT = new Settings(2, 10_000, 2_000);

	}

}
