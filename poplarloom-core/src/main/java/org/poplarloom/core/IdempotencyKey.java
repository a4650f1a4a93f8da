package org.poplarloom.core;

import java.util.UUID;

/**
 * A caller's key for an order that must run at most once.
 * <p>
 * The key is a UUID version 7, so that it contains its creation time. This class is
 * immutable and thread-safe.
 *
 * @param value the UUID
 */
public record IdempotencyKey(UUID value) {

	private static final int VERSION_TIME_ORDERED = 7;

	public IdempotencyKey {
		if (value == null || value.version() != VERSION_TIME_ORDERED) {
			throw new PoplarloomException(ErrorCode.INVALID_IDEMPOTENCY_KEY,
					"idempotency key must be a UUID version 7, but was '" + value + "'");
		}
	}

	/**
	 * Parses the text form of a key.
	 * @param text the text form, may be null
	 * @return the key
	 * @throws PoplarloomException if the text is not a UUID version 7
	 */
	public static IdempotencyKey parse(String text) {
		try {
			return new IdempotencyKey(UUID.fromString(String.valueOf(text)));
		}
		catch (IllegalArgumentException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_IDEMPOTENCY_KEY,
					"idempotency key must be a UUID version 7, but was '" + text + "'");
		}
	}

	/**
	 * Creates a key from a creation time and random bits.
	 * @param creationMillis milliseconds since the epoch
	 * @param random random bits
	 * @return the key
	 */
	public static IdempotencyKey of(long creationMillis, long random) {
		long high = (creationMillis << 16) | 0x7000L | (random & 0xfffL);
		long low = 0x8000000000000000L | (random >>> 2);
		return new IdempotencyKey(new UUID(high, low));
	}

	/**
	 * Returns when the key was created.
	 * @return milliseconds since the epoch
	 */
	public long creationMillis() {
		return this.value.getMostSignificantBits() >>> 16;
	}

	@Override
	public String toString() {
		return this.value.toString();
	}

}
