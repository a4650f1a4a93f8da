package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the requests and the parts of prompts that crash endpoints.
 * <p>
 * A crash is evidence against each request that may have caused it and the parts of its
 * prompt. An answer with a possible cause that began after a crash and survived refutes
 * all earlier evidence against it, and what was served well before needs more evidence
 * ({@link HarmCriterion}). Crashes that a found cause explains are no evidence against
 * others, except that those of a request count against the parts of its prompt once other
 * requests with the part crash endpoints too. Crashes in quick succession count once,
 * because one outage can end many endpoints, unless the cause is a request that was never
 * served well. A connection that was opened after a crash belongs to a later process,
 * also if the endpoint's entry does not show it yet. This class is thread-safe; one lock
 * guards its tables.
 */
public final class CrashAttribution {

	private static final int MIN_CRASHES = 3;

	/** Required if another cause was present at the same crashes, or answers preceded. */
	private static final int MIN_CRASHES_IF_UNCERTAIN = 5;

	/** Leaves endpoints time to begin answers that refute the evidence. */
	private static final long MIN_OBSERVATION_MILLIS = 700;

	private static final long MIN_OBSERVATION_IF_UNCERTAIN_MILLIS = 2_000;

	/** Crashes that no found request explains. */
	private static final int MIN_UNEXPLAINED_CRASHES = 2;

	private static final int MAX_SUSPECTS = 50;

	private static final int MAX_CAUSES = 10_000;

	private static final int MAX_EXPLAINED_CRASHES = 1_000;

	private static final int MAX_LIFETIMES = 10_000;

	private static final long NEVER = Long.MIN_VALUE;

	private final Map<String, Evidence> evidenceByCause = newLimitedMap(MAX_CAUSES);

	private final Map<String, Boolean> explainedCrashes = newLimitedMap(MAX_EXPLAINED_CRASHES);

	/** The crashes of found requests, by the parts of their prompts. */
	private final Map<String, Map<String, Long>> explainedByPart = newLimitedMap(MAX_CAUSES);

	/** The last crash of each lifetime that endpoints' entries name. */
	private final Map<String, LastCrash> lastCrashes = newLimitedMap(MAX_LIFETIMES);

	private final Map<String, Verdict> found = new HashMap<>();

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
	 * @param lifetime the endpoint and its boot, as far as its entry shows
	 * @param request the fingerprint of the request
	 * @param parts the parts of its prompt that other requests may share
	 * @param openedMillis when the connection was opened that the crash ended, in
	 * milliseconds since the epoch
	 * @param crashMillis when the endpoint crashed, in milliseconds since the epoch
	 * @return the crash, which differs between the processes of a lifetime
	 */
	public synchronized String recordCrash(String lifetime, String request, Collection<String> parts, long openedMillis,
			long crashMillis) {
		String crashId = crashId(lifetime, openedMillis, crashMillis);
		recordCrash(crashId, request, parts, crashMillis);
		return crashId;
	}

	private String crashId(String lifetime, long openedMillis, long crashMillis) {
		LastCrash last = this.lastCrashes.get(lifetime);
		// Reports of one crash arrive at different times, which delays the opening too.
		if (last == null || openedMillis > last.millis() + HarmCriterion.MIN_SPACING_MILLIS) {
			last = new LastCrash((last != null) ? last.number() + 1 : 0, crashMillis);
			this.lastCrashes.put(lifetime, last);
		}
		return (last.number() > 0) ? lifetime + "." + last.number() : lifetime;
	}

	private void recordCrash(String crashId, String request, Collection<String> parts, long crashMillis) {
		if (this.found.containsKey(request) || parts.stream().anyMatch(this.found::containsKey)) {
			explain(crashId);
		}
		if (this.explainedCrashes.containsKey(crashId)) {
			return;
		}
		Evidence evidence = this.evidenceByCause.computeIfAbsent(request, (key) -> new Evidence(true));
		evidence.parts.addAll(parts);
		evidence.add(crashId, crashMillis);
		parts.forEach(
				(part) -> this.evidenceByCause.computeIfAbsent(part, this::newPartEvidence).add(crashId, crashMillis));
	}

