package org.poplarloom.core.version;

import java.util.Optional;

import org.poplarloom.core.request.LengthClass;
import org.poplarloom.core.request.PartsWanted;

/**
 * In how many parts a long prompt is read.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param promptTokens the length in tokens
 * @param answerTokens the longest answer in tokens
 * @param wholeMillis the time that one engine needs to read the prompt, in milliseconds
 * @param engineKvTokens the memory of one engine in tokens
 */
public record PrefillPlan(long promptTokens, long answerTokens, double wholeMillis, long engineKvTokens) {

	/**
	 * Idle engines up to this many times the fewest are used, so that a prompt is read
	 * sooner and some stay idle for others.
	 */
	private static final int SPARE_RATIO = 2;

	/** Part of an engine's memory that other requests usually leave free. */
	private static final double FREE_SHARE = 0.9;

	/** Time between the question and the start of reading, in milliseconds. */
	private static final double START_MILLIS = 150;

	/** Part of the time to the first token that is planned with; the rest is reserve. */
	private static final double IN_TIME_SHARE = 0.95;

	/** Part of the caller's patience that is planned with if the target is missed. */
	private static final double LATE_SHARE = 0.7;

	/** A late answer is worth the engines for this much work at most, in milliseconds. */
	private static final double MOST_LATE_MILLIS = 30_000;

	/**
	 * Returns the plan for a prompt.
	 * @param service the service with its engines
	 * @param promptTokens the length in tokens
	 * @param answerTokens the longest answer in tokens
	 * @return the plan, empty if the prompt is not long or the service is no model
	 */
	public static Optional<PrefillPlan> of(RoutingTable.Service service, long promptTokens, long answerTokens) {
		if (service.engine() == null || !LengthClass.of(promptTokens).isLong()) {
			return Optional.empty();
		}
		return Optional.of(new PrefillPlan(promptTokens, answerTokens, service.engine().prefillMillis(promptTokens),
				service.kvTokens()));
	}

	/**
	 * Says whether no engine can hold the prompt alone.
	 * @return true if its memory has to be divided
	 */
	public boolean isTooLargeForOne() {
		return this.promptTokens + this.answerTokens > this.engineKvTokens * FREE_SHARE;
	}

	/**
	 * Returns the parts with which the first token comes in time.
	 * @param remainingMillis the time to the target in milliseconds
	 * @return the parts, null if there is no time or too many would be needed
	 */
	public PartsWanted inTime(long remainingMillis) {
		return parts(remainingMillis * IN_TIME_SHARE - START_MILLIS);
	}

	/**
	 * Returns the parts with which the first token comes late, but while the caller still
	 * waits.
	 * @param remainingMillis the time until the caller stops waiting, in milliseconds
	 * @return the parts, null if there is no time, too many would be needed or other
	 * requests would wait for too long
	 */
	public PartsWanted late(long remainingMillis) {
		return (this.wholeMillis > MOST_LATE_MILLIS) ? null : parts(remainingMillis * LATE_SHARE - START_MILLIS);
	}

	private PartsWanted parts(double budgetMillis) {
		if (budgetMillis <= 0) {
			return null;
		}
		int forTime = (int) Math.ceil(this.wholeMillis / budgetMillis);
		int forMemory = (int) Math.ceil((this.promptTokens + this.answerTokens) / (this.engineKvTokens * FREE_SHARE));
		int fewest = Math.max(2, Math.max(forTime, forMemory));
		if (fewest > PartsWanted.LARGEST_COUNT) {
			return null;
		}
		int most = Math.min(PartsWanted.LARGEST_COUNT, SPARE_RATIO * fewest);
		return new PartsWanted(fewest, most, this.wholeMillis / fewest,
				this.promptTokens / fewest + 1 + this.answerTokens);
	}

}
