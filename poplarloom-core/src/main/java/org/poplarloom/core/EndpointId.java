package org.poplarloom.core;

/**
 * The name of a model worker or plain service process that requests are sent to.
 * <p>
 * The value is never null. It is 1 to 63 characters of a-z, 0-9, '.', '_' and '-' and
 * begins with a letter or digit. This class is immutable and thread-safe.
 *
 * @param value the text form
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

	public EndpointId {
		Identifiers.requireValid("endpoint", value);
	}

	/**
	 * Returns the identifier with the given text form.
	 * @param value the text form, not null
	 * @return the identifier
	 * @throws PoplarloomException if the text is not a valid identifier
	 */
	public static EndpointId of(String value) {
		return new EndpointId(value);
	}

	@Override
	public int compareTo(EndpointId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
