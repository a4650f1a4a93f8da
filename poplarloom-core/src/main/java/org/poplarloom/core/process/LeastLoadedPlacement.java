package org.poplarloom.core.process;

import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Places each request on the endpoint with the fewest running requests, first come, first
 * served.
 * <p>
 * It is the baseline that other policies are compared with. This class has no state and
 * is thread-safe.
 */
public final class LeastLoadedPlacement implements PlacementPolicy {

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		List<EndpointAllocations> candidates = Placements.admitting(request, endpoints, nowMillis);
		candidates.sort(Comparator.comparingInt(EndpointAllocations::running));
		return Placements.chooseShares(request, candidates);
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return 0;
	}

	@Override
	public boolean hasLengthClasses() {
		return false;
	}

}
