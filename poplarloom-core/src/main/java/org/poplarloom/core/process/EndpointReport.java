package org.poplarloom.core.process;

import java.util.Set;

import org.poplarloom.core.EndpointId;

/**
 * What an endpoint last said about itself; it lags behind the truth.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param bootId changes with every start of the endpoint's process
 * @param isLeaving whether the platform is about to stop the endpoint
 * @param models the loaded models
 * @param slots the most requests at one time
 * @param kvTokens the KV cache size in tokens
 * @param prefillTokensPerSecond the prefill rate
 * @param highestFence the highest fence number that the endpoint has seen
 * @param uptimeMillis the time since its start in milliseconds
 */
public record EndpointReport(EndpointId endpoint, String bootId, boolean isLeaving, Set<String> models, int slots,
		long kvTokens, double prefillTokensPerSecond, long highestFence, long uptimeMillis) {

	public EndpointReport {
		models = Set.copyOf(models);
	}

}
