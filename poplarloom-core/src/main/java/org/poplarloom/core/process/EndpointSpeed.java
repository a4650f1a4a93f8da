package org.poplarloom.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * How much longer an endpoint takes to prefill than its engine model says, learnt from
 * its own first tokens, separately for short and for long prompts.
 * <p>
 * Waiting for other prompts is not slowness: everything that was granted before a prompt
 * and until its first token is taken for work done in that time, and the factor that is
 * learnt is the one closest to 1 that explains the time. A time that is usual only if the
 * prompt waited long for others proves nothing and is not used. What counts is the median
 * of the last three, so a single delay changes nothing. Factors fade when no first token
 * confirms them. It learns nothing while it is switched off. This class is not
 * thread-safe; its home's lock guards it.
 */
final class EndpointSpeed {

	/** From this factor on, an endpoint is slow. */
	static final double SLOW_FACTOR = 1.8;

	/** How often a slow endpoint gets a short prompt, to learn whether it still is. */
	static final long PROBE_PERIOD_MILLIS = 2_000;

	private static final int MAX_SAMPLES = 3;

	private static final int MIN_SAMPLES = 2;

	/**
	 * What the messages of a grant and of a first token may take on busy instances in
	 * different zones.
	 */
	private static final double MESSAGE_MILLIS = 80;

	/** A prompt waits for the end of one pass and is prefilled in the next one. */
	private static final double MAX_PASSES = 2;

	/** A shorter prefill cannot be told from the time of the messages. */
	private static final double MIN_MODEL_MILLIS = 10;

	private static final double MIN_FACTOR = 0.2;

	private static final double MAX_FACTOR = 50;

	/**
	 * A factor without a confirmation fades after two probe periods, since a factor that
	 * leaves no prompt any slack gets no probes.
	 */
	private static final double FADING_MILLIS = 2.0 * PROBE_PERIOD_MILLIS;

	private final Map<String, Prefill> prefills = new HashMap<>();

	private final Figure shortPrompts = new Figure();

	private final Figure longPrompts = new Figure();

	private double grantedMillis;

	private long nowMillis;

	private long lastShortStartMillis;

	private boolean learning;

	/**
	 * Starts to learn, or stops and forgets what was learnt.
	 * @param isLearning whether to learn
	 */
	void setLearning(boolean isLearning) {
		if (this.learning && !isLearning) {
			reset();
		}
		this.learning = isLearning;
	}

	/**
	 * Records that a prompt was granted.
	 * @param key the identity of the grant
	 * @param modelMillis the prefill time by the engine model, in milliseconds
	 * @param isLong whether the prompt is long
	 * @param isWhole whether this endpoint alone prefills the whole prompt
	 * @param startMillis the time in milliseconds
	 */
	void start(String key, double modelMillis, boolean isLong, boolean isWhole, long startMillis) {
		if (!this.learning) {
			return;
		}
		this.nowMillis = startMillis;
		double waitingMillis = this.prefills.values().stream().mapToDouble(Prefill::modelMillis).sum();
		this.grantedMillis += modelMillis;
		boolean isMeasured = isWhole && modelMillis >= MIN_MODEL_MILLIS;
		this.prefills.put(key,
				new Prefill(modelMillis, waitingMillis - this.grantedMillis, startMillis, isLong, isMeasured));
		if (!isLong) {
			this.lastShortStartMillis = startMillis;
		}
	}

