package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Keeps a fixed part of the endpoints for short prompts and the rest for long ones.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class DedicatedPlacement implements PlacementPolicy {

	private final double shortFraction;

	/**
	 * Creates the policy.
	 * @param shortFraction the part of the endpoints that takes no long prompts, from 0
	 * to 1
	 */
	public DedicatedPlacement(double shortFraction) {
		this.shortFraction = shortFraction;
	}

	@Override
	public List<Share> place(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		int border = (int) Math.round(endpoints.size() * this.shortFraction);
		boolean isLong = request.lengthClass().isLong();
		List<EndpointLedger> own = isLong ? endpoints.subList(border, endpoints.size()) : endpoints.subList(0, border);
		List<EndpointLedger> candidates = Placements.admitting(request, new ArrayList<>(own), nowMillis);
		candidates.sort(Comparator.comparingInt(EndpointLedger::running));
		return Placements.reserve(request, candidates);
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return EnginePriority.of(request.lengthClass(), isUrgent);
	}

	@Override
	public boolean isClassed() {
		return true;
	}

}
