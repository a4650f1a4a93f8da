package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Room on endpoints that some requests may not use: slots that long prompts leave to
 * short ones, endpoints that are kept for overdue long prompts, which would otherwise
 * never find enough free memory, and endpoints that would prefill a short prompt only
 * after its client timeout.
 * <p>
 * At most one endpoint of each service is kept, and none if the service has a single one.
 * This class is not thread-safe; its home's lock guards it.
 */
final class ReservedRoom {

	/** One of this many slots of an endpoint is for short prompts, at least one. */
	private static final int SLOTS_PER_RESERVED_SLOT = 4;

	private final Map<String, Reservation> byService = new HashMap<>();

	/**
	 * Returns the endpoints on which a request may be placed.
	 * @param request the request
	 * @param endpoints all endpoints of the shard
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints in the same order
	 */
	List<EndpointAllocations> endpointsFor(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		List<EndpointAllocations> usable = new ArrayList<>(endpoints.size());
		for (EndpointAllocations endpoint : endpoints) {
			boolean isSuitable = request.lengthClass().isLong() ? !isFullOfLong(endpoint)
					: canStartInTime(request, endpoint, nowMillis);
			if (isSuitable && !isReservedForOther(request, endpoint)) {
				usable.add(endpoint);
			}
		}
		return usable;
	}

	private boolean isReservedForOther(GrantRequest request, EndpointAllocations endpoint) {
		Reservation reservation = this.byService.get(request.model());
		return reservation != null && !reservation.key().equals(request.key())
				&& reservation.endpoint().equals(endpoint.id());
	}

	private static boolean canStartInTime(GrantRequest request, EndpointAllocations endpoint, long nowMillis) {
		return !endpoint.hasLongPrefill() || nowMillis + endpoint.backlogMillis(nowMillis)
				+ endpoint.prefillMillis(request.promptTokens()) <= request.latencyTarget().firstTokenDeadlineMillis();
	}

	private static boolean isFullOfLong(EndpointAllocations endpoint) {
		int slots = endpoint.report().slots();
		int reserved = Math.max(1, slots / SLOTS_PER_RESERVED_SLOT);
		return slots > 1 && endpoint.runningLong() >= slots - reserved;
	}

	/**
	 * Keeps an endpoint for a long prompt: the one with the most free memory.
	 * @param request the request of the prompt
	 * @param endpoints all endpoints of the shard
	 */
	void reserve(GrantRequest request, List<EndpointAllocations> endpoints) {
		if (this.byService.containsKey(request.model())) {
			return;
		}
		EndpointAllocations best = null;
		int eligible = 0;
		for (EndpointAllocations endpoint : endpoints) {
			if (endpoint.isEligible(request) && endpoint.report().kvTokens() >= request.kvTokens()) {
				eligible++;
				best = (best == null || endpoint.freeKvTokens() > best.freeKvTokens()) ? endpoint : best;
			}
		}
		if (eligible > 1) {
			this.byService.put(request.model(), new Reservation(request.key(), best.id()));
		}
	}

	/**
	 * Gives up the endpoints kept for requests that no longer need them.
	 * @param isWaiting whether the request with a key still needs its endpoint
	 * @param endpoints the endpoints that take new work
	 */
	void retain(Predicate<String> isWaiting, Collection<EndpointId> endpoints) {
		this.byService.values()
			.removeIf(
					(reservation) -> !isWaiting.test(reservation.key()) || !endpoints.contains(reservation.endpoint()));
	}

	boolean isEmpty() {
		return this.byService.isEmpty();
	}

	/**
	 * An endpoint that is kept for a request.
	 */
	private record Reservation(String key, EndpointId endpoint) {
	}

}