	private Evidence newPartEvidence(String part) {
		Evidence evidence = new Evidence(false);
		this.explainedByPart.getOrDefault(part, Map.of()).forEach(evidence::addExplained);
		return evidence;
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
	 * Records how often requests with a possible cause were served well.
	 * @param cause the request's fingerprint or a part
	 * @param served the number of answers at all instances, in the time for which
	 * evidence is kept
	 */
	public synchronized void recordServed(String cause, long served) {
		Evidence evidence = this.evidenceByCause.get(cause);
		if (evidence != null) {
			evidence.served = Math.max(evidence.served, served);
		}
	}

	/**
	 * Returns the causes that are suspected strongly enough to ask all instances for
	 * answers with them that survived.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return at most 50 causes, those with the most crashes first
	 */
	public synchronized List<String> suspects(long nowMillis) {
		List<String> suspects = new ArrayList<>();
		this.evidenceByCause.forEach((cause, evidence) -> {
			if (evidence.countedCrashes() >= MIN_CRASHES && evidence.unexplainedCrashes() >= MIN_UNEXPLAINED_CRASHES
					&& evidence.ageMillis(nowMillis) >= MIN_OBSERVATION_MILLIS) {
				suspects.add(cause);
			}
		});
		suspects.sort(Comparator.comparing((String cause) -> -this.evidenceByCause.get(cause).crashes()));
		return (suspects.size() <= MAX_SUSPECTS) ? suspects : List.copyOf(suspects.subList(0, MAX_SUSPECTS));
	}

	/**
	 * Decides which of the suspects crash endpoints. The crashes at which they were
	 * present are removed from the evidence against others.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the causes found, usually none
	 */
	public synchronized List<String> decide(long nowMillis) {
		return decide(suspects(nowMillis), nowMillis);
	}

	/**
	 * Decides which of the suspects that the instances were asked about crash endpoints.
	 * The crashes at which they were present are removed from the evidence against
	 * others.
	 * @param asked the suspects that the instances were asked about
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the causes found, usually none
	 */
	public synchronized List<String> decide(Collection<String> asked, long nowMillis) {
		Map<String, Verdict> decided = new LinkedHashMap<>();
		for (String suspect : asked) {
			Evidence evidence = this.evidenceByCause.get(suspect);
			if (evidence != null && isCause(suspect, evidence, nowMillis)) {
				decided.put(suspect, evidence.verdict(nowMillis));
			}
		}
		decided.forEach(this::close);
		return List.copyOf(decided.keySet());
	}

	private boolean isCause(String suspect, Evidence evidence, long nowMillis) {
		int crashes = evidence.countedCrashes();
		int required = Math.max(MIN_CRASHES, HarmCriterion.requiredCrashes(evidence.served));
		if (crashes < required) {
			return false;
		}
		if (crashes >= MIN_CRASHES_IF_UNCERTAIN
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
	private void close(String cause, Verdict verdict) {
		Evidence evidence = this.evidenceByCause.remove(cause);
		if (evidence != null) {
			evidence.parts.forEach((part) -> this.explainedByPart.computeIfAbsent(part, (key) -> new HashMap<>())
				.putAll(evidence.millisByCrash));
		}
		this.found.put(cause, verdict);
		verdict.crashes().forEach((crash) -> explain(crash.crashId()));
	}

	/**
	 * Returns the evidence by which a cause was found.
	 * @param cause a cause that {@link #decide} has returned and that is not forgotten
	 * @return the evidence
	 */
	public synchronized Verdict verdict(String cause) {
		return this.found.get(cause);
	}

	/**
	 * Forgets causes that were found, so that crashes at which they are present are
	 * evidence again.
	 * @param isSound whether answers speak against a cause
	 */
	public synchronized void forgetFound(Predicate<String> isSound) {
		this.found.keySet().removeIf(isSound);
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
		this.found.values().removeIf((verdict) -> verdict.foundMillis() < oldestMillis);
		this.evidenceByCause.values().removeIf((evidence) -> evidence.expire(oldestMillis));
		this.explainedByPart.values().removeIf((crashes) -> {
			crashes.values().removeIf((crashMillis) -> crashMillis < oldestMillis);
			return crashes.isEmpty();
		});
	}

	/**
	 * The evidence by which a cause was found.
	 *
	 * @param crashes the crashes at which it was present since the last answer that
	 * survived
	 * @param served how often requests with it were served well in the time for which
	 * evidence is kept
	 * @param foundMillis when it was found, in milliseconds since the epoch
	 */
	public record Verdict(List<CrashRegistry.Occurrence> crashes, long served, long foundMillis) {
	}

	/**
	 * The last crash of a lifetime.
	 *
	 * @param number how many crashes of the lifetime were before it
	 * @param millis when it was noticed first, in milliseconds since the epoch
	 */
	private record LastCrash(int number, long millis) {
	}

	/**
	 * The crashes that speak against one cause. It is not thread-safe; the attribution's
	 * lock guards it.
	 */
	private static final class Evidence {

		private final Map<String, Long> millisByCrash = new HashMap<>();

		private final Set<String> explained = new HashSet<>();

		/** The parts of the prompt, if this is evidence against a request. */
		private final Set<String> parts = new HashSet<>();

		private final boolean isRequest;

		private long survivorMillis = NEVER;

		private long served;

		Evidence(boolean isRequest) {
			this.isRequest = isRequest;
		}

		void add(String crashId, long crashMillis) {
			if (crashMillis > this.survivorMillis) {
				this.millisByCrash.putIfAbsent(crashId, crashMillis);
			}
		}

		void addExplained(String crashId, long crashMillis) {
			this.explained.add(crashId);
			add(crashId, crashMillis);
		}

		long unexplainedCrashes() {
			return this.millisByCrash.keySet().stream().filter((crash) -> !this.explained.contains(crash)).count();
		}

		void refute(long beginMillis) {
			this.survivorMillis = Math.max(this.survivorMillis, beginMillis);
			this.millisByCrash.values().removeIf((crashMillis) -> crashMillis <= this.survivorMillis);
		}

		boolean remove(String crashId) {
			this.millisByCrash.remove(crashId);
			return unexplainedCrashes() == 0;
		}

		boolean expire(long oldestMillis) {
			this.millisByCrash.values().removeIf((crashMillis) -> crashMillis < oldestMillis);
			return this.millisByCrash.isEmpty();
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

		// Only a request that comes again unchanged is at several endpoints at once.
		int countedCrashes() {
			return (this.isRequest && this.served == 0) ? crashes()
					: CrashRegistry.Occurrence.countSeparate(occurrences());
		}

		Verdict verdict(long nowMillis) {
			return new Verdict(occurrences(), this.served, nowMillis);
		}

		private List<CrashRegistry.Occurrence> occurrences() {
			return this.millisByCrash.entrySet()
				.stream()
				.map((entry) -> new CrashRegistry.Occurrence(entry.getKey(), entry.getValue()))
				.toList();
		}

	}

}
