package org.poplarloom.core.process;

import java.util.HashMap;
import java.util.Map;

/**
 * The prompts granted on an endpoint that it has not prefilled yet, with the estimated
 * time for each.
 * <p>
 * An estimate is dropped when its prompt has been prefilled, so that errors of estimates
 * do not add up. This class is not thread-safe; its home's lock guards it.
 */
final class PrefillBacklog {

	private final Map<String, Double> prefillMillis = new HashMap<>();

	private long lastProgressMillis;

	void add(String key, double millis, long nowMillis) {
		if (this.prefillMillis.isEmpty()) {
			this.lastProgressMillis = nowMillis;
		}
		this.prefillMillis.put(key, millis);
	}

	void finish(String key, long nowMillis) {
		if (this.prefillMillis.remove(key) != null) {
			this.lastProgressMillis = nowMillis;
		}
	}

	void remove(String key) {
		this.prefillMillis.remove(key);
	}

	/**
	 * Returns the time for all prompts whose prefill is not known to have ended. Time
	 * that has passed is not subtracted: an engine begins a prompt only with its next
	 * pass, so a prompt granted a moment ago is still to be prefilled entirely.
	 * @return milliseconds from 0
	 */
	double pendingMillis() {
		return this.prefillMillis.values().stream().mapToDouble(Double::doubleValue).sum();
	}

	/**
	 * Estimates when all prompts will have been prefilled.
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now, 0 if there is nothing to prefill
	 */
	double remainingMillis(long nowMillis) {
		return Math.max(0, pendingMillis() - Math.max(0, nowMillis - this.lastProgressMillis));
	}

}