	/**
	 * Records the first token of a prompt.
	 * @param key the identity of the grant; an unknown one is ignored
	 * @param passMillis the time of a pass of the engine without prefill, in milliseconds
	 * @param firstTokenMillis the time in milliseconds
	 */
	void finish(String key, double passMillis, long firstTokenMillis) {
		Prefill prefill = this.prefills.remove(key);
		if (prefill == null || !prefill.isMeasured()) {
			return;
		}
		this.nowMillis = firstTokenMillis;
		double otherMillis = prefill.waitingOffsetMillis() + this.grantedMillis;
		double actualMillis = firstTokenMillis - prefill.startMillis();
		double least = (actualMillis - MESSAGE_MILLIS)
				/ (prefill.modelMillis() + otherMillis + MAX_PASSES * passMillis);
		double most = actualMillis / prefill.modelMillis();
		if (least <= 1 && otherMillis > prefill.modelMillis() && most > SLOW_FACTOR) {
			return;
		}
		double factor = (least > 1) ? least : Math.min(1, most);
		(prefill.isLong() ? this.longPrompts : this.shortPrompts)
			.add(Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor)), firstTokenMillis);
	}

	/**
	 * Records that a prompt will have no first token.
	 * @param key the identity of the grant; an unknown one is ignored
	 */
	void remove(String key) {
		this.prefills.remove(key);
	}

	/**
	 * Learns nothing from a prompt, since it is not known when it was granted.
	 * @param key the identity of the grant; an unknown one is ignored
	 */
	void ignore(String key) {
		this.prefills.computeIfPresent(key, (found, prefill) -> prefill.withoutMeasurement());
	}

	/**
	 * Learns nothing from the prompts granted so far, since it is not known when they
	 * were granted.
	 */
	void ignoreGranted() {
		this.prefills.replaceAll((key, prefill) -> prefill.withoutMeasurement());
	}

	/**
	 * Forgets everything, since the endpoint has started again.
	 */
	void reset() {
		this.prefills.clear();
		this.shortPrompts.factors.clear();
		this.longPrompts.factors.clear();
	}

	/**
	 * Returns how much longer a prefill takes than by the engine model.
	 * @param isLong whether the prompt is long
	 * @return the factor, 1 if nothing else is known
	 */
	double factor(boolean isLong) {
		return (isLong ? this.longPrompts : this.shortPrompts).factor(this.nowMillis);
	}

	/**
	 * Returns whether prompts should rather go to other endpoints.
	 * @param isLong whether the prompts are long
	 * @param timeMillis the time in milliseconds
	 * @return true if the factor is known to be {@link #SLOW_FACTOR} or more
	 */
	boolean isSlow(boolean isLong, long timeMillis) {
		this.nowMillis = Math.max(this.nowMillis, timeMillis);
		return factor(isLong) >= SLOW_FACTOR;
	}

	/**
	 * Returns whether the endpoint should get a single short prompt.
	 * @param timeMillis the time in milliseconds
	 * @return true if it is slow and its last short prompt was granted long enough ago
	 */
	boolean isProbeDue(long timeMillis) {
		return isSlow(false, timeMillis) && timeMillis - this.lastShortStartMillis >= PROBE_PERIOD_MILLIS;
	}

	/**
	 * Describes a slow endpoint for the log.
	 * @param timeMillis the time in milliseconds
	 * @return the factors for short and long prompts, empty if it is not slow
	 */
	String describe(long timeMillis) {
		boolean isAnySlow = isSlow(false, timeMillis) || isSlow(true, timeMillis);
		return isAnySlow ? String.format(Locale.ROOT, ",slow=%.1f/%.1f", factor(false), factor(true)) : "";
	}

	/**
	 * A prompt whose first token is awaited.
	 *
	 * @param modelMillis the prefill time by the engine model, in milliseconds
	 * @param waitingOffsetMillis together with the prefill time granted up to a later
	 * moment: the time of all other prompts that were pending in between, in milliseconds
	 * @param startMillis when it was granted, in milliseconds
	 * @param isLong whether the prompt is long
	 * @param isMeasured whether its first token tells the speed
	 */
	private record Prefill(double modelMillis, double waitingOffsetMillis, long startMillis, boolean isLong,
			boolean isMeasured) {

		Prefill withoutMeasurement() {
			return new Prefill(this.modelMillis, this.waitingOffsetMillis, this.startMillis, this.isLong, false);
		}

	}

	/**
	 * The last factors of one length class. The home's lock guards it.
	 */
	private static final class Figure {

		private final Deque<Double> factors = new ArrayDeque<>();

		private long lastMillis;

		void add(double factor, long timeMillis) {
			this.factors.addLast(factor);
			if (this.factors.size() > MAX_SAMPLES) {
				this.factors.removeFirst();
			}
			this.lastMillis = timeMillis;
		}

		double factor(long timeMillis) {
			if (this.factors.size() < MIN_SAMPLES) {
				return 1;
			}
			double[] sorted = this.factors.stream().mapToDouble(Double::doubleValue).sorted().toArray();
			double median = (sorted.length == MAX_SAMPLES) ? sorted[1] : closestToOne(sorted[0], sorted[1]);
			double fadedMillis = Math.max(0, timeMillis - this.lastMillis - FADING_MILLIS);
			return Math.pow(median, Math.pow(2, -fadedMillis / FADING_MILLIS));
		}

		private static double closestToOne(double smaller, double larger) {
			return (smaller >= 1) ? smaller : Math.min(1, larger);
		}

	}

}
