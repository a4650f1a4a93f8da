package org.poplarloom.core.process;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Places short prompts and calls of plain services evenly, and long prompts as
 * {@link CostPlacement} does.
 * <p>
 * If there was no long prompt in the last 10 s, a short prompt goes to the endpoint with
 * the earlier expected first event of two that are sampled among those that keep the
 * pause limit. Otherwise it goes to any of those with the most running requests that
 * start it in time, so that as many endpoints stay free for long prompts as with
 * {@link CostPlacement}, but not always the same ones. Calls of plain services go to the
 * endpoint with the fewest running requests. Equal endpoints are chosen at random. A
 * short prompt that no endpoint starts in time now waits until one does, or until none
 * can any more. While it is not active, all decisions are those of {@link CostPlacement}.
 * An object serves one home, whose lock guards its state.
 */
public final class EvenPlacement implements PlacementPolicy {

	/**
	 * Time after a long prompt in which short prompts use as few endpoints as without
	 * spreading, in milliseconds. Bursts of long prompts come seconds apart, and an
	 * answer to a short prompt occupies its endpoint for 1 to 2 s.
	 */
	private static final long LONG_MEMORY_MILLIS = 10_000;

	private final CostPlacement costPlacement = new CostPlacement();

	private final BooleanSupplier isActive;

	private final Random random;

	private long lastLongMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates the policy of one home.
	 * @param isActive whether load is spread now; it must not take a lock
	 * @param random the source of random numbers
	 */
	public EvenPlacement(BooleanSupplier isActive, Random random) {
		this.isActive = isActive;
		this.random = random;
	}

	@Override
	public List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load,
			long nowMillis) {
		if (!this.isActive.getAsBoolean()) {
			return this.costPlacement.place(request, endpoints, load, nowMillis);
		}
		List<EndpointAllocations> candidates = CostPlacement.candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty() || CostPlacement.isLongOnKnownEngines(request, candidates)) {
			recordLong(request, nowMillis);
			return this.costPlacement.place(request, endpoints, load, nowMillis);
		}
		List<Share> withinTarget = placeEvenly(request, candidates, nowMillis);
		return !withinTarget.isEmpty() ? withinTarget : placeOrWait(request, candidates, endpoints, nowMillis);
	}

	// While all endpoints are full or prefill long prompts, a slot becomes free every few
	// dozen milliseconds. A prompt that could still be on time there waits for it, since
	// behind a long prefill it would be late.
	private List<Share> placeOrWait(GrantRequest request, List<EndpointAllocations> candidates,
			List<EndpointAllocations> endpoints, long nowMillis) {
		EndpointAllocations best = anyBest(candidates, CostPlacement.leastDelay(nowMillis));
		boolean isWaiting = !CostPlacement.startsWithinTarget(request, best, nowMillis)
				&& CostPlacement.mayStartWithinTarget(request, endpoints, nowMillis);
		return isWaiting ? List.of() : CostPlacement.onOneEndpoint(request, best);
	}

	@Override
	public List<Share> placeWithinTarget(GrantRequest request, List<EndpointAllocations> endpoints,
			ShortPromptLoad load, long nowMillis) {
		if (!this.isActive.getAsBoolean()) {
			return this.costPlacement.placeWithinTarget(request, endpoints, load, nowMillis);
		}
		List<EndpointAllocations> candidates = CostPlacement.candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty() || CostPlacement.isLongOnKnownEngines(request, candidates)) {
			recordLong(request, nowMillis);
			return this.costPlacement.placeWithinTarget(request, endpoints, load, nowMillis);
		}
		return placeEvenly(request, candidates, nowMillis);
	}

	@Override
	public List<Share> placeParts(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		recordLong(request, nowMillis);
		return this.costPlacement.placeParts(request, endpoints, nowMillis);
	}

	@Override
	public double estimateFirstTokenMillis(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		return this.costPlacement.estimateFirstTokenMillis(request, endpoints, nowMillis);
	}

	private void recordLong(GrantRequest request, long nowMillis) {
		if (request.lengthClass().isLong()) {
			this.lastLongMillis = nowMillis;
		}
	}

	private List<Share> placeEvenly(GrantRequest request, List<EndpointAllocations> candidates, long nowMillis) {
		if (request.promptTokens() == 0) {
			return CostPlacement.onOneEndpoint(request,
					anyBest(candidates, Comparator.comparingInt(EndpointAllocations::running)
						.thenComparing(CostPlacement.mostRateLeft(nowMillis))));
		}
		List<EndpointAllocations> suitable = CostPlacement.suitableForShort(request, candidates);
		List<EndpointAllocations> withRoom = CostPlacement.withRoom(suitable, nowMillis);
		if (!withRoom.isEmpty()) {
			return CostPlacement.onOneEndpoint(request, amongWithRoom(withRoom, nowMillis));
		}
		if (suitable.isEmpty()) {
			return List.of();
		}
		EndpointAllocations best = anyBest(suitable, CostPlacement.leastDelay(nowMillis));
		return CostPlacement.startsWithinTarget(request, best, nowMillis) ? CostPlacement.onOneEndpoint(request, best)
				: List.of();
	}

	// Cold endpoints tolerate a low rate only, so the next request goes to the one with
	// most of its rate left.
	private EndpointAllocations amongWithRoom(List<EndpointAllocations> withRoom, long nowMillis) {
		List<EndpointAllocations> warm = withRoom.stream()
			.filter((endpoint) -> !endpoint.coldLimit().isCold(nowMillis))
			.toList();
		if (warm.isEmpty()) {
			return anyBest(withRoom, CostPlacement.mostRateLeft(nowMillis));
		}
		if (nowMillis - this.lastLongMillis <= LONG_MEMORY_MILLIS) {
			return anyBest(warm, Comparator.comparingInt(EndpointAllocations::running).reversed());
		}
		EndpointAllocations first = warm.get(this.random.nextInt(warm.size()));
		EndpointAllocations second = warm.get(this.random.nextInt(warm.size()));
		return (CostPlacement.leastDelay(nowMillis).compare(second, first) < 0) ? second : first;
	}

	private EndpointAllocations anyBest(List<EndpointAllocations> candidates,
			Comparator<EndpointAllocations> comparator) {
		EndpointAllocations best = Collections.min(candidates, comparator);
		List<EndpointAllocations> equal = candidates.stream()
			.filter((endpoint) -> comparator.compare(endpoint, best) == 0)
			.toList();
		return equal.get(this.random.nextInt(equal.size()));
	}

	@Override
	public int priority(GrantRequest request, boolean isUrgent) {
		return this.costPlacement.priority(request, isUrgent);
	}

	@Override
	public boolean hasLengthClasses() {
		return this.costPlacement.hasLengthClasses();
	}

	@Override
	public boolean isPrefillParallel() {
		return this.costPlacement.isPrefillParallel();
	}

}
