package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Dedicates a fixed fraction of the endpoints to short prompts and the rest to long ones.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class DedicatedPlacement implements PlacementPolicy {

	private final double shortFraction;

	/**
	 * Creates the policy.
	 * @param shortFraction the fraction of the endpoints that run only short prompts,
	 * from 0 to 1
	 */
	public DedicatedPlacement(double shortFraction) {
		this.shortFraction = shortFraction;
	}

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		int shortCount = (int) Math.round(endpoints.size() * this.shortFraction);
		boolean isLong = request.lengthClass().isLong();
		List<EndpointAllocations> dedicated = isLong ? endpoints.subList(shortCount, endpoints.size())
				: endpoints.subList(0, shortCount);
		List<EndpointAllocations> candidates = Placements.admitting(request, new ArrayList<>(dedicated), nowMillis);
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
