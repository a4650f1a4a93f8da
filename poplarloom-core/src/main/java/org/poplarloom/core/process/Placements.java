package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Steps that the placement policies share.
 * <p>
 * This class has no state and is thread-safe.
 */
final class Placements {

	/** The least memory worth reserving for a segment of a prompt, in tokens. */
	private static final long SMALLEST_SEGMENT_TOKENS = 16_384;

	private Placements() {
	}

	/**
	 * Reserves memory on one endpoint if one has enough, else on several together.
	 * @param request the request
	 * @param preferred endpoints that admit the request, best first
	 * @return the shares in ascending order of endpoints, empty if memory does not
	 * suffice
	 */
	static List<Share> reserve(GrantRequest request, List<EndpointLedger> preferred) {
		long needed = request.kvTokens();
		for (EndpointLedger ledger : preferred) {
			if (ledger.freeKvTokens() >= needed) {
				return List.of(new Share(ledger.endpoint(), needed));
			}
		}
		boolean fitsOne = preferred.stream().anyMatch((ledger) -> ledger.report().kvTokens() >= needed);
		return fitsOne ? List.of() : reserveSeveral(needed, preferred);
	}

	private static List<Share> reserveSeveral(long needed, List<EndpointLedger> preferred) {
		List<EndpointLedger> roomiest = new ArrayList<>(preferred);
		roomiest.sort(Comparator.comparingLong(EndpointLedger::freeKvTokens).reversed());
		List<Share> shares = new ArrayList<>();
		long missing = needed;
		for (EndpointLedger ledger : roomiest) {
			long taken = Math.min(missing, ledger.freeKvTokens());
			if (missing > 0 && taken >= Math.min(missing, SMALLEST_SEGMENT_TOKENS)) {
				shares.add(new Share(ledger.endpoint(), taken));
				missing -= taken;
			}
		}
		shares.sort(Comparator.comparing(Share::endpoint));
		return (missing > 0) ? List.of() : shares;
	}

	static List<EndpointLedger> admitting(GrantRequest request, List<EndpointLedger> endpoints, long nowMillis) {
		List<EndpointLedger> admitting = new ArrayList<>();
		for (EndpointLedger ledger : endpoints) {
			if (ledger.admits(request, nowMillis)) {
				admitting.add(ledger);
			}
		}
		return admitting;
	}

}
