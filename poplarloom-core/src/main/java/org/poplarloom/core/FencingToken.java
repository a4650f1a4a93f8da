package org.poplarloom.core;

/**
 * A fencing token, which orders the successive homes of a shard.
 * <p>
 * An endpoint that checks the token refuses requests with a lower token than the highest
 * it has seen. A home is the instance that grants the endpoints of one shard.
 * <p>
 * The upper 48 bits count the homes; the lower 16 bits distinguish instances that chose
 * the same count. This class is immutable and thread-safe.
 *
 * @param value the number, 0 or more
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	/** The token that is lower than every home's token. */
	public static final FencingToken NONE = new FencingToken(0);

	private static final int INSTANCE_BITS = 16;

	private static final long INSTANCE_MASK = (1L << INSTANCE_BITS) - 1;

	private static final long MAX_COUNT = Long.MAX_VALUE >>> INSTANCE_BITS;

	public FencingToken {
		if (value < 0) {
			throw new PoplarloomException(ErrorCode.INTERNAL, "fencing token must not be negative, but was " + value);
		}
	}

	/**
	 * Returns the next higher token for the given instance.
	 * @param instance the new home
	 * @return a token higher than this one, or the instance's highest token if the count
	 * cannot become higher
	 */
	public FencingToken next(InstanceId instance) {
		long count = Math.min((this.value >>> INSTANCE_BITS) + 1, MAX_COUNT);
		return new FencingToken((count << INSTANCE_BITS) | (instance.value().hashCode() & INSTANCE_MASK));
	}

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

}
