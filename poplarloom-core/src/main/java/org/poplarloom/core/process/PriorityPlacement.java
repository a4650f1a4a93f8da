package org.poplarloom.core.process;

import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Places each request on the endpoint with the fewest running requests and leaves it to
 * the engines to run short prompts first, by priority.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class PriorityPlacement implements PlacementPolicy {

	private final boolean limitsLongPrefills;

	/**
	 * Creates the policy.
	 * @param limitsLongPrefills whether an endpoint prefills at most one long prompt at a
	 * time
	 */
	public PriorityPlacement(boolean limitsLongPrefills) {
		this.limitsLongPrefills = limitsLongPrefills;
	}

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		List<EndpointAllocations> candidates = Placements.admitting(request, endpoints, nowMillis);
		if (this.limitsLongPrefills && request.lengthClass().isLong()) {
			candidates.removeIf(EndpointAllocations::hasLongPrefill);
		}
		candidates.sort(Comparator.comparingInt(EndpointAllocations::running));
		return Placements.chooseShares(request, candidates);
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return EnginePriority.of(request.lengthClass(), isUrgent);
	}

	@Override
	public boolean hasLengthClasses() {
		return true;
	}

}
