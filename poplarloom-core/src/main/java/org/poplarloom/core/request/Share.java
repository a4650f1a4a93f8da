package org.poplarloom.core.request;

import org.poplarloom.core.EndpointId;

/**
 * The part of a granted request that one endpoint holds in its KV cache.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param kvTokens the reserved KV cache size in tokens
 */
public record Share(EndpointId endpoint, long kvTokens) {
}
