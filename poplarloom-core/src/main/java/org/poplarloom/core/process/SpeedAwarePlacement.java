package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Places requests on endpoints of usual speed first.
 * <p>
 * Endpoints that are known to be slow get what the others cannot start in time, and a
 * single short prompt from time to time whose target leaves room for it. Without slow
 * endpoints every decision is that of the other policy. This class has no state of its
 * own and is thread-safe if the other policy is.
 */
public final class SpeedAwarePlacement implements PlacementPolicy {

	/** Fraction of the time to the target that a prompt may need on a slow endpoint. */
	private static final double PROBE_FRACTION = 0.8;

	private final PlacementPolicy policy;

	/**
	 * Creates a policy that differs from another one only for slow endpoints.
	 * @param policy the other policy
	 */
	public SpeedAwarePlacement(PlacementPolicy policy) {
		this.policy = policy;
	}

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		List<EndpointAllocations> usual = usual(request, endpoints, nowMillis);
		if (usual.size() == endpoints.size()) {
			return this.policy.place(request, endpoints, load, nowMillis);
		}
		List<Share> inTime = placeWithinTarget(request, endpoints, load, nowMillis);
		if (!inTime.isEmpty()) {
			return inTime;
		}
		List<Share> late = usual.isEmpty() ? List.of() : this.policy.place(request, usual, load, nowMillis);
		boolean mayUseAll = usual.isEmpty() || !request.lengthClass().isLong() || isLate(request, nowMillis);
		return (late.isEmpty() && mayUseAll) ? this.policy.place(request, endpoints, load, nowMillis) : late;
	}

	@Override
	public List<Share> placeWithinTarget(GrantRequest request, List<EndpointAllocations> endpoints,
			ShortPromptLoad load, long nowMillis) {
		List<EndpointAllocations> usual = usual(request, endpoints, nowMillis);
		if (usual.size() == endpoints.size()) {
			return this.policy.placeWithinTarget(request, endpoints, load, nowMillis);
		}
		List<EndpointAllocations> probed = probed(request, endpoints, nowMillis);
		List<Share> chosen = probed.isEmpty() ? List.of()
				: this.policy.placeWithinTarget(request, probed, load, nowMillis);
		if (chosen.isEmpty() && !usual.isEmpty()) {
			chosen = this.policy.placeWithinTarget(request, usual, load, nowMillis);
		}
		// A part of a long prompt on a slow endpoint would delay the others.
		boolean mayUseAll = usual.isEmpty() || !request.lengthClass().isLong();
		return (chosen.isEmpty() && mayUseAll) ? this.policy.placeWithinTarget(request, endpoints, load, nowMillis)
				: chosen;
	}

	@Override
	public List<Share> placeParts(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		List<EndpointAllocations> usual = usual(request, endpoints, nowMillis);
		return this.policy.placeParts(request, (usual.isEmpty() || isLate(request, nowMillis)) ? endpoints : usual,
				nowMillis);
	}

	@Override
	public double estimateFirstTokenMillis(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		List<EndpointAllocations> usual = usual(request, endpoints, nowMillis);
		return this.policy.estimateFirstTokenMillis(request, usual.isEmpty() ? endpoints : usual, nowMillis);
	}

	private static boolean isLate(GrantRequest request, long nowMillis) {
		return request.latencyTarget().firstTokenTargetMillis() <= nowMillis;
	}

	private static List<EndpointAllocations> usual(GrantRequest request, List<EndpointAllocations> endpoints,
			long nowMillis) {
		if (request.promptTokens() == 0) {
			return endpoints;
		}
		List<EndpointAllocations> usual = new ArrayList<>(endpoints.size());
		for (EndpointAllocations endpoint : endpoints) {
			if (!endpoint.speed().isSlow(request.lengthClass().isLong(), nowMillis)) {
				usual.add(endpoint);
			}
		}
		return usual;
	}

	private static List<EndpointAllocations> probed(GrantRequest request, List<EndpointAllocations> endpoints,
			long nowMillis) {
		if (request.lengthClass().isLong()) {
			return List.of();
		}
		double slackMillis = (request.latencyTarget().firstTokenTargetMillis() - nowMillis) * PROBE_FRACTION;
		for (EndpointAllocations endpoint : endpoints) {
			if (endpoint.speed().isProbeDue(nowMillis) && endpoint.backlogMillis(nowMillis)
					+ endpoint.prefillMillis(request.promptTokens()) <= slackMillis) {
				return List.of(endpoint);
			}
		}
		return List.of();
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return this.policy.priority(request, isUrgent);
	}

	@Override
	public boolean hasLengthClasses() {
		return this.policy.hasLengthClasses();
	}

	@Override
	public boolean isPrefillParallel() {
		return this.policy.isPrefillParallel();
	}

}
