package org.poplarloom.core;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

/**
 * The name of a team, the customer that a contract is made with.
 * <p>
 * The value is never null. It is 1 to 63 characters of a-z, 0-9, '.', '_' and '-' and
 * begins with a letter or digit. This class is immutable and thread-safe.
 *
 * @param value the text form
 */
public record TeamId(String value) implements Comparable<TeamId> {

	private static final String DERIVED_PREFIX = "team-";

	public TeamId {
		Identifiers.requireValid("team", value);
	}

	/**
	 * Returns the identifier with the given text form.
	 * @param value the text form, not null
	 * @return the identifier
	 * @throws PoplarloomException if the text is not a valid identifier
	 */
	public static TeamId of(String value) {
		return new TeamId(value);
	}

	/**
	 * Returns the identifier of a team whose name may have any form.
	 * @param name the name
	 * @return the name itself if it is a valid identifier, or else one that is derived
	 * from it and the same for the same name everywhere
	 */
	public static TeamId ofName(String name) {
		if (Identifiers.isValid(name)) {
			return new TeamId(name);
		}
		UUID derived = UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8));
		return new TeamId(DERIVED_PREFIX + derived);
	}

	@Override
	public int compareTo(TeamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
