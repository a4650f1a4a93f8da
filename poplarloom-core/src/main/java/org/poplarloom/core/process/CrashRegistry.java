package org.poplarloom.core.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.poplarloom.core.EndpointId;

/**
 * Counts the crashes of endpoints at which requests were running, and the answers that
 * speak against them being the cause.
 * <p>
 * A request that was running at one crash is a suspect and runs isolated from others; one
 * whose crashes stand out by {@link HarmCriterion} is quarantined, for a time that begins
 * at the last crash. An answer that began after a crash and survived refutes that crash,
 * at whichever instance, and so ends a quarantine. Entries are merged in any order with
 * the same result, and expire. This class is thread-safe; one lock guards its table.
 */
public final class CrashRegistry {

	private static final long NOT_REFUTED = -1;

	private final Map<String, Crash> crashes = new HashMap<>();

	private final SurvivedAnswers survivedAnswers = new SurvivedAnswers();

	private final long retentionMillis;

	private CrashRegistry(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Returns an empty registry.
	 * @param retentionMillis how long a crash makes a request a suspect, and how long one
	 * that was never served well is quarantined, in milliseconds
	 * @return the registry
	 */
	public static CrashRegistry of(long retentionMillis) {
		return new CrashRegistry(retentionMillis);
	}

	/**
	 * Records that a request was running when an endpoint crashed.
	 * @param fingerprint the hash of the request's content
	 * @param endpoint the endpoint
	 * @param bootId the boot of the endpoint that crashed; repeated records of the same
	 * boot count once
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the entry to send to peers
	 */
	public synchronized Crash recordCrash(String fingerprint, EndpointId endpoint, String bootId, long nowMillis) {
		return recordCrashes(fingerprint, List.of(new Occurrence(endpoint + "@" + bootId, nowMillis)), 0, nowMillis);
	}

	/**
	 * Records crashes at which whatever a fingerprint identifies was present.
	 * @param fingerprint the hash of a request's content, or another identification
	 * @param occurrences the crashes; those that are known already count once
	 * @param served how often it was served well in the same time, as far as is known
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the entry to send to peers
	 */
	public synchronized Crash recordCrashes(String fingerprint, Collection<Occurrence> occurrences, long served,
			long nowMillis) {
		merge(List.of(entry(fingerprint, occurrences, served, NOT_REFUTED)), nowMillis);
		return this.crashes.get(fingerprint);
	}

	/**
	 * Merges entries that a peer has sent and what this instance knows about answers that
	 * survived.
	 * @param updates the entries
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return true if the answers that this instance knows end a quarantine, which peers
	 * should learn
	 */
	public synchronized boolean merge(Collection<Crash> updates, long nowMillis) {
		boolean isAppealed = false;
		for (Crash update : updates) {
			String fingerprint = update.fingerprint();
			Crash known = this.crashes.get(fingerprint);
			Crash merged = (known != null) ? combine(known, update) : combine(update, update);
			Crash judged = addSurvivors(merged, nowMillis);
			isAppealed |= isQuarantined(merged, nowMillis) && !isQuarantined(judged, nowMillis);
			this.crashes.put(fingerprint, judged);
		}
		return isAppealed;
	}

	private Crash addSurvivors(Crash crash, long nowMillis) {
		long served = Math.max(crash.served(), this.survivedAnswers.count(crash.fingerprint(), nowMillis));
		long refuted = Math.max(crash.refutedMillis(),
				this.survivedAnswers.lastBeginMillis(crash.fingerprint()).orElse(NOT_REFUTED));
		return entry(crash.fingerprint(), crash.occurrences(), served, refuted);
	}

	/**
	 * Records an answer that survived.
	 * @param fingerprints the fingerprint of the request and whatever else it contains
	 * that may be quarantined
	 * @param beginMillis when the answer began, in milliseconds since the epoch
	 * @return true if it speaks against crashes that were recorded, which peers should
	 * learn
	 */
	public synchronized boolean recordSurvivor(Collection<String> fingerprints, long beginMillis) {
		this.survivedAnswers.record(fingerprints, beginMillis);
		boolean isRefuted = false;
		for (String fingerprint : fingerprints) {
			Crash known = this.crashes.get(fingerprint);
			if (known != null && known.refutedMillis() < beginMillis) {
				Crash judged = entry(fingerprint, known.occurrences(), known.served(), beginMillis);
				isRefuted |= judged.count() < known.count();
				this.crashes.put(fingerprint, judged);
			}
		}
		return isRefuted;
	}

	/**
	 * Returns the answers that survived at this instance.
	 * @return the answers
	 */
	public SurvivedAnswers survivedAnswers() {
		return this.survivedAnswers;
	}

	/**
	 * Returns the status of a request.
	 * @param fingerprint the hash of the request's content
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the status, never null
	 */
	public synchronized Status status(String fingerprint, long nowMillis) {
		Crash known = this.crashes.get(fingerprint);
		if (known == null || known.count() == 0 || known.lastMillis() + this.retentionMillis <= nowMillis) {
			return Status.CLEAR;
		}
		return isQuarantined(known, nowMillis) ? Status.QUARANTINED : Status.SUSPECT;
	}

	/**
	 * Returns how long a request is still quarantined if no crash or answer is recorded.
	 * @param fingerprint the hash of the request's content
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the time in milliseconds, 0 if it is not quarantined
	 */
	public synchronized long quarantineMillis(String fingerprint, long nowMillis) {
		Crash known = this.crashes.get(fingerprint);
		return (known != null && standsOut(known)) ? Math.max(0, quarantineEndMillis(known) - nowMillis) : 0;
	}

	/**
	 * Returns whether the crashes of a request stand out, so that it is quarantined or
	 * will be at its next crash.
	 * @param fingerprint the hash of the request's content
	 * @return false if there are too few crashes or answers speak against them
	 */
	public synchronized boolean standsOut(String fingerprint) {
		Crash known = this.crashes.get(fingerprint);
		return known != null && standsOut(known);
	}

	private static boolean standsOut(Crash crash) {
		int crashes = (crash.served() > 0) ? crash.separateCrashes() : crash.count();
		return crashes >= HarmCriterion.requiredCrashes(crash.served());
	}

	private boolean isQuarantined(Crash crash, long nowMillis) {
		return standsOut(crash) && nowMillis < quarantineEndMillis(crash);
	}

	private long quarantineEndMillis(Crash crash) {
		return crash.lastMillis() + HarmCriterion.holdMillis(crash.count(), crash.served(), this.retentionMillis);
	}

	/**
	 * Removes expired entries.
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void expire(long nowMillis) {
		this.crashes.values().removeIf((crash) -> crash.expiryMillis() <= nowMillis);
	}

	/**
	 * Returns all entries.
	 * @return the entries in no particular order
	 */
	public synchronized List<Crash> entries() {
		return List.copyOf(this.crashes.values());
	}

	private Crash combine(Crash first, Crash second) {
		return entry(first.fingerprint(),
				Stream.concat(first.occurrences().stream(), second.occurrences().stream()).toList(),
				Math.max(first.served(), second.served()), Math.max(first.refutedMillis(), second.refutedMillis()));
	}

	// What stands out is remembered longer than it is quarantined, so that one more crash
	// suffices afterwards.
	private Crash entry(String fingerprint, Collection<Occurrence> occurrences, long served, long refutedMillis) {
		Map<String, Long> millisByCrash = new HashMap<>();
		occurrences.forEach((occurrence) -> millisByCrash.merge(occurrence.crashId(), occurrence.millis(), Math::max));
		List<Occurrence> counted = millisByCrash.entrySet()
			.stream()
			.map((crash) -> new Occurrence(crash.getKey(), crash.getValue()))
			.filter((occurrence) -> occurrence.millis() > refutedMillis)
			.sorted(Comparator.comparingLong(Occurrence::millis).thenComparing(Occurrence::crashId))
			.toList();
		int surplus = Math.max(0, counted.size() - Crash.MAX_OCCURRENCES);
		List<Occurrence> newest = List.copyOf(counted.subList(surplus, counted.size()));
		boolean isEmpty = newest.isEmpty();
		Occurrence last = isEmpty ? new Occurrence("", refutedMillis) : newest.get(newest.size() - 1);
		Crash crash = new Crash(fingerprint, newest.size(), last.crashId(), last.millis() + this.retentionMillis,
				newest, served, refutedMillis);
		return standsOut(crash) ? crash.withExpiry(crash.expiryMillis() + this.retentionMillis) : crash;
	}

	/**
	 * How a request is treated after crashes.
	 */
	public enum Status {

		/** The request runs together with others. */
		CLEAR,
		/** The request runs isolated from others. */
		SUSPECT,
		/** The request is refused. */
		QUARANTINED

	}

	/**
	 * A crash of an endpoint.
	 *
	 * @param crashId the endpoint and its boot
	 * @param millis when it was noticed last, in milliseconds since the epoch
	 */
	public record Occurrence(String crashId, long millis) {

		public Occurrence {
			if (crashId == null) {
				throw new IllegalArgumentException("crash at " + millis + " names no endpoint");
			}
		}

		/**
		 * Returns how many crashes are so far apart that one outage cannot have been all
		 * of them.
		 * @param occurrences the crashes
		 * @return the number of crashes, those in quick succession counted once
		 */
		static int countSeparate(Collection<Occurrence> occurrences) {
			int count = 0;
			long nextMillis = Long.MIN_VALUE;
			for (long millis : occurrences.stream().map(Occurrence::millis).sorted().toList()) {
				if (millis >= nextMillis) {
					count++;
					nextMillis = millis + HarmCriterion.MIN_SPACING_MILLIS;
				}
			}
			return count;
		}

	}

	/**
	 * The crashes at which one request was running and which no answer refutes.
	 *
	 * @param fingerprint the hash of the request's content
	 * @param count the number of crashes
	 * @param lastCrashId the endpoint and boot of the last crash, empty if there is none
	 * @param expiryMillis when the entry expires, in milliseconds since the epoch
	 * @param occurrences the crashes, the latest last
	 * @param served how often the request was served well in the same time, as far as one
	 * instance knows
	 * @param refutedMillis when the latest answer began that survived, in milliseconds
	 * since the epoch, -1 if none is known
	 */
	public record Crash(String fingerprint, int count, String lastCrashId, long expiryMillis,
			List<Occurrence> occurrences, long served, long refutedMillis) {

		/** Older crashes are not counted; bounds the size of an entry. */
		static final int MAX_OCCURRENCES = 5 * HarmCriterion.MAX_REQUIRED_CRASHES;

		long lastMillis() {
			return this.occurrences.isEmpty() ? this.refutedMillis
					: this.occurrences.get(this.occurrences.size() - 1).millis();
		}

		int separateCrashes() {
			return Occurrence.countSeparate(this.occurrences);
		}

		Crash withExpiry(long newExpiryMillis) {
			return new Crash(this.fingerprint, this.count, this.lastCrashId, newExpiryMillis, this.occurrences,
					this.served, this.refutedMillis);
		}

	}

}
