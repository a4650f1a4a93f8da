package org.poplarloom.core.process;

import java.util.ArrayList;
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
 * A short prompt goes to the endpoint with the earlier expected first event of two that
 * are sampled among those that keep the pause limit. As many endpoints as the long
 * prompts of the last 10 s needed, at most half, get no short prompts while the others
 * can start them in time. Calls of plain services go to the endpoint with the fewest
 * running requests. Equal endpoints are chosen at random. While it is not active, all
 * decisions are those of {@link CostPlacement}. An object serves one home, whose lock
 * guards its state.
 */
public final class EvenPlacement implements PlacementPolicy {

	/** Largest fraction of the endpoints that is kept free for long prompts. */
	private static final double MAX_FREE_FRACTION = 0.5;

	private final CostPlacement costPlacement = new CostPlacement();

	private final RecentMaximum neededByLong = new RecentMaximum();

	private final BooleanSupplier isActive;

	private final Random random;

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
			List<Share> shares = this.costPlacement.place(request, endpoints, load, nowMillis);
			recordNeed(request, candidates, endpoints, shares, nowMillis);
			return shares;
		}
		List<Share> withinTarget = placeEvenly(request, endpoints, candidates, nowMillis);
		return !withinTarget.isEmpty() ? withinTarget
				: CostPlacement.onOneEndpoint(request, anyBest(candidates, CostPlacement.leastDelay(nowMillis)));
	}

	@Override
	public List<Share> placeWithinTarget(GrantRequest request, List<EndpointAllocations> endpoints,
			ShortPromptLoad load, long nowMillis) {
		if (!this.isActive.getAsBoolean()) {
			return this.costPlacement.placeWithinTarget(request, endpoints, load, nowMillis);
		}
		List<EndpointAllocations> candidates = CostPlacement.candidates(request, endpoints, nowMillis);
		if (candidates.isEmpty() || CostPlacement.isLongOnKnownEngines(request, candidates)) {
			List<Share> shares = this.costPlacement.placeWithinTarget(request, endpoints, load, nowMillis);
			recordNeed(request, candidates, endpoints, shares, nowMillis);
			return shares;
		}
		return placeEvenly(request, endpoints, candidates, nowMillis);
	}

	@Override
	public List<Share> placeParts(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		if (this.isActive.getAsBoolean()) {
			this.neededByLong.add(prefillingLong(endpoints) + request.parallelPrefill().minParts(), nowMillis);
		}
		return this.costPlacement.placeParts(request, endpoints, nowMillis);
	}

	@Override
	public double estimateFirstTokenMillis(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		return this.costPlacement.estimateFirstTokenMillis(request, endpoints, nowMillis);
	}

	// A long prompt that is placed needs its endpoints, one that is not needs as many as
	// would prefill it in time.
	private void recordNeed(GrantRequest request, List<EndpointAllocations> candidates,
			List<EndpointAllocations> endpoints, List<Share> shares, long nowMillis) {
		if (!request.lengthClass().isLong() || candidates.isEmpty()) {
			return;
		}
		int wanted = !shares.isEmpty() ? shares.size()
				: CostPlacement.partsWithinTarget(request, candidates, nowMillis);
		this.neededByLong.add(prefillingLong(endpoints) + wanted, nowMillis);
	}

	private static int prefillingLong(List<EndpointAllocations> endpoints) {
		return (int) endpoints.stream().filter(EndpointAllocations::hasLongPrefill).count();
	}

	private List<Share> placeEvenly(GrantRequest request, List<EndpointAllocations> endpoints,
			List<EndpointAllocations> candidates, long nowMillis) {
		if (request.promptTokens() == 0) {
			return CostPlacement.onOneEndpoint(request,
					anyBest(candidates, Comparator.comparingInt(EndpointAllocations::running)
						.thenComparing(CostPlacement.mostRateLeft(nowMillis))));
		}
		List<EndpointAllocations> suitable = CostPlacement.suitableForShort(request, candidates);
		List<EndpointAllocations> withRoom = CostPlacement.withRoom(notKeptFree(suitable, endpoints, nowMillis),
				nowMillis);
		if (!withRoom.isEmpty()) {
			return CostPlacement.onOneEndpoint(request, betterOfTwo(withRoom, nowMillis));
		}
		if (suitable.isEmpty()) {
			return List.of();
		}
		EndpointAllocations best = anyBest(suitable, CostPlacement.leastDelay(nowMillis));
		return CostPlacement.startsWithinTarget(request, best, nowMillis) ? CostPlacement.onOneEndpoint(request, best)
				: List.of();
	}

	// Endpoints that already generate answers come first, so that those kept free are
	// idle ones. Endpoints that prefill a long prompt count as kept free.
	private List<EndpointAllocations> notKeptFree(List<EndpointAllocations> suitable,
			List<EndpointAllocations> endpoints, long nowMillis) {
		int keptFree = Math.min(this.neededByLong.value(nowMillis), (int) (endpoints.size() * MAX_FREE_FRACTION))
				- prefillingLong(endpoints);
		List<EndpointAllocations> ordered = new ArrayList<>(suitable);
		Collections.shuffle(ordered, this.random);
		ordered.sort(Comparator.comparingInt(EndpointAllocations::running).reversed());
		int size = Math.max(1, ordered.size() - Math.max(0, keptFree));
		return ordered.subList(0, Math.min(ordered.size(), size));
	}

	// Cold endpoints tolerate a low rate only, so the next request goes to the one with
	// most of its rate left.
	private EndpointAllocations betterOfTwo(List<EndpointAllocations> withRoom, long nowMillis) {
		List<EndpointAllocations> warm = withRoom.stream()
			.filter((endpoint) -> !endpoint.coldLimit().isCold(nowMillis))
			.toList();
		if (warm.isEmpty()) {
			return anyBest(withRoom, CostPlacement.mostRateLeft(nowMillis));
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
