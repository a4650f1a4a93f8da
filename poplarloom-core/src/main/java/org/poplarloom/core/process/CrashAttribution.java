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
 * Finds the requests and the parts of prompts that crash endpoints.
 * <p>
 * A crash is evidence against each request that may have caused it and the parts of its
 * prompt. An answer with a possible cause that began after a crash and survived refutes
 * all earlier evidence against it. Crashes that a found cause explains are no evidence
 * against others. Crashes in quick succession count once, because one outage can end many
 * endpoints. This class is thread-safe; one lock guards its tables.
 */
public final class CrashAttribution {

	private static final int MIN_CRASHES = 3;

	/** Required if another cause was present at the same crashes, or answers preceded. */
	private static final int MIN_CRASHES_IF_UNCERTAIN = 5;

	/** Crashes of one outage are noticed within this time. */
	private static final long MIN_SPACING_MILLIS = 150;

	/** Leaves endpoints time to begin answers that refute the evidence. */
	private static final long MIN_OBSERVATION_MILLIS = 700;

	private static final long MIN_OBSERVATION_IF_UNCERTAIN_MILLIS = 2_000;

	private static final int MAX_CAUSES = 10_000;

	private static final int MAX_EXPLAINED_CRASHES = 1_000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Map<String, Evidence> evidenceByCause = newLimitedMap(MAX_CAUSES);

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
	 * Records a request that may have crashed an endpoint.
	 * @param crashId the endpoint and its boot
	 * @param request the fingerprint of the request
	 * @param parts the parts of its prompt that other requests may share
	 * @param crashMillis when the endpoint crashed, in milliseconds since the epoch
	 */
	public synchronized void recordCrash(String crashId, String request, Collection<String> parts, long crashMillis) {
		if (this.foundMillis.containsKey(request) || parts.stream().anyMatch(this.foundMillis::containsKey)) {
			explain(crashId);
		}
		if (this.explainedCrashes.containsKey(crashId)) {
			return;
		}
		this.evidenceByCause.computeIfAbsent(request, (key) -> new Evidence(true)).add(crashId, crashMillis);
		for (String part : parts) {
			this.evidenceByCause.computeIfAbsent(part, (key) -> new Evidence(false)).add(crashId, crashMillis);
		}
	}

	/**
	 * Records that an answer with a possible cause survived.
	 * @param cause the request's fingerprint or a part
	 * @param beginMillis when the answer began, in milliseconds since the epoch
	 */
	public synchronized void recordSurvivor(String cause, long beginMillis) {
		Evidence evidence = this.evidenceByCause.get(cause);
		if (evidence != null) {
			evidence.refute(beginMillis);
		}
	}

	/**
	 * Returns the causes that are suspected strongly enough to ask all instances for
	 * answers with them that survived.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the causes, those with the most crashes first
	 */
	public synchronized List<String> suspects(long nowMillis) {
		List<String> suspects = new ArrayList<>();
		this.evidenceByCause.forEach((cause, evidence) -> {
			if (evidence.separateCrashes() >= MIN_CRASHES && evidence.ageMillis(nowMillis) >= MIN_OBSERVATION_MILLIS) {
				suspects.add(cause);
			}
		});
		suspects.sort(Comparator.comparing((String cause) -> -this.evidenceByCause.get(cause).crashes()));
		return suspects;
	}

	/**
	 * Decides which of the suspects crash endpoints. The crashes at which they were
	 * present are removed from the evidence against others.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the causes found, usually none
	 */
	public synchronized List<String> decide(long nowMillis) {
		List<String> decided = new ArrayList<>();
		for (String suspect : suspects(nowMillis)) {
			Evidence evidence = this.evidenceByCause.get(suspect);
			if (evidence.separateCrashes() >= MIN_CRASHES && isCause(suspect, evidence, nowMillis)) {
				decided.add(suspect);
			}
		}
		decided.forEach((cause) -> close(cause, nowMillis));
		return decided;
	}

	private boolean isCause(String suspect, Evidence evidence, long nowMillis) {
		if (evidence.separateCrashes() >= MIN_CRASHES_IF_UNCERTAIN
				&& evidence.ageMillis(nowMillis) >= MIN_OBSERVATION_IF_UNCERTAIN_MILLIS) {
			return true;
		}
		return !evidence.hasSurvivor() && !hasRival(suspect, evidence);
	}

	// Of a request and its parts that were present at the same crashes, the request is
	// blamed, since other requests may share the parts.
	private boolean hasRival(String cause, Evidence evidence) {
		return this.evidenceByCause.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(cause))
			.anyMatch((entry) -> {
				Evidence other = entry.getValue();
				boolean isPreferred = evidence.isRequest && !other.isRequest;
				return isPreferred ? other.crashes() > evidence.crashes() : other.crashes() >= evidence.crashes();
			});
	}

	// Later crashes at which the cause was present are explained by it.
	private void close(String cause, long nowMillis) {
		Evidence evidence = this.evidenceByCause.remove(cause);
		this.foundMillis.put(cause, nowMillis);
		if (evidence != null) {
			evidence.crashIds().forEach(this::explain);
		}
	}

	private void explain(String crashId) {
		this.explainedCrashes.put(crashId, true);
		this.evidenceByCause.values().removeIf((evidence) -> evidence.remove(crashId));
	}

	/**
	 * Returns whether there is no evidence against any cause.
	 * @return true if there is nothing to decide
	 */
	public synchronized boolean isEmpty() {
		return this.evidenceByCause.isEmpty();
	}

	/**
	 * Forgets what is too old to belong to a current series of crashes.
	 * @param oldestMillis evidence of crashes before this time and causes that were found
	 * before it are forgotten, in milliseconds since the epoch
	 */
	public synchronized void expire(long oldestMillis) {
		this.foundMillis.values().removeIf((millis) -> millis < oldestMillis);
		this.evidenceByCause.values().removeIf((evidence) -> evidence.expire(oldestMillis));
	}

	/**
	 * The crashes that speak against one cause. It is not thread-safe; the attribution's
	 * lock guards it.
	 */
	private static final class Evidence {

		private final Map<String, Long> millisByCrash = new HashMap<>();

		private final boolean isRequest;

		private long survivorMillis = NEVER;

		Evidence(boolean isRequest) {
			this.isRequest = isRequest;
		}

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
