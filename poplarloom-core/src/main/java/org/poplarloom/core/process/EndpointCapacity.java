package org.poplarloom.core.process;

import org.poplarloom.core.admission.Capacity;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.ParallelPrefill;

/**
 * What a home's endpoints can do for a request, by their engine models.
 * <p>
 * This class is not thread-safe; its home's lock guards it.
 */
final class EndpointCapacity implements Capacity {

	/**
	 * Assumed time of a call of a plain service, in milliseconds. Plain services have no
	 * model; since the rate at which they are served is measured in the same unit, only
	 * the first moments of a queue depend on it.
	 */
	private static final double PLAIN_CALL_MILLIS = 30;

	private static final double MIN_ENGINE_MILLIS = 0.1;

	private final PlacementPolicy policy;

	private final ShardAllocations allocations;

	EndpointCapacity(PlacementPolicy policy, ShardAllocations allocations) {
		this.policy = policy;
		this.allocations = allocations;
	}

	@Override
	public int endpoints(GrantRequest request) {
		int count = 0;
		for (EndpointAllocations endpoint : this.allocations.endpoints()) {
			count += endpoint.isEligible(request) ? 1 : 0;
		}
		return count;
	}

	private EndpointAllocations first(GrantRequest request) {
		for (EndpointAllocations endpoint : this.allocations.endpoints()) {
			if (endpoint.isEligible(request)) {
				return endpoint;
			}
		}
		return null;
	}

	@Override
	public double engineMillis(GrantRequest request) {
		ParallelPrefill parts = request.parallelPrefill();
		if (parts != null) {
			return Math.max(MIN_ENGINE_MILLIS, parts.partMillis() * parts.maxParts());
		}
		EndpointAllocations endpoint = first(request);
		if (endpoint == null) {
			return MIN_ENGINE_MILLIS;
		}
		int slots = Math.max(1, endpoint.report().slots());
		double millis = (request.promptTokens() == 0) ? PLAIN_CALL_MILLIS / slots
				: endpoint.modelPrefillMillis(request.promptTokens()) + decodeMillis(request, endpoint, slots);
		return Math.max(MIN_ENGINE_MILLIS, millis);
	}

	// An engine that uses all its slots generates that many answers at a time.
	private static double decodeMillis(GrantRequest request, EndpointAllocations endpoint, int slots) {
		EngineModel engine = endpoint.report().engine();
		if (engine == null) {
			return 0;
		}
		double passMillis = engine.passMillis(slots, endpoint.report().kvTokens());
		return request.answerTokens() / (double) engine.stepsPerPass() * passMillis / slots;
	}

	@Override
	public double firstTokenMillis(GrantRequest request) {
		EndpointAllocations endpoint = first(request);
		if (endpoint == null || request.promptTokens() == 0) {
			return 0;
		}
		int parts = (request.lengthClass().isLong() && this.policy.isPrefillParallel())
				? Math.max(1, Math.min(ParallelPrefill.MAX_PARTS, endpoints(request))) : 1;
		return endpoint.modelPrefillMillis(request.promptTokens()) / parts;
	}

}
