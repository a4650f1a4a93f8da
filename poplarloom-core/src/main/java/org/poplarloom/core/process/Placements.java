package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Building blocks of the placement policies.
 * <p>
 * This class has no state and is thread-safe.
 */
final class Placements {

	/** Memory below which a segment of a prompt is not worth reserving, in tokens. */
	private static final long MIN_SEGMENT_TOKENS = 16_384;

	private Placements() {
	}

	/**
	 * Chooses the first endpoint with enough free memory. For a request that no endpoint
	 * could hold even when idle, divides the memory among several.
	 * @param request the request
	 * @param preferred endpoints that admit the request, best first
	 * @return the shares in ascending order of endpoints, empty if there is not enough
	 * free memory
	 */
	static List<Share> chooseShares(GrantRequest request, List<EndpointAllocations> preferred) {
		long needed = request.kvTokens();
		for (EndpointAllocations endpoint : preferred) {
			if (endpoint.freeKvTokens() >= needed) {
				return List.of(new Share(endpoint.id(), needed));
			}
		}
		boolean fitsOne = preferred.stream().anyMatch((endpoint) -> endpoint.report().kvTokens() >= needed);
		return fitsOne ? List.of() : splitOverSeveral(needed, preferred);
	}

	private static List<Share> splitOverSeveral(long needed, List<EndpointAllocations> preferred) {
		List<EndpointAllocations> mostFreeFirst = new ArrayList<>(preferred);
		mostFreeFirst.sort(Comparator.comparingLong(EndpointAllocations::freeKvTokens).reversed());
		List<Share> shares = new ArrayList<>();
		long missing = needed;
		for (EndpointAllocations endpoint : mostFreeFirst) {
			long reserved = Math.min(missing, endpoint.freeKvTokens());
			if (missing > 0 && reserved >= Math.min(missing, MIN_SEGMENT_TOKENS)) {
				shares.add(new Share(endpoint.id(), reserved));
				missing -= reserved;
			}
		}
		shares.sort(Comparator.comparing(Share::endpoint));
		return (missing > 0) ? List.of() : shares;
	}

	static List<EndpointAllocations> admitting(GrantRequest request, List<EndpointAllocations> endpoints,
			long nowMillis) {
		List<EndpointAllocations> admitting = new ArrayList<>();
		for (EndpointAllocations endpoint : endpoints) {
			if (endpoint.admits(request, nowMillis)) {
				admitting.add(endpoint);
			}
		}
		return admitting;
	}

}
