package org.poplarloom.core;

/**
 * A number that orders the holders of a shard: an endpoint that checks fencing refuses
 * orders with a number lower than the highest it has seen.
 * <p>
 * The upper 48 bits count holders, the lower 16 bits tell instances apart that chose the
 * same count. This class is immutable and thread-safe.
 *
 * @param value the number, 0 or more
 */
public record FenceNumber(long value) implements Comparable<FenceNumber> {

	/** The number below every holder's number. */
	public static final FenceNumber NONE = new FenceNumber(0);

	private static final int INSTANCE_BITS = 16;

	private static final long INSTANCE_MASK = (1L << INSTANCE_BITS) - 1;

	public FenceNumber {
		if (value < 0) {
			throw new PoplarloomException(ErrorCode.INTERNAL, "fence number must not be negative, but was " + value);
		}
	}

	/**
	 * Returns the next higher number for the given instance.
	 * @param instance the new holder
	 * @return a number above this one
	 */
	public FenceNumber next(InstanceId instance) {
		long count = (this.value >>> INSTANCE_BITS) + 1;
		return new FenceNumber((count << INSTANCE_BITS) | (instance.value().hashCode() & INSTANCE_MASK));
	}

	@Override
	public int compareTo(FenceNumber other) {
		return Long.compare(this.value, other.value);
	}

}
