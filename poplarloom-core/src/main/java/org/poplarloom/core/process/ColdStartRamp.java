package org.poplarloom.core.process;

/**
 * Limits the requests on an endpoint that has just started.
 * <p>
 * After a start the limit stays at the floor for the hold time and then doubles with each
 * step until it reaches the endpoint's slots. This class is not thread-safe.
 */
public final class ColdStartRamp {

	private final Settings settings;

	private long startedMillis;

	private ColdStartRamp(Settings settings, long startedMillis) {
		this.settings = settings;
		this.startedMillis = startedMillis;
	}

	/**
	 * Returns the ramp of an endpoint that starts now.
	 * @param settings the shape of the ramp
	 * @param nowMillis the time in milliseconds
	 * @return the ramp
	 */
	public static ColdStartRamp startingAt(Settings settings, long nowMillis) {
		return new ColdStartRamp(settings, nowMillis);
	}

	/**
	 * Falls back to the floor.
	 * @param nowMillis the time in milliseconds
	 */
	public void restart(long nowMillis) {
		this.startedMillis = nowMillis;
	}

	/**
	 * Treats the endpoint as started at an earlier time.
	 * @param atMillis the time in milliseconds
	 */
	public void startedAt(long atMillis) {
		this.startedMillis = atMillis;
	}

	/**
	 * Returns how many requests the endpoint may run.
	 * @param slots the number when it is warm
	 * @param nowMillis the time in milliseconds
	 * @return from the floor to {@code slots}
	 */
	public int limit(int slots, long nowMillis) {
		long ramping = nowMillis - this.startedMillis - this.settings.holdMillis();
		if (ramping < 0) {
			return Math.min(slots, this.settings.floor());
		}
		long doublings = 1 + ramping / this.settings.stepMillis();
		if (doublings >= Integer.SIZE) {
			return slots;
		}
		return (int) Math.min(slots, (long) this.settings.floor() << doublings);
	}

	/**
	 * Says whether the endpoint bears its full load.
	 * @param slots the number of requests when it is warm
	 * @param nowMillis the time in milliseconds
	 * @return true if the limit is no lower than the slots
	 */
	public boolean isWarm(int slots, long nowMillis) {
		return limit(slots, nowMillis) >= slots;
	}

	/**
	 * The shape of a ramp.
	 *
	 * @param floor requests that a cold endpoint bears
	 * @param holdMillis how long the limit stays at the floor, in milliseconds
	 * @param stepMillis the time between two doublings, in milliseconds
	 */
	public record Settings(int floor, long holdMillis, long stepMillis) {

		/** The shape used where none is configured. */
		public static final Settings DEFAULT = new Settings(2, 10_000, 2_000);

	}

}
