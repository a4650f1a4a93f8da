package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the parts of prompts that crash endpoints.
 * <p>
 * A crash is evidence against every part of the requests that may have caused it. An
 * answer on a part that began after a crash and survived refutes all earlier evidence
 * against the part. Crashes that a found part explains are no evidence against other
 * parts. Crashes in quick succession count once, because one outage can end many
 * endpoints. This class is thread-safe; one lock guards its tables.
 */
public final class CrashAttribution {

	private static final int MIN_CRASHES = 3;

	/** Required if another part was present at the same crashes, or answers preceded. */
	private static final int MIN_CRASHES_IF_UNCERTAIN = 5;

	/** Crashes of one outage are noticed within this time. */
	private static final long MIN_SPACING_MILLIS = 150;

	/** Leaves endpoints time to begin answers that refute the evidence. */
	private static final long MIN_OBSERVATION_MILLIS = 700;

	private static final long MIN_OBSERVATION_IF_UNCERTAIN_MILLIS = 2_000;

	private static final int MAX_PARTS = 10_000;

	private static final int MAX_EXPLAINED_CRASHES = 1_000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Map<String, Evidence> evidenceByPart = newLimitedMap(MAX_PARTS);

	private final Map<String, Boolean> explainedCrashes = newLimitedMap(MAX_EXPLAINED_CRASHES);

	private final Map<String, Long> foundMillis = new HashMap<>();

	private static <T> Map<String, T> newLimitedMap(int maxSize) {
		return new LinkedHashMap<>() {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
				return size() > maxSize;
			}

		};
	}

	/**
	 * Records the parts of a request that may have crashed an endpoint.
	 * @param crashId the endpoint and its boot
	 * @param parts the parts of the request's prompt
	 * @param crashMillis when the endpoint crashed, in milliseconds since the epoch
	 */
	public synchronized void recordCrash(String crashId, Collection<String> parts, long crashMillis) {
		if (parts.stream().anyMatch(this.foundMillis::containsKey)) {
			explain(crashId);
		}
		if (this.explainedCrashes.containsKey(crashId)) {
			return;
		}
		for (String part : parts) {
			this.evidenceByPart.computeIfAbsent(part, (key) -> new Evidence()).add(crashId, crashMillis);
		}
	}

	/**
	 * Records that an answer on a part survived.
	 * @param part the part
	 * @param beginMillis when the answer began, in milliseconds since the epoch
	 */
	public synchronized void recordSurvivor(String part, long beginMillis) {
		Evidence evidence = this.evidenceByPart.get(part);
		if (evidence != null) {
			evidence.refute(beginMillis);
		}
	}

	/**
	 * Returns the parts that are suspected strongly enough to ask all instances for
	 * answers on them that survived.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the parts, those with the most crashes first
	 */
	public synchronized List<String> suspects(long nowMillis) {
		List<String> suspects = new ArrayList<>();
		this.evidenceByPart.forEach((part, evidence) -> {
			if (evidence.separateCrashes() >= MIN_CRASHES && evidence.ageMillis(nowMillis) >= MIN_OBSERVATION_MILLIS) {
				suspects.add(part);
			}
		});
		suspects.sort(Comparator.comparing((String part) -> -this.evidenceByPart.get(part).crashes()));
		return suspects;
	}

	/**
	 * Decides which of the suspects crash endpoints. The crashes at which they were
	 * present are removed from the evidence against other parts.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the parts found, usually none
	 */
	public synchronized List<String> decide(long nowMillis) {
		List<String> decided = new ArrayList<>();
		for (String suspect : suspects(nowMillis)) {
			Evidence evidence = this.evidenceByPart.get(suspect);
			if (evidence.separateCrashes() >= MIN_CRASHES && isCause(suspect, evidence, nowMillis)) {
				decided.add(suspect);
			}
		}
		decided.forEach((part) -> close(part, nowMillis));
		return decided;
	}

	private boolean isCause(String part, Evidence evidence, long nowMillis) {
		if (evidence.separateCrashes() >= MIN_CRASHES_IF_UNCERTAIN
				&& evidence.ageMillis(nowMillis) >= MIN_OBSERVATION_IF_UNCERTAIN_MILLIS) {
			return true;
		}
		return !evidence.hasSurvivor() && !hasRival(part, evidence);
	}

	private boolean hasRival(String part, Evidence evidence) {
		return this.evidenceByPart.entrySet()
			.stream()
			.anyMatch((entry) -> !entry.getKey().equals(part) && entry.getValue().crashes() >= evidence.crashes());
	}

	private void close(String part, long nowMillis) {
		Evidence evidence = this.evidenceByPart.remove(part);
		this.foundMillis.put(part, nowMillis);
		if (evidence != null) {
			evidence.crashIds().forEach(this::explain);
		}
	}

	private void explain(String crashId) {
		this.explainedCrashes.put(crashId, true);
		this.evidenceByPart.values().removeIf((evidence) -> evidence.remove(crashId));
	}

	/**
	 * Returns whether there is no evidence against any part.
	 * @return true if there is nothing to decide
	 */
	public synchronized boolean isEmpty() {
		return this.evidenceByPart.isEmpty();
	}

	/**
	 * Forgets what is too old to belong to a current series of crashes.
	 * @param oldestMillis evidence of crashes before this time and parts that were found
	 * before it are forgotten, in milliseconds since the epoch
	 */
	public synchronized void expire(long oldestMillis) {
		this.foundMillis.values().removeIf((millis) -> millis < oldestMillis);
		this.evidenceByPart.values().removeIf((evidence) -> evidence.expire(oldestMillis));
	}

	/**
	 * The crashes that speak against one part. It is not thread-safe; the attribution's
	 * lock guards it.
	 */
	private static final class Evidence {

		private final Map<String, Long> millisByCrash = new HashMap<>();

		private long survivorMillis = NEVER;

		void add(String crashId, long crashMillis) {
			if (crashMillis > this.survivorMillis) {
				this.millisByCrash.putIfAbsent(crashId, crashMillis);
			}
		}

		void refute(long beginMillis) {
			this.survivorMillis = Math.max(this.survivorMillis, beginMillis);
			this.millisByCrash.values().removeIf((crashMillis) -> crashMillis <= this.survivorMillis);
		}

		boolean remove(String crashId) {
			this.millisByCrash.remove(crashId);
			return this.millisByCrash.isEmpty();
		}

		boolean expire(long oldestMillis) {
			this.millisByCrash.values().removeIf((crashMillis) -> crashMillis < oldestMillis);
			return this.millisByCrash.isEmpty();
		}

		Set<String> crashIds() {
			return Set.copyOf(this.millisByCrash.keySet());
		}

		int crashes() {
			return this.millisByCrash.size();
		}

		boolean hasSurvivor() {
			return this.survivorMillis != NEVER;
		}

		long ageMillis(long nowMillis) {
			return nowMillis - this.millisByCrash.values().stream().mapToLong(Long::longValue).min().orElse(nowMillis);
		}

		int separateCrashes() {
			int count = 0;
			long lastMillis = NEVER;
			for (long millis : this.millisByCrash.values().stream().sorted().toList()) {
				if (lastMillis == NEVER || millis - lastMillis >= MIN_SPACING_MILLIS) {
					count++;
					lastMillis = millis;
				}
			}
			return count;
		}

	}

}
