package org.poplarloom.core.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.EndpointId;

/**
 * Remembers which requests were running when endpoints crashed.
 * <p>
 * A request seen at one crash is a suspect and runs apart from others; one seen at a
 * second crash, or at a crash while apart, is quarantined. An entry that ends well is
 * cleared. Entries expire. This class is thread-safe; one lock guards its table.
 */
public final class CrashRegister {

	private static final int CRASHES_UNTIL_QUARANTINE = 2;

	private final Map<String, Crash> crashes = new HashMap<>();

	private final long retentionMillis;

	private CrashRegister(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Returns an empty register.
	 * @param retentionMillis how long a crash is remembered, in milliseconds
	 * @return the register
	 */
	public static CrashRegister of(long retentionMillis) {
		return new CrashRegister(retentionMillis);
	}

	/**
	 * Notes that a request was running when an endpoint crashed.
	 * @param fingerprint the hash of the request's content
	 * @param endpoint the endpoint
	 * @param bootId the boot that crashed; the same boot counts once
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the entry to tell peers
	 */
	public synchronized Crash note(String fingerprint, EndpointId endpoint, String bootId, long nowMillis) {
		Crash known = this.crashes.get(fingerprint);
		String crashId = endpoint + "@" + bootId;
		boolean isNew = known == null || !known.lastCrashId().equals(crashId);
		int count = ((known != null) ? known.count() : 0) + (isNew ? 1 : 0);
		Crash next = new Crash(fingerprint, count, crashId, nowMillis + this.retentionMillis);
		this.crashes.put(fingerprint, next);
		return next;
	}

	/**
	 * Takes over entries that a peer sent.
	 * @param news the entries
	 */
	public synchronized void merge(Collection<Crash> news) {
		for (Crash crash : news) {
			this.crashes.merge(crash.fingerprint(), crash, Crash::combine);
		}
	}

	/**
	 * Clears a suspect that has ended well.
	 * @param fingerprint the hash of the request's content
	 */
	public synchronized void clear(String fingerprint) {
		Crash known = this.crashes.get(fingerprint);
		if (known != null && known.count() < CRASHES_UNTIL_QUARANTINE) {
			this.crashes.remove(fingerprint);
		}
	}

	/**
	 * Says how a request is to be treated.
	 * @param fingerprint the hash of the request's content
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the treatment
	 */
	public synchronized Standing standing(String fingerprint, long nowMillis) {
		Crash known = this.crashes.get(fingerprint);
		if (known == null || known.expiryMillis() <= nowMillis) {
			return Standing.CLEAR;
		}
		return (known.count() >= CRASHES_UNTIL_QUARANTINE) ? Standing.QUARANTINED : Standing.SUSPECT;
	}

	/**
	 * Forgets expired entries.
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
	 * How a request is to be treated.
	 */
	public enum Standing {

		/** The request runs beside others. */
		CLEAR,
		/** The request runs apart from others. */
		SUSPECT,
		/** The request is refused. */
		QUARANTINED

	}

	/**
	 * The crashes of one request.
	 *
	 * @param fingerprint the hash of the request's content
	 * @param count the number of crashes
	 * @param lastCrashId the endpoint and boot of the last crash
	 * @param expiryMillis when the entry expires, in milliseconds since the epoch
	 */
	public record Crash(String fingerprint, int count, String lastCrashId, long expiryMillis) {

		Crash combine(Crash other) {
			boolean isSameCrash = this.lastCrashId.equals(other.lastCrashId);
			int least = isSameCrash ? 0 : CRASHES_UNTIL_QUARANTINE;
			int combined = Math.max(least, Math.max(this.count, other.count));
			long expiry = Math.max(this.expiryMillis, other.expiryMillis);
			return new Crash(this.fingerprint, combined, other.lastCrashId, expiry);
		}

	}

}
