package org.poplarloom.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The prompt segments that an endpoint keeps in its KV cache although no grant is held
 * for them.
 * <p>
 * This class is not thread-safe; its home's lock guards it.
 */
final class OrphanedHandles {

	private static final long GRACE_MILLIS = 3_000;

	private final Map<String, Long> sinceMillis = new HashMap<>();

	/**
	 * Updates the segments from a report.
	 * @param reported the segments that the endpoint keeps
	 * @param granted the identities of the grants held on the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	void update(Set<String> reported, Set<String> granted, long nowMillis) {
		this.sinceMillis.keySet().retainAll(reported);
		this.sinceMillis.keySet().removeAll(granted);
		for (String handle : reported) {
			if (!granted.contains(handle)) {
				this.sinceMillis.putIfAbsent(handle, nowMillis);
			}
		}
	}

	/**
	 * Returns the segments that have been without a grant for at least the grace time.
	 * @param granted the identities of the grants held on the endpoint
	 * @param nowMillis the time in milliseconds
	 * @return the identities of the grants that the segments were prefilled for
	 */
	List<String> overdue(Set<String> granted, long nowMillis) {
		return this.sinceMillis.entrySet()
			.stream()
			.filter((entry) -> nowMillis - entry.getValue() >= GRACE_MILLIS && !granted.contains(entry.getKey()))
			.map(Map.Entry::getKey)
			.toList();
	}

	boolean isEmpty() {
		return this.sinceMillis.isEmpty();
	}

}
