package org.poplarloom.core.version;

/**
 * What a contract says about calls to one plain service.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param isRepeatable whether a call may be sent more than once, because it has no effect
 * or because the service itself recognises a repeated key
 * @param repeatWindowSeconds how long an idempotency key is remembered, in seconds
 */
public record ServiceTerms(boolean isRepeatable, long repeatWindowSeconds) {
}
