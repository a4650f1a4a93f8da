package org.poplarloom.core.process;

import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Keeps as many endpoints free of long prefills as the recent load of short prompts
 * needs, and sends short prompts where they wait least.
 * <p>
 * An endpoint prefills at most one long prompt at a time. The number of endpoints kept
 * free follows the load. This class has no state and is thread-safe.
 */
public final class AdaptivePlacement implements PlacementPolicy {

	/** The part of a kept endpoint's prefill rate that short prompts may use. */
	private static final double SHORT_UTILIZATION = 0.5;

	/** The delay that a long prefill adds to a short prompt on the same endpoint. */
	private static final double LONG_PREFILL_PENALTY_MILLIS = 150;

	/** The time saved by a cached leading block. */
	private static final double CACHED_PREFIX_GAIN_MILLIS = 40;

	/** The delay that each running request adds, through longer decode steps. */
	private static final double RUNNING_PENALTY_MILLIS = 1;

	@Override
	public List<Share> place(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		List<EndpointLedger> candidates = Placements.admitting(request, endpoints, nowMillis);
		if (!request.lengthClass().isLong()) {
			candidates.sort(Comparator.comparingDouble((ledger) -> delayMillis(ledger, request, nowMillis)));
			return Placements.reserve(request, candidates);
		}
		candidates.removeIf(EndpointLedger::hasLongPrefill);
		candidates.sort(Comparator.comparingDouble((ledger) -> ledger.shortPrefillMillis(nowMillis)));
		List<Share> shares = Placements.reserve(request, candidates);
		return fitsLanes(shares.size(), endpoints, load, nowMillis) ? shares : List.of();
	}

	private boolean fitsLanes(int added, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		long used = endpoints.stream().filter(EndpointLedger::hasLongPrefill).count();
		return used == 0 || used + added <= endpoints.size() - keptFree(endpoints, load, nowMillis);
	}

	private long keptFree(List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		double rate = endpoints.get(0).report().prefillTokensPerSecond();
		double needed = load.tokensPerSecond(nowMillis) / (rate * SHORT_UTILIZATION);
		return Math.min(endpoints.size() - 1L, (long) Math.ceil(needed));
	}

	private double delayMillis(EndpointLedger ledger, GrantRequest request, long nowMillis) {
		double delay = ledger.shortPrefillMillis(nowMillis) + ledger.running() * RUNNING_PENALTY_MILLIS;
		delay += ledger.hasLongPrefill() ? LONG_PREFILL_PENALTY_MILLIS : 0;
		return delay - (ledger.hasPrefix(request.prefixHash()) ? CACHED_PREFIX_GAIN_MILLIS : 0);
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
