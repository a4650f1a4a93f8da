package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.PartsWanted;
import org.poplarloom.core.request.Share;

/**
 * Places requests by what engines are expected to need for them.
 * <p>
 * Short prompts gather on endpoints that already write answers, as long as they start in
 * time there, so that other endpoints stay free for long prompts. A long prompt is read
 * by as few endpoints together as its first token allows, and where possible not on one
 * whose answers would pause for too long. It waits for better endpoints while there is
 * time. Calls of plain services go to the endpoint that runs the fewest. This class has
 * no state and is thread-safe.
 */
public final class CostPlacement implements PlacementPolicy {

	/** The most endpoints that read one prompt: the first one and 16 helpers. */
	private static final int MOST_PARTS = 17;

	/** Smallest part worth the transfer between engines, in milliseconds of reading. */
	private static final double SMALLEST_PART_MILLIS = 60;

	/** Part of the time to the first token that is planned with; the rest is reserve. */
	private static final double TARGET_SHARE = 0.85;

	/** Part of the longest pause that is planned with; the rest is reserve. */
	private static final double PAUSE_SHARE = 0.85;

	/** Reading ahead of a short prompt that still leaves it time, in milliseconds. */
	private static final double SHORT_BACKLOG_MILLIS = 110;

	/** Part of the slots that short prompts fill before they spread. */
	private static final double PACKED_SHARE = 0.75;

