package org.poplarloom.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.EndpointId;

/**
 * Counts the crashes of endpoints at which requests were running.
 * <p>
 * A request that was running at one crash is a suspect and runs isolated from others; one
 * that was running at a second crash, while isolated or not, is quarantined. A suspect
 * that completes is cleared. Entries expire. This class is thread-safe; one lock guards
 * its table.
 */
public final class CrashRegistry {

	private static final int CRASHES_UNTIL_QUARANTINE = 2;

	private final Map<String, Crash> crashes = new HashMap<>();

	private final long retentionMillis;

	private CrashRegistry(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Returns an empty registry.
	 * @param retentionMillis how long an entry is kept after its last crash, in
	 * milliseconds
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
		Crash known = this.crashes.get(fingerprint);
		String crashId = endpoint + "@" + bootId;
		boolean isNew = known == null || !known.lastCrashId().equals(crashId);
		int count = ((known != null) ? known.count() : 0) + (isNew ? 1 : 0);
		Crash next = new Crash(fingerprint, count, crashId, nowMillis + this.retentionMillis);
		this.crashes.put(fingerprint, next);
		return next;
	}

	/**
	 * Quarantines whatever a fingerprint identifies, without counting crashes.
	 * @param fingerprint the hash of a request's content, or another identification
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	public synchronized void quarantine(String fingerprint, long nowMillis) {
		merge(List.of(new Crash(fingerprint, CRASHES_UNTIL_QUARANTINE, "", nowMillis + this.retentionMillis)));
	}

	/**
	 * Merges entries that a peer has sent.
	 * @param updates the entries
	 */
	public synchronized void merge(Collection<Crash> updates) {
		for (Crash crash : updates) {
			this.crashes.merge(crash.fingerprint(), crash, Crash::combine);
		}
	}

	/**
	 * Clears a suspect that has completed; a quarantined request stays quarantined.
	 * @param fingerprint the hash of the request's content
	 */
	public synchronized void clear(String fingerprint) {
		Crash known = this.crashes.get(fingerprint);
		if (known != null && known.count() < CRASHES_UNTIL_QUARANTINE) {
			this.crashes.remove(fingerprint);
		}
	}

	/**
	 * Returns the status of a request.
	 * @param fingerprint the hash of the request's content
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the status, never null
	 */
	public synchronized Status status(String fingerprint, long nowMillis) {
		Crash known = this.crashes.get(fingerprint);
		if (known == null || known.expiryMillis() <= nowMillis) {
			return Status.CLEAR;
		}
		return (known.count() >= CRASHES_UNTIL_QUARANTINE) ? Status.QUARANTINED : Status.SUSPECT;
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
	 * The crashes at which one request was running.
	 *
	 * @param fingerprint the hash of the request's content
	 * @param count the number of crashes
	 * @param lastCrashId the endpoint and boot of the last crash
	 * @param expiryMillis when the entry expires, in milliseconds since the epoch
	 */
	public record Crash(String fingerprint, int count, String lastCrashId, long expiryMillis) {

		Crash combine(Crash other) {
			boolean isSameCrash = this.lastCrashId.equals(other.lastCrashId);
			int minCount = isSameCrash ? 0 : CRASHES_UNTIL_QUARANTINE;
			int combined = Math.max(minCount, Math.max(this.count, other.count));
			long expiry = Math.max(this.expiryMillis, other.expiryMillis);
			return new Crash(this.fingerprint, combined, other.lastCrashId, expiry);
		}

	}

}
