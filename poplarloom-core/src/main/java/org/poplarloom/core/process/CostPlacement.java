package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
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
	private static final double TARGET_SHARE = 0.75;

	/** Part of the longest pause that is planned with; the rest is reserve. */
	private static final double PAUSE_SHARE = 0.85;

	/** Reading ahead of a short prompt that still leaves it time, in milliseconds. */
	private static final double SHORT_BACKLOG_MILLIS = 110;

	/** Part of the slots that short prompts fill before they spread. */
	private static final double PACKED_SHARE = 0.75;

	@Override
	public List<Share> place(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis) {
		List<EndpointLedger> candidates = Placements.admitting(request, endpoints, nowMillis);
		candidates.removeIf((ledger) -> ledger.freeKvTokens() < request.kvTokens());
		if (candidates.isEmpty()) {
			return List.of();
		}
		if (request.promptTokens() == 0) {
			return alone(request, leastRunning(candidates));
		}
		if (!request.lengthClass().isLong() || candidates.get(0).report().engine() == null) {
			return placeShort(request, candidates, nowMillis);
		}
		return placeLong(request, candidates, endpoints, nowMillis);
	}

	private static EndpointLedger leastRunning(List<EndpointLedger> candidates) {
		return candidates.stream().min(Comparator.comparingInt(EndpointLedger::running)).orElseThrow();
	}

	private static List<Share> alone(GrantRequest request, EndpointLedger ledger) {
		return List.of(new Share(ledger.endpoint(), request.kvTokens()));
	}

	private List<Share> placeShort(GrantRequest request, List<EndpointLedger> candidates, long nowMillis) {
		EndpointLedger packed = null;
		EndpointLedger soonest = null;
		for (EndpointLedger ledger : candidates) {
			boolean isRoomy = ledger.running() < PACKED_SHARE * ledger.report().slots();
			boolean isPrompt = ledger.backlogMillis(nowMillis) <= SHORT_BACKLOG_MILLIS && !ledger.hasLongPrefill();
			if (isRoomy && isPrompt && (packed == null || ledger.running() > packed.running())) {
				packed = ledger;
			}
			if (soonest == null || shortDelay(ledger, nowMillis) < shortDelay(soonest, nowMillis)) {
				soonest = ledger;
			}
		}
		return alone(request, (packed != null) ? packed : soonest);
	}

	private static double shortDelay(EndpointLedger ledger, long nowMillis) {
		return ledger.backlogMillis(nowMillis) + ledger.running();
	}

	private List<Share> placeLong(GrantRequest request, List<EndpointLedger> candidates, List<EndpointLedger> endpoints,
			long nowMillis) {
		double whole = candidates.get(0).prefillMillis(request.promptTokens());
		double budget = (request.pace().targetMillis() - nowMillis) * TARGET_SHARE;
		int mostParts = (int) Math.max(1, Math.min(MOST_PARTS, whole / SMALLEST_PART_MILLIS));
		for (int parts = 1; parts <= Math.min(mostParts, candidates.size()); parts++) {
			List<EndpointLedger> chosen = undisturbed(candidates, whole / parts, budget, nowMillis);
			if (chosen.size() >= parts) {
				return together(request, chosen.subList(0, parts));
			}
		}
		double fastest = whole / Math.min(mostParts, endpoints.size());
		return (budget > fastest) ? List.of() : soonest(request, candidates, whole, mostParts, nowMillis);
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
	private static List<Share> soonest(GrantRequest request, List<EndpointLedger> candidates, double whole,
			int mostParts, long nowMillis) {
		List<EndpointLedger> ordered = new ArrayList<>(candidates);
		ordered.sort(Comparator
			.comparingDouble((EndpointLedger ledger) -> ledger.backlogMillis(nowMillis) + ledger.disturbanceMillis()));
		int best = 1;
		double bestEnd = Double.MAX_VALUE;
		for (int parts = 1; parts <= Math.min(mostParts, ordered.size()); parts++) {
			EndpointLedger last = ordered.get(parts - 1);
			double end = last.backlogMillis(nowMillis) + last.disturbanceMillis() + whole / parts;
			if (end < bestEnd) {
				best = parts;
				bestEnd = end;
			}
		}
		return together(request, ordered.subList(0, best));
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
