package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.ParallelPrefill;
import org.poplarloom.core.request.Share;

/**
 * Places requests by the time that engines are expected to need for them.
 * <p>
 * Short prompts are packed on endpoints that already generate answers, as long as they
 * start in time there, so that other endpoints stay free for long prompts. A long prompt
 * is prefilled in parallel by as few endpoints as bring its first token in time. An
 * endpoint whose answers would pause for too long gets a long prompt only if the prompt
 * has missed its target and has waited for other endpoints for some time. Calls of plain
 * services go to the endpoint with the fewest running requests. Cold endpoints, which
 * tolerate a low rate only, are not packed: the next request goes to the one with most of
 * its rate left. This class has no state and is thread-safe.
 */
public final class CostPlacement implements PlacementPolicy {

	/**
	 * Prefill time below which a part of a prompt is not worth the transfer of its KV
	 * cache between engines.
	 */
	private static final double MIN_PART_MILLIS = 60;

	/** Fraction of the time to the target that is used; the rest is reserve. */
	private static final double TARGET_FRACTION = 0.85;

	/** Fraction of the time to the client timeout that is used; the rest is reserve. */
	private static final double CLIENT_TIMEOUT_FRACTION = 0.7;

	/**
	 * Fraction of the time between the target and the client timeout in which a late
	 * prompt waits for an endpoint on which it delays no answer too long.
	 */
	private static final double LATE_WAIT_FRACTION = 0.2;

	/** Fraction of the allowed pause that is used; the rest is reserve. */
	private static final double PAUSE_FRACTION = 0.85;

	/** Maximum prefill backlog with which a short prompt still starts in time. */
	private static final double MAX_SHORT_BACKLOG_MILLIS = 110;

