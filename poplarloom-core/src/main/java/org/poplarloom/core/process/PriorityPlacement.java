package org.poplarloom.core.process;

import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Sends each request to the endpoint with the fewest requests and lets engines prefer
 * short prompts.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class PriorityPlacement implements PlacementPolicy {

	private final boolean boundsPrefill;

	/**
	 * Creates the policy.
	 * @param boundsPrefill whether an endpoint prefills at most one long prompt at a time
	 */
	public PriorityPlacement(boolean boundsPrefill) {
		this.boundsPrefill = boundsPrefill;
	}

	@Override
	public List<Share> place(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		List<EndpointLedger> candidates = Placements.admitting(request, endpoints, nowMillis);
		if (this.boundsPrefill && request.lengthClass().isLong()) {
			candidates.removeIf(EndpointLedger::hasLongPrefill);
		}
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
