package org.poplarloom.core.process;

import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Keeps as many endpoints free of long prefills as the recent load of short prompts
 * needs, and places each short prompt where its estimated delay is shortest.
 * <p>
 * An endpoint prefills at most one long prompt at a time. While no long prompt is being
 * prefilled, one may use any number of endpoints. This class has no state and is
 * thread-safe.
 */
public final class AdaptivePlacement implements PlacementPolicy {

	/**
	 * Fraction of the prefill rate of the endpoints kept free that short prompts may use.
	 */
	private static final double MAX_SHORT_UTILIZATION = 0.5;

	/** Delay that a long prefill adds to a short prompt on the same endpoint. */
	private static final double LONG_PREFILL_PENALTY_MILLIS = 150;

	/** Prefill time saved if the prompt's prefix is cached. */
	private static final double CACHED_PREFIX_GAIN_MILLIS = 40;

	/** Delay that each running request adds by making decode steps longer. */
	private static final double RUNNING_PENALTY_MILLIS = 1;

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		List<EndpointAllocations> candidates = Placements.admitting(request, endpoints, nowMillis);
		if (!request.lengthClass().isLong()) {
			candidates.sort(Comparator.comparingDouble((endpoint) -> delayMillis(endpoint, request, nowMillis)));
			return Placements.chooseShares(request, candidates);
		}
		candidates.removeIf(EndpointAllocations::hasLongPrefill);
		candidates.sort(Comparator.comparingDouble((endpoint) -> endpoint.shortPrefillMillis(nowMillis)));
		List<Share> shares = Placements.chooseShares(request, candidates);
		return hasLongPrefillRoom(shares.size(), endpoints, load, nowMillis) ? shares : List.of();
	}

	private boolean hasLongPrefillRoom(int additional, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		long used = endpoints.stream().filter(EndpointAllocations::hasLongPrefill).count();
		return used == 0 || used + additional <= endpoints.size() - endpointsKeptFree(endpoints, load, nowMillis);
	}

	private long endpointsKeptFree(List<EndpointAllocations> endpoints, ShortPromptLoad load, long nowMillis) {
		double rate = endpoints.get(0).report().prefillTokensPerSecond();
		double needed = load.tokensPerSecond(nowMillis) / (rate * MAX_SHORT_UTILIZATION);
		return Math.min(endpoints.size() - 1L, (long) Math.ceil(needed));
	}

	private double delayMillis(EndpointAllocations endpoint, GrantRequest request, long nowMillis) {
		double delay = endpoint.shortPrefillMillis(nowMillis) + endpoint.running() * RUNNING_PENALTY_MILLIS;
		delay += endpoint.hasLongPrefill() ? LONG_PREFILL_PENALTY_MILLIS : 0;
		return delay - (endpoint.hasRecentPrefix(request.prefixHash()) ? CACHED_PREFIX_GAIN_MILLIS : 0);
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
