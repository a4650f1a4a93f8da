package org.poplarloom.core.admission;

import java.util.Locale;

/**
 * The rules by which a request is refused, or waits longer than its latency target
 * allows.
 * <p>
 * This enum is immutable and thread-safe.
 */
public enum AdmissionRule {

	/** No rule applies: the request was served in time or refused for another reason. */
	NONE,
	/** The request needs more time than is left, even without a queue. */
	TIME_TOO_SHORT,
	/** Requests of the same team come first and use up the team's share. */
	OWN_REQUESTS_AHEAD,
	/** Requests of a higher priority come first. */
	HIGHER_PRIORITY_AHEAD,
	/** Requests of teams that have received less engine time come first. */
	OTHER_TEAMS_AHEAD,
	/** Late requests with an earlier client timeout come first. */
	LATE_REQUESTS_AHEAD,
	/** Endpoints were lost while the request was queued. */
	CAPACITY_LOST,
	/** The request was first in its queue, but no endpoint had room for it. */
	NO_ROOM;

	/**
	 * Returns the form used in logs, such as {@code no_room}.
	 * @return the text form, never null
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
