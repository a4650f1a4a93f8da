package org.poplarloom.core.process;

import java.util.Set;

import org.poplarloom.core.EndpointId;

/**
 * The state that an endpoint last reported; it lags behind the actual state.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param bootId the identity of the process, which changes with every start
 * @param isDraining whether the endpoint is draining: it takes no new work and will stop
 * @param models the loaded models
 * @param slots the maximum number of requests at one time
 * @param kvTokens the KV cache size in tokens
 * @param prefillTokensPerSecond the prefill rate in tokens per second
 * @param highestFencingToken the highest fencing token that the endpoint has seen
 * @param uptimeMillis the time since the start of the process, in milliseconds
 * @param handles the keys of the grants whose prompt segments are in its KV cache
 * @param requestedMillis when the report was requested, by the local clock in
 * milliseconds
 * @param engine the engine's speed, or null for a plain service or if it is not known
 * @param coldPeriod when the endpoint is cold, and the requests that it tolerates then; a
 * null argument stands for {@link ColdPeriod#NONE}
 */
public record EndpointReport(EndpointId endpoint, String bootId, boolean isDraining, Set<String> models, int slots,
		long kvTokens, double prefillTokensPerSecond, long highestFencingToken, long uptimeMillis, Set<String> handles,
		long requestedMillis, EngineModel engine, ColdPeriod coldPeriod) {

	public EndpointReport {
		models = Set.copyOf(models);
		handles = Set.copyOf(handles);
		coldPeriod = (coldPeriod != null) ? coldPeriod : ColdPeriod.NONE;
	}

	public EndpointReport(EndpointId endpoint, String bootId, boolean isDraining, Set<String> models, int slots,
			long kvTokens, double prefillTokensPerSecond, long highestFencingToken, long uptimeMillis,
			Set<String> handles, long requestedMillis, EngineModel engine) {
		this(endpoint, bootId, isDraining, models, slots, kvTokens, prefillTokensPerSecond, highestFencingToken,
				uptimeMillis, handles, requestedMillis, engine, null);
	}

	public EndpointReport(EndpointId endpoint, String bootId, boolean isDraining, Set<String> models, int slots,
			long kvTokens, double prefillTokensPerSecond, long highestFencingToken, long uptimeMillis,
			Set<String> handles, long requestedMillis) {
		this(endpoint, bootId, isDraining, models, slots, kvTokens, prefillTokensPerSecond, highestFencingToken,
				uptimeMillis, handles, requestedMillis, null, null);
	}

	/**
	 * Returns the report with another time of the request for it.
	 * @param newRequestedMillis when the report was requested, by the local clock in
	 * milliseconds
	 * @return the report
	 */
	public EndpointReport withRequestedMillis(long newRequestedMillis) {
		return new EndpointReport(this.endpoint, this.bootId, this.isDraining, this.models, this.slots, this.kvTokens,
				this.prefillTokensPerSecond, this.highestFencingToken, this.uptimeMillis, this.handles,
				newRequestedMillis, this.engine, this.coldPeriod);
	}

	/**
	 * Returns the report marked as draining, for an endpoint that the platform is about
	 * to stop or that cannot be reached.
	 * @return the report
	 */
	public EndpointReport withDraining() {
		return new EndpointReport(this.endpoint, this.bootId, true, this.models, this.slots, this.kvTokens,
				this.prefillTokensPerSecond, this.highestFencingToken, this.uptimeMillis, this.handles,
				this.requestedMillis, this.engine, this.coldPeriod);
	}

	/**
	 * Returns the report with another cold period.
	 * @param newColdPeriod the cold period
	 * @return the report
	 */
	public EndpointReport withColdPeriod(ColdPeriod newColdPeriod) {
		return new EndpointReport(this.endpoint, this.bootId, this.isDraining, this.models, this.slots, this.kvTokens,
				this.prefillTokensPerSecond, this.highestFencingToken, this.uptimeMillis, this.handles,
				this.requestedMillis, this.engine, newColdPeriod);
	}

	/**
	 * The time until which an endpoint is cold. A cold endpoint may crash at a rate of
	 * requests well above the one that it tolerates.
	 *
	 * @param requestsPerSecond the rate that the endpoint tolerates while it is cold, 0
	 * if it tolerates any
	 * @param endMillis when it will be warm, by the local clock in milliseconds since the
	 * epoch, 0 if it is warm
	 */
	public record ColdPeriod(double requestsPerSecond, long endMillis) {

		/** The endpoint tolerates any rate at any time. */
		public static final ColdPeriod NONE = new ColdPeriod(0, 0);

		public ColdPeriod {
			if (!(requestsPerSecond >= 0)) {
				throw new IllegalArgumentException(
						"requestsPerSecond must not be negative but is " + requestsPerSecond);
			}
		}

	}

}
