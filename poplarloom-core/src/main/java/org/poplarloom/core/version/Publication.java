package org.poplarloom.core.version;

/**
 * A record of the configuration stream: a change that an operator requested.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param id the identity of the publish call, the same in every repeated append
 * @param expectedOffset the offset of the last change of the subject that the operator
 * knew of, or {@link #ANY_OFFSET}; the change conflicts if the subject has another offset
 * @param operator the operator who requested it
 * @param change the change
 */
public record Publication(String id, long expectedOffset, String operator, Change change) {

	/** The expected offset of a change that never conflicts. */
	public static final long ANY_OFFSET = -2;

	/** The offset of a subject that was never changed. */
	public static final long NO_OFFSET = -1;

}