	@Override
	public List<Share> place(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		List<Share> prompt = placePromptly(request, endpoints, load, nowMillis);
		if (!prompt.isEmpty()) {
			return prompt;
		}
		List<EndpointLedger> candidates = candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty()) {
			return List.of();
		}
		if (!isLongOnEngines(request, candidates)) {
			return alone(request, soonest(candidates, nowMillis));
		}
		double whole = candidates.get(0).prefillMillis(request.promptTokens());
		double fastest = whole / Math.min(mostParts(whole), endpoints.size());
		return (budgetMillis(request, nowMillis) > fastest) ? List.of()
				: together(request, fastest(candidates, whole, nowMillis));
	}

	@Override
	public List<Share> placePromptly(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load,
			long nowMillis) {
		List<EndpointLedger> candidates = candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty()) {
			return List.of();
		}
		if (request.promptTokens() == 0) {
			return alone(request, leastRunning(candidates));
		}
		return isLongOnEngines(request, candidates) ? placeLong(request, candidates, nowMillis)
				: placeShort(request, candidates, nowMillis);
	}

	@Override
	public List<Share> placeParts(GrantRequest request, List<EndpointLedger> endpoints, long nowMillis) {
		PartsWanted parts = request.parts();
		List<EndpointLedger> candidates = Placements.admitting(request, endpoints, nowMillis);
		candidates.removeIf((ledger) -> ledger.freeKvTokens() < parts.partKvTokens());
		return undisturbed(candidates, parts.partMillis(), request.pace().targetMillis() - nowMillis, nowMillis)
			.stream()
			.limit(parts.most())
			.map((ledger) -> new Share(ledger.endpoint(), parts.partKvTokens()))
			.toList();
	}

	@Override
	public double firstTokenMillis(GrantRequest request, List<EndpointLedger> endpoints, long nowMillis) {
		List<EndpointLedger> candidates = candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty()) {
			return Math.max(0, request.pace().latestMillis() - nowMillis);
		}
		double whole = candidates.get(0).prefillMillis(request.promptTokens());
		if (!isLongOnEngines(request, candidates)) {
			return soonest(candidates, nowMillis).backlogMillis(nowMillis) + whole;
		}
		List<EndpointLedger> chosen = fastest(candidates, whole, nowMillis);
		return end(chosen.get(chosen.size() - 1), whole / chosen.size(), nowMillis);
	}

	private static List<EndpointLedger> candidates(GrantRequest request, List<EndpointLedger> endpoints,
			long nowMillis) {
		List<EndpointLedger> candidates = Placements.admitting(request, endpoints, nowMillis);
		candidates.removeIf((ledger) -> ledger.freeKvTokens() < request.kvTokens());
		return candidates;
	}

	private static boolean isLongOnEngines(GrantRequest request, List<EndpointLedger> candidates) {
		return request.lengthClass().isLong() && candidates.get(0).report().engine() != null;
	}

	private static double budgetMillis(GrantRequest request, long nowMillis) {
		return (request.pace().targetMillis() - nowMillis) * TARGET_SHARE;
	}

	private static EndpointLedger leastRunning(List<EndpointLedger> candidates) {
		return candidates.stream().min(Comparator.comparingInt(EndpointLedger::running)).orElseThrow();
	}

	private static List<Share> alone(GrantRequest request, EndpointLedger ledger) {
		return List.of(new Share(ledger.endpoint(), request.kvTokens()));
	}

	private static List<Share> placeShort(GrantRequest request, List<EndpointLedger> candidates, long nowMillis) {
		EndpointLedger packed = null;
		for (EndpointLedger ledger : candidates) {
			boolean isRoomy = ledger.running() < PACKED_SHARE * ledger.report().slots();
			boolean isPrompt = ledger.backlogMillis(nowMillis) <= SHORT_BACKLOG_MILLIS && !ledger.hasLongPrefill();
			if (isRoomy && isPrompt && (packed == null || ledger.running() > packed.running())) {
				packed = ledger;
			}
		}
		if (packed != null) {
			return alone(request, packed);
		}
		EndpointLedger soonest = soonest(candidates, nowMillis);
		double delay = soonest.backlogMillis(nowMillis) + soonest.prefillMillis(request.promptTokens());
		boolean isInTime = delay <= budgetMillis(request, nowMillis) && !soonest.hasLongPrefill();
		return isInTime ? alone(request, soonest) : List.of();
	}

	private static EndpointLedger soonest(List<EndpointLedger> candidates, long nowMillis) {
		return candidates.stream()
			.min(Comparator
				.comparingDouble((EndpointLedger ledger) -> ledger.backlogMillis(nowMillis) + ledger.running()))
			.orElseThrow();
	}

	private static List<Share> placeLong(GrantRequest request, List<EndpointLedger> candidates, long nowMillis) {
		double whole = candidates.get(0).prefillMillis(request.promptTokens());
		double budget = budgetMillis(request, nowMillis);
		for (int parts = 1; parts <= Math.min(mostParts(whole), candidates.size()); parts++) {
			List<EndpointLedger> chosen = undisturbed(candidates, whole / parts, budget, nowMillis);
			if (chosen.size() >= parts) {
				return together(request, chosen.subList(0, parts));
			}
		}
		return List.of();
	}

	private static int mostParts(double whole) {
		return (int) Math.max(1, Math.min(MOST_PARTS, whole / SMALLEST_PART_MILLIS));
	}

	// Finds the endpoints that read a part in time without delaying other answers.
	private static List<EndpointLedger> undisturbed(List<EndpointLedger> candidates, double partMillis, double budget,
			long nowMillis) {
		List<EndpointLedger> chosen = new ArrayList<>();
		for (EndpointLedger ledger : candidates) {
			boolean isInTime = ledger.backlogMillis(nowMillis) + partMillis <= budget;
			if (isInTime && partMillis <= ledger.shortestPauseMillis() * PAUSE_SHARE - ledger.passMillis()) {
				chosen.add(ledger);
			}
		}
		chosen.sort(Comparator.comparingInt(EndpointLedger::running)
			.thenComparingDouble((ledger) -> ledger.backlogMillis(nowMillis)));
		return chosen;
	}

	// Chooses the endpoints with which the prompt is read soonest, whoever waits.
	private static List<EndpointLedger> fastest(List<EndpointLedger> candidates, double whole, long nowMillis) {
		List<EndpointLedger> ordered = new ArrayList<>(candidates);
		ordered.sort(Comparator.comparingDouble((ledger) -> end(ledger, 0, nowMillis)));
		int best = 1;
		for (int parts = 2; parts <= Math.min(mostParts(whole), ordered.size()); parts++) {
			double present = end(ordered.get(best - 1), whole / best, nowMillis);
			if (end(ordered.get(parts - 1), whole / parts, nowMillis) < present) {
				best = parts;
			}
		}
		return ordered.subList(0, best);
	}

	private static double end(EndpointLedger ledger, double partMillis, long nowMillis) {
		return ledger.backlogMillis(nowMillis) + ledger.disturbanceMillis() + partMillis;
	}

	// The endpoint with the least reading ahead answers, so it comes last.
	private static List<Share> together(GrantRequest request, List<EndpointLedger> chosen) {
		List<Share> shares = new ArrayList<>();
		for (int i = chosen.size() - 1; i > 0; i--) {
			shares.add(new Share(chosen.get(i).endpoint(), 0));
		}
		shares.add(new Share(chosen.get(0).endpoint(), request.kvTokens()));
		return shares;
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return EnginePriority.of(request.lengthClass(), isUrgent);
	}

	@Override
	public boolean isClassed() {
		return true;
	}

	@Override
	public boolean isParallel() {
		return true;
	}

}
