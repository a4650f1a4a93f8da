package org.poplarloom.core.version;

import java.util.Optional;

import org.poplarloom.core.request.LengthClass;
import org.poplarloom.core.request.ParallelPrefill;

/**
 * Plans into how many parts the parallel prefill of a long prompt is divided.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param promptTokens the prompt length in tokens
 * @param answerTokens the maximum answer length in tokens
 * @param prefillMillis the time that a single engine without other load needs to prefill
 * the prompt, in milliseconds
 * @param engineKvTokens the KV cache of one engine in tokens
 */
public record PrefillPlan(long promptTokens, long answerTokens, double prefillMillis, long engineKvTokens) {

	/**
	 * Up to this many times the minimum number of engines are used if they are idle, so
	 * that a prompt is prefilled sooner and some engines stay idle for other requests.
	 */
	private static final int MAX_TO_MIN_PARTS_RATIO = 2;

	/** Fraction of an engine's KV cache that other requests usually leave free. */
	private static final double FREE_KV_FRACTION = 0.9;

	/** Time between the grant request and the start of prefill, in milliseconds. */
	private static final double PREFILL_START_DELAY_MILLIS = 150;

	/**
	 * Fraction of the time to the first-token target that is used; the rest is reserve.
	 */
	private static final double TARGET_FRACTION = 0.95;

	/** Fraction of the client timeout that is used if the target is missed. */
	private static final double CLIENT_TIMEOUT_FRACTION = 0.7;

	/**
	 * Maximum engine time to prefill a prompt that misses its target, in milliseconds; a
	 * longer prompt would block the engines for other requests.
	 */
	private static final double MAX_LATE_PREFILL_MILLIS = 30_000;

	/**
	 * Returns the plan for a prompt.
	 * @param service the service with its engines
	 * @param promptTokens the prompt length in tokens
	 * @param answerTokens the maximum answer length in tokens
	 * @return the plan, empty if the prompt is not long or the service is not a model
	 */
	public static Optional<PrefillPlan> of(RoutingTable.Service service, long promptTokens, long answerTokens) {
		if (service.engine() == null || !LengthClass.of(promptTokens).isLong()) {
			return Optional.empty();
		}
		return Optional.of(new PrefillPlan(promptTokens, answerTokens, service.engine().prefillMillis(promptTokens),
				service.kvTokens()));
	}

	/**
	 * Returns whether the prompt and its answer exceed the KV cache that one engine
	 * usually has free.
	 * @return true if the prompt has to be divided among engines
	 */
	public boolean isTooLargeForOneEngine() {
		return this.promptTokens + this.answerTokens > this.engineKvTokens * FREE_KV_FRACTION;
	}

	/**
	 * Returns the parallel prefill with which the first token meets the target.
	 * @param remainingMillis the time to the target in milliseconds
	 * @return the parallel prefill, null if there is no time left or too many parts would
	 * be needed
	 */
	public ParallelPrefill withinTarget(long remainingMillis) {
		return planWithin(remainingMillis * TARGET_FRACTION - PREFILL_START_DELAY_MILLIS);
	}

	/**
	 * Returns the parallel prefill with which the first token misses the target, but
	 * comes before the client timeout.
	 * @param remainingMillis the time to the client timeout in milliseconds
	 * @return the parallel prefill, null if there is no time left, too many parts would
	 * be needed or other requests would wait for too long
	 */
	public ParallelPrefill withinClientTimeout(long remainingMillis) {
		return (this.prefillMillis > MAX_LATE_PREFILL_MILLIS) ? null
				: planWithin(remainingMillis * CLIENT_TIMEOUT_FRACTION - PREFILL_START_DELAY_MILLIS);
	}

	private ParallelPrefill planWithin(double budgetMillis) {
		if (budgetMillis <= 0) {
			return null;
		}
		int minForTime = (int) Math.ceil(this.prefillMillis / budgetMillis);
		int minForMemory = (int) Math
			.ceil((this.promptTokens + this.answerTokens) / (this.engineKvTokens * FREE_KV_FRACTION));
		int minParts = Math.max(2, Math.max(minForTime, minForMemory));
		if (minParts > ParallelPrefill.MAX_PARTS) {
			return null;
		}
		int maxParts = Math.min(ParallelPrefill.MAX_PARTS, MAX_TO_MIN_PARTS_RATIO * minParts);
		return new ParallelPrefill(minParts, maxParts, this.prefillMillis / minParts,
				this.promptTokens / minParts + 1 + this.answerTokens);
	}

}
