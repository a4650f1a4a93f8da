package org.poplarloom.core;

/**
 * The name of an availability zone.
 * <p>
 * The value is never null. It is 1 to 63 characters of a-z, 0-9, '.', '_' and '-' and
 * begins with a letter or digit. This class is immutable and thread-safe.
 *
 * @param value the text form
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

	public AvailabilityZone {
		Identifiers.requireValid("availability zone", value);
	}

	/**
	 * Returns the identifier with the given text form.
	 * @param value the text form, not null
	 * @return the identifier
	 * @throws PoplarloomException if the text is not a valid identifier
	 */
	public static AvailabilityZone of(String value) {
		return new AvailabilityZone(value);
	}

	@Override
	public int compareTo(AvailabilityZone other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
