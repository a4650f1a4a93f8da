package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.AnswerPace;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.PartsWanted;
import org.poplarloom.core.request.Share;

/**
 * Places requests by what engines are expected to need for them.
 * <p>
 * Short prompts gather on endpoints that already write answers, as long as they start in
 * time there, so that other endpoints stay free for long prompts. A long prompt is read
 * by as few endpoints together as its first token allows, and not on one whose answers
 * would pause for too long unless it has waited for another for some time. Calls of plain
 * services go to the endpoint that runs the fewest. This class has no state and is
 * thread-safe.
 */
public final class CostPlacement implements PlacementPolicy {

	/** Smallest part worth the transfer between engines, in milliseconds of reading. */
	private static final double SMALLEST_PART_MILLIS = 60;

	/** Part of the time to the first token that is planned with; the rest is reserve. */
	private static final double TARGET_SHARE = 0.85;

	/** Part of the caller's patience that is planned with; the rest is reserve. */
	private static final double LATE_SHARE = 0.7;

	/**
	 * Part of the time between the target and the end of the caller's patience in which a
	 * late prompt waits for an endpoint without answers.
	 */
	private static final double CALM_SHARE = 0.2;

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
				: placeLate(request, candidates, whole, nowMillis);
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
		return isLongOnEngines(request, candidates)
				? placeLong(request, candidates, budgetMillis(request, nowMillis), nowMillis)
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
		List<EndpointLedger> calm = candidates.stream()
			.filter((ledger) -> !ledger.hasLongPrefill()
					&& !ledger.wouldPause(ledger.prefillMillis(request.promptTokens()), PAUSE_SHARE))
			.toList();
		if (calm.isEmpty()) {
			return List.of();
		}
		EndpointLedger packed = null;
		for (EndpointLedger ledger : calm) {
			boolean isRoomy = ledger.running() < PACKED_SHARE * ledger.report().slots();
			boolean isPrompt = ledger.backlogMillis(nowMillis) <= SHORT_BACKLOG_MILLIS;
			if (isRoomy && isPrompt && (packed == null || ledger.running() > packed.running())) {
				packed = ledger;
			}
		}
		if (packed != null) {
			return alone(request, packed);
		}
		EndpointLedger soonest = soonest(calm, nowMillis);
		double delay = soonest.backlogMillis(nowMillis) + soonest.prefillMillis(request.promptTokens());
		return (delay <= budgetMillis(request, nowMillis)) ? alone(request, soonest) : List.of();
	}

	private static EndpointLedger soonest(List<EndpointLedger> candidates, long nowMillis) {
		return candidates.stream()
			.min(Comparator
				.comparingDouble((EndpointLedger ledger) -> ledger.backlogMillis(nowMillis) + ledger.running()))
			.orElseThrow();
	}

	private static List<Share> placeLong(GrantRequest request, List<EndpointLedger> candidates, double budget,
			long nowMillis) {
		double whole = candidates.get(0).prefillMillis(request.promptTokens());
		for (int parts = 1; parts <= Math.min(mostParts(whole), candidates.size()); parts++) {
			List<EndpointLedger> chosen = undisturbed(candidates, whole / parts, budget, nowMillis);
			if (chosen.size() >= parts) {
				return together(request, chosen.subList(0, parts));
			}
		}
		return List.of();
	}

	// A prompt that is late anyway delays other answers, and as few as possible, only
	// after it has waited for an endpoint without any.
	private static List<Share> placeLate(GrantRequest request, List<EndpointLedger> candidates, double whole,
			long nowMillis) {
		AnswerPace pace = request.pace();
		double left = pace.latestMillis() - nowMillis;
		List<Share> calm = placeLong(request, candidates, left * LATE_SHARE, nowMillis);
		if (!calm.isEmpty()) {
			return calm;
		}
		double calmUntil = pace.targetMillis() + (pace.latestMillis() - pace.targetMillis()) * CALM_SHARE;
		return (nowMillis < calmUntil) ? List.of()
				: together(request, leastDisturbing(candidates, whole, left, nowMillis));
	}

	// Chooses as few endpoints as end before the caller leaves, those with the fewest
	// answers; all if none do.
	private static List<EndpointLedger> leastDisturbing(List<EndpointLedger> candidates, double whole, double left,
			long nowMillis) {
		List<EndpointLedger> ordered = new ArrayList<>(candidates);
		ordered.sort(Comparator.comparingInt(EndpointLedger::running)
			.thenComparingDouble((ledger) -> ledger.backlogMillis(nowMillis)));
		int most = Math.min(mostParts(whole), ordered.size());
		for (int parts = 1; parts < most; parts++) {
			double part = whole / parts;
			List<EndpointLedger> chosen = ordered.subList(0, parts);
			if (chosen.stream().allMatch((ledger) -> ledger.backlogMillis(nowMillis) + part <= left * LATE_SHARE)) {
				return chosen;
			}
		}
		return ordered.subList(0, most);
	}

	private static int mostParts(double whole) {
		return (int) Math.max(1, Math.min(PartsWanted.LARGEST_COUNT, whole / SMALLEST_PART_MILLIS));
	}

	// Finds the endpoints that read a part in time without delaying other answers.
	private static List<EndpointLedger> undisturbed(List<EndpointLedger> candidates, double partMillis, double budget,
			long nowMillis) {
		List<EndpointLedger> chosen = new ArrayList<>();
		for (EndpointLedger ledger : candidates) {
			boolean isInTime = ledger.backlogMillis(nowMillis) + partMillis <= budget;
			if (isInTime && !ledger.wouldPause(partMillis, PAUSE_SHARE)) {
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
