package org.poplarloom.core.process;

import java.util.HashMap;
import java.util.Map;

/**
 * The prompts that an endpoint has been given and has not read yet.
 * <p>
 * An estimate that was wrong is forgotten when its prompt has been read, so that errors
 * do not add up. This class is not thread-safe; its home's lock guards it.
 */
final class ReadingBacklog {

	private final Map<String, Double> partMillis = new HashMap<>();

	private long progressMillis;

	void add(String key, double millis, long nowMillis) {
		if (this.partMillis.isEmpty()) {
			this.progressMillis = nowMillis;
		}
		this.partMillis.put(key, millis);
	}

	void finish(String key, long nowMillis) {
		if (this.partMillis.remove(key) != null) {
			this.progressMillis = nowMillis;
		}
	}

	void drop(String key) {
		this.partMillis.remove(key);
	}

	/**
	 * Returns the time for all prompts that have not certainly been read. An engine
	 * begins a prompt only with its next pass, so what was given to it a moment ago is
	 * still ahead as a whole.
	 * @return milliseconds
	 */
	double unreadMillis() {
		return this.partMillis.values().stream().mapToDouble(Double::doubleValue).sum();
	}

	/**
	 * Estimates when everything will have been read.
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now, 0 if nothing is being read
	 */
	double millis(long nowMillis) {
		return Math.max(0, unreadMillis() - Math.max(0, nowMillis - this.progressMillis));
	}

}
