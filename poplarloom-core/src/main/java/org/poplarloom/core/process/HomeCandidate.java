package org.poplarloom.core.process;

/**
 * A home that may be chosen for a request, with the age of what is known of its load.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param status the last status of the home
 * @param isLocal whether the home is in the zone of the choosing instance
 * @param ageMillis the time since the choosing instance received the status, by its own
 * steady clock, in milliseconds
 */
public record HomeCandidate(ShardStatus status, boolean isLocal, long ageMillis) {

	public HomeCandidate {
		ageMillis = Math.max(0, ageMillis);
	}

}
