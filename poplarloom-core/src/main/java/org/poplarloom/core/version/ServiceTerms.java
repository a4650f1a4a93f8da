package org.poplarloom.core.version;

/**
 * The terms of a contract for calls to one plain service.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param isRepeatable whether a call may be sent more than once, because it has no effect
 * or because the service itself detects a repeated key
 * @param repeatWindowSeconds how long an idempotency key is retained, in seconds
 */
public record ServiceTerms(boolean isRepeatable, long repeatWindowSeconds) {
}