	/** Fraction of its slots up to which an endpoint is packed with short prompts. */
	private static final double PACKED_SLOT_FRACTION = 0.75;

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		List<Share> withinTarget = placeWithinTarget(request, endpoints, load, nowMillis);
		if (!withinTarget.isEmpty()) {
			return withinTarget;
		}
		List<EndpointAllocations> candidates = candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty()) {
			return List.of();
		}
		if (!isLongOnKnownEngines(request, candidates)) {
			return onOneEndpoint(request, leastDelayed(candidates, nowMillis));
		}
		double prefillMillis = candidates.get(0).prefillMillis(request.promptTokens());
		double fastestMillis = prefillMillis / Math.min(maxParts(prefillMillis), endpoints.size());
		return (budgetMillis(request, nowMillis) > fastestMillis) ? List.of()
				: placeLate(request, candidates, prefillMillis, nowMillis);
	}

	@Override
	public List<Share> placeWithinTarget(GrantRequest request, List<EndpointAllocations> endpoints,
			ShortPromptLoad load, long nowMillis) {
		List<EndpointAllocations> candidates = candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty()) {
			return List.of();
		}
		if (request.promptTokens() == 0) {
			return onOneEndpoint(request, fewestRunning(candidates, nowMillis));
		}
		return isLongOnKnownEngines(request, candidates)
				? placeLong(request, candidates, budgetMillis(request, nowMillis), nowMillis)
				: placeShort(request, candidates, nowMillis);
	}

	@Override
	public List<Share> placeParts(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		ParallelPrefill prefill = request.parallelPrefill();
		List<EndpointAllocations> candidates = Placements.admitting(request, endpoints, nowMillis);
		candidates.removeIf((endpoint) -> endpoint.freeKvTokens() < prefill.partKvTokens());
		return withinPauseLimit(candidates, prefill.partMillis(),
				request.latencyTarget().firstTokenTargetMillis() - nowMillis, nowMillis)
			.stream()
			.limit(prefill.maxParts())
			.map((endpoint) -> new Share(endpoint.id(), prefill.partKvTokens()))
			.toList();
	}

	@Override
	public double estimateFirstTokenMillis(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		List<EndpointAllocations> candidates = candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty()) {
			return Math.max(0, request.latencyTarget().firstTokenDeadlineMillis() - nowMillis);
		}
		double prefillMillis = candidates.get(0).prefillMillis(request.promptTokens());
		if (!isLongOnKnownEngines(request, candidates)) {
			return leastDelayed(candidates, nowMillis).backlogMillis(nowMillis) + prefillMillis;
		}
		List<EndpointAllocations> chosen = fastest(candidates, prefillMillis, nowMillis);
		return finishMillis(chosen.get(chosen.size() - 1), prefillMillis / chosen.size(), nowMillis);
	}

	static List<EndpointAllocations> candidates(GrantRequest request, List<EndpointAllocations> endpoints,
			long nowMillis) {
		List<EndpointAllocations> candidates = Placements.admitting(request, endpoints, nowMillis);
		candidates.removeIf((endpoint) -> endpoint.freeKvTokens() < request.kvTokens());
		return candidates;
	}

	static boolean isLongOnKnownEngines(GrantRequest request, List<EndpointAllocations> candidates) {
		return request.lengthClass().isLong() && candidates.get(0).report().engine() != null;
	}

	private static double budgetMillis(GrantRequest request, long nowMillis) {
		return (request.latencyTarget().firstTokenTargetMillis() - nowMillis) * TARGET_FRACTION;
	}

	private static EndpointAllocations fewestRunning(List<EndpointAllocations> candidates, long nowMillis) {
		return candidates.stream()
			.min(Comparator.comparingInt(EndpointAllocations::running).thenComparing(mostRateLeft(nowMillis)))
			.orElseThrow();
	}

	// Endpoints that are not cold come first, all alike.
	static Comparator<EndpointAllocations> mostRateLeft(long nowMillis) {
		return Comparator.comparingDouble((EndpointAllocations endpoint) -> -endpoint.coldLimit().available(nowMillis))
			.thenComparingLong((endpoint) -> endpoint.coldLimit().lastColdGrantMillis(nowMillis));
	}

	static List<Share> onOneEndpoint(GrantRequest request, EndpointAllocations endpoint) {
		return List.of(new Share(endpoint.id(), request.kvTokens()));
	}

	private static List<Share> placeShort(GrantRequest request, List<EndpointAllocations> candidates, long nowMillis) {
		List<EndpointAllocations> suitable = suitableForShort(request, candidates);
		if (suitable.isEmpty()) {
			return List.of();
		}
		List<EndpointAllocations> withRoom = withRoom(suitable, nowMillis);
		if (!withRoom.isEmpty()) {
			return onOneEndpoint(request, packed(withRoom, nowMillis));
		}
		EndpointAllocations best = leastDelayed(suitable, nowMillis);
		return startsWithinTarget(request, best, nowMillis) ? onOneEndpoint(request, best) : List.of();
	}

	static List<EndpointAllocations> suitableForShort(GrantRequest request, List<EndpointAllocations> candidates) {
		return candidates.stream()
			.filter((endpoint) -> !endpoint.hasLongPrefill()
					&& !endpoint.wouldExceedPauseLimit(endpoint.prefillMillis(request.promptTokens()), PAUSE_FRACTION))
			.toList();
	}

	static List<EndpointAllocations> withRoom(List<EndpointAllocations> suitable, long nowMillis) {
		return suitable.stream()
			.filter((endpoint) -> endpoint.running() < PACKED_SLOT_FRACTION * endpoint.report().slots()
					&& endpoint.backlogMillis(nowMillis) <= MAX_SHORT_BACKLOG_MILLIS)
			.toList();
	}

	static boolean startsWithinTarget(GrantRequest request, EndpointAllocations endpoint, long nowMillis) {
		double delayMillis = endpoint.backlogMillis(nowMillis) + endpoint.prefillMillis(request.promptTokens());
		return delayMillis <= budgetMillis(request, nowMillis);
	}

	// Whether an endpoint would still start the prompt in time if it were idle.
	static boolean mayStartWithinTarget(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		double budgetMillis = budgetMillis(request, nowMillis);
		return endpoints.stream()
			.anyMatch((endpoint) -> endpoint.isEligible(request)
					&& endpoint.prefillMillis(request.promptTokens()) <= budgetMillis);
	}

	private static EndpointAllocations packed(List<EndpointAllocations> candidates, long nowMillis) {
		return candidates.stream()
			.filter((endpoint) -> !endpoint.coldLimit().isCold(nowMillis))
			.max(Comparator.comparingInt(EndpointAllocations::running)
				.thenComparing(Comparator.comparing(EndpointAllocations::id).reversed()))
			.orElseGet(() -> candidates.stream().min(mostRateLeft(nowMillis)).orElseThrow());
	}

	private static EndpointAllocations leastDelayed(List<EndpointAllocations> candidates, long nowMillis) {
		return candidates.stream().min(leastDelay(nowMillis)).orElseThrow();
	}

	static Comparator<EndpointAllocations> leastDelay(long nowMillis) {
		return Comparator
			.comparingDouble((EndpointAllocations endpoint) -> endpoint.backlogMillis(nowMillis) + endpoint.running())
			.thenComparing(mostRateLeft(nowMillis));
	}

	private static List<Share> placeLong(GrantRequest request, List<EndpointAllocations> candidates,
			double budgetMillis, long nowMillis) {
		double prefillMillis = candidates.get(0).prefillMillis(request.promptTokens());
		for (int parts = 1; parts <= Math.min(maxParts(prefillMillis), candidates.size()); parts++) {
			List<EndpointAllocations> chosen = withinPauseLimit(candidates, prefillMillis / parts, budgetMillis,
					nowMillis);
			if (chosen.size() >= parts) {
				return inParallel(request, chosen.subList(0, parts));
			}
		}
		return List.of();
	}

	// A prompt that misses its target in any case may pause other answers for too long,
	// but only after it has waited for endpoints on which it does not, and on as few
	// endpoints as possible.
	private static List<Share> placeLate(GrantRequest request, List<EndpointAllocations> candidates,
			double prefillMillis, long nowMillis) {
		LatencyTarget target = request.latencyTarget();
		double remainingMillis = target.firstTokenDeadlineMillis() - nowMillis;
		List<Share> withinLimit = placeLong(request, candidates, remainingMillis * CLIENT_TIMEOUT_FRACTION, nowMillis);
		if (!withinLimit.isEmpty()) {
			return withinLimit;
		}
		double waitEndMillis = target.firstTokenTargetMillis()
				+ (target.firstTokenDeadlineMillis() - target.firstTokenTargetMillis()) * LATE_WAIT_FRACTION;
		return (nowMillis < waitEndMillis) ? List.of()
				: inParallel(request, fewestBeforeTimeout(candidates, prefillMillis, remainingMillis, nowMillis));
	}

	// Chooses as few endpoints as finish before the client timeout, those with the fewest
	// running requests; the maximum number if none finish by then.
	private static List<EndpointAllocations> fewestBeforeTimeout(List<EndpointAllocations> candidates,
			double prefillMillis, double remainingMillis, long nowMillis) {
		List<EndpointAllocations> ordered = new ArrayList<>(candidates);
		ordered.sort(Comparator.comparingInt(EndpointAllocations::running)
			.thenComparingDouble((endpoint) -> endpoint.backlogMillis(nowMillis)));
		int max = Math.min(maxParts(prefillMillis), ordered.size());
		for (int parts = 1; parts < max; parts++) {
			double partMillis = prefillMillis / parts;
			List<EndpointAllocations> chosen = ordered.subList(0, parts);
			if (chosen.stream()
				.allMatch((endpoint) -> endpoint.backlogMillis(nowMillis) + partMillis <= remainingMillis
						* CLIENT_TIMEOUT_FRACTION)) {
				return chosen;
			}
		}
		return ordered.subList(0, max);
	}

	private static int maxParts(double prefillMillis) {
		return (int) Math.max(1, Math.min(ParallelPrefill.MAX_PARTS, prefillMillis / MIN_PART_MILLIS));
	}

	// Finds the endpoints that prefill a part in time without pausing an answer too long.
	private static List<EndpointAllocations> withinPauseLimit(List<EndpointAllocations> candidates, double partMillis,
			double budgetMillis, long nowMillis) {
		List<EndpointAllocations> chosen = new ArrayList<>();
		for (EndpointAllocations endpoint : candidates) {
			boolean isInTime = endpoint.backlogMillis(nowMillis) + partMillis <= budgetMillis;
			if (isInTime && !endpoint.wouldExceedPauseLimit(partMillis, PAUSE_FRACTION)) {
				chosen.add(endpoint);
			}
		}
		chosen.sort(Comparator.comparingInt(EndpointAllocations::running)
			.thenComparingDouble((endpoint) -> endpoint.backlogMillis(nowMillis))
			.thenComparing(mostRateLeft(nowMillis)));
		return chosen;
	}

	// Chooses the endpoints that finish the prefill earliest; delayed answers of other
	// requests count only as a time penalty.
	private static List<EndpointAllocations> fastest(List<EndpointAllocations> candidates, double prefillMillis,
			long nowMillis) {
		List<EndpointAllocations> ordered = new ArrayList<>(candidates);
		ordered.sort(Comparator.comparingDouble((endpoint) -> finishMillis(endpoint, 0, nowMillis)));
		int best = 1;
		for (int parts = 2; parts <= Math.min(maxParts(prefillMillis), ordered.size()); parts++) {
			double bestMillis = finishMillis(ordered.get(best - 1), prefillMillis / best, nowMillis);
			if (finishMillis(ordered.get(parts - 1), prefillMillis / parts, nowMillis) < bestMillis) {
				best = parts;
			}
		}
		return ordered.subList(0, best);
	}

	private static double finishMillis(EndpointAllocations endpoint, double partMillis, long nowMillis) {
		return endpoint.backlogMillis(nowMillis) + endpoint.delayPenaltyMillis() + partMillis;
	}

	// The last endpoint generates the answer, so the first of the chosen ones, which runs
	// the fewest requests, comes last.
	private static List<Share> inParallel(GrantRequest request, List<EndpointAllocations> chosen) {
		List<Share> shares = new ArrayList<>();
		for (int i = chosen.size() - 1; i > 0; i--) {
			shares.add(new Share(chosen.get(i).id(), 0));
		}
		shares.add(new Share(chosen.get(0).id(), request.kvTokens()));
		return shares;
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return EnginePriority.of(request.lengthClass(), isUrgent);
	}

	@Override
	public boolean hasLengthClasses() {
		return true;
	}

	@Override
	public boolean isPrefillParallel() {
		return true;
	}

}
