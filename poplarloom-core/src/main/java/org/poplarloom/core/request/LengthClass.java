package org.poplarloom.core.request;

/**
 * Classes of prompt length, used for placement and for reporting time to first token.
 * <p>
 * This enum is immutable and thread-safe.
 */
public enum LengthClass {

	/** Up to 4,096 tokens. */
	SHORT(4_096),
	/** Up to 32,768 tokens. */
	MEDIUM(32_768),
	/** Up to 262,144 tokens. */
	LONG(262_144),
	/** Longer than 262,144 tokens. */
	HUGE(Long.MAX_VALUE);

	private final long maxTokens;

	LengthClass(long maxTokens) {
		this.maxTokens = maxTokens;
	}

	/**
	 * Returns the class of a prompt.
	 * @param promptTokens the length in tokens
	 * @return the class, never null
	 */
	public static LengthClass of(long promptTokens) {
		for (LengthClass candidate : values()) {
			if (promptTokens <= candidate.maxTokens) {
				return candidate;
			}
		}
		return HUGE;
	}

	/**
	 * Returns whether the prefill of a prompt of this class occupies an engine for
	 * seconds.
	 * @return true for {@link #LONG} and {@link #HUGE}
	 */
	public boolean isLong() {
		return this.ordinal() >= LONG.ordinal();
	}

}
