package org.poplarloom.core.process;

/**
 * Whether crashes stand out against how often requests were served well in the same time.
 * <p>
 * A harmful request or part of prompts crashes each endpoint that begins to answer it, so
 * an answer that survives speaks for all crashes before it being ordinary ones. What was
 * never served well is held back after few crashes. What was served well needs more of
 * them with no such answer in between, because an endpoint that crashes for other reasons
 * takes along whatever it runs, and what many callers share runs almost everywhere. This
 * class has no state and is thread-safe.
 */
public final class HarmCriterion {

	/** Endpoints that are noticed as crashed within this time count as one crash. */
	public static final long MIN_SPACING_MILLIS = 150;

	/** No number of served answers requires more crashes in a row than this. */
	public static final int MAX_REQUIRED_CRASHES = 20;

	private static final int REQUIRED_IF_NEVER_SERVED = 2;

	private static final int REQUIRED_IF_SERVED = 5;

	private static final int SERVED_PER_REQUIRED_CRASH = 4;

	private static final long MIN_HOLD_MILLIS = 5_000;

	private HarmCriterion() {
	}

	/**
	 * Returns how many crashes since the last answer that survived stand out.
	 * @param served how often requests with the cause were served well in the time of the
	 * crashes
	 * @return 2 if it was never served, else one crash for 4 answers, at least 5 and at
	 * most 20
	 */
	public static int requiredCrashes(long served) {
		if (served <= 0) {
			return REQUIRED_IF_NEVER_SERVED;
		}
		long required = Math.max(REQUIRED_IF_SERVED, served / SERVED_PER_REQUIRED_CRASH);
		return (int) Math.min(MAX_REQUIRED_CRASHES, required);
	}

	/**
	 * Returns how long requests are held back after the last crash.
	 * @param crashes the crashes since the last answer that survived, at least 1
	 * @param served how often requests with the cause were served well in the time of the
	 * crashes
	 * @param maxMillis the time for a cause that was never served, in milliseconds
	 * @return the share of crashes among the answers of that time, in milliseconds; at
	 * least 5 s unless {@code maxMillis} is less
	 */
	public static long holdMillis(int crashes, long served, long maxMillis) {
		long share = maxMillis * crashes / (crashes + Math.max(0, served));
		return Math.min(maxMillis, Math.max(MIN_HOLD_MILLIS, share));
	}

}
