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
 * @param handles the parts of larger prompts that the endpoint holds
 * @param takenMillis when it was asked for, by the local clock in milliseconds
 * @param engine the engine's speed, or null for a plain service or if it is not known
 */
public record EndpointReport(EndpointId endpoint, String bootId, boolean isLeaving, Set<String> models, int slots,
		long kvTokens, double prefillTokensPerSecond, long highestFence, long uptimeMillis, Set<String> handles,
		long takenMillis, EngineModel engine) {

	public EndpointReport {
		models = Set.copyOf(models);
		handles = Set.copyOf(handles);
	}

	public EndpointReport(EndpointId endpoint, String bootId, boolean isLeaving, Set<String> models, int slots,
			long kvTokens, double prefillTokensPerSecond, long highestFence, long uptimeMillis, Set<String> handles,
			long takenMillis) {
		this(endpoint, bootId, isLeaving, models, slots, kvTokens, prefillTokensPerSecond, highestFence, uptimeMillis,
				handles, takenMillis, null);
	}

	/**
	 * Returns the report with another time.
	 * @param newTakenMillis when it was asked for, by the local clock in milliseconds
	 * @return the report
	 */
	public EndpointReport withTakenMillis(long newTakenMillis) {
		return new EndpointReport(this.endpoint, this.bootId, this.isLeaving, this.models, this.slots, this.kvTokens,
				this.prefillTokensPerSecond, this.highestFence, this.uptimeMillis, this.handles, newTakenMillis,
				this.engine);
	}

	/**
	 * Returns the report of an endpoint that the platform is about to stop or that cannot
	 * be reached.
	 * @return the report
	 */
	public EndpointReport withLeaving() {
		return new EndpointReport(this.endpoint, this.bootId, true, this.models, this.slots, this.kvTokens,
				this.prefillTokensPerSecond, this.highestFence, this.uptimeMillis, this.handles, this.takenMillis,
				this.engine);
	}

}
