package org.poplarloom.core.version;

/**
 * A record of the configuration stream: a change that an operator asked for.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param id the identity of the publish call, the same in every repeated append
 * @param expectedOffset the offset at which the operator saw the subject change last, or
 * {@link #ANY_OFFSET}
 * @param operator who asked for it
 * @param change the change
 */
public record Publication(String id, long expectedOffset, String operator, Change change) {

	/** Accepts the subject whatever its last change. */
	public static final long ANY_OFFSET = -2;

	/** The offset of a subject that was never changed. */
	public static final long NO_OFFSET = -1;

}
