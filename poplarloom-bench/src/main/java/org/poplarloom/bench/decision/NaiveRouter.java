package org.poplarloom.bench.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Grants each request immediately on the endpoint with the fewest requests in the last
 * reports, as instances without any coordination would.
 * <p>
 * It does not track the KV-cache tokens in use and has no slow-start ramp. This class is
 * not thread-safe.
 */
final class NaiveRouter implements Router {

	private final Random random;

	private final ToIntFunction<EndpointId> requestCounts;

	private List<EndpointLoad> loads = List.of();

	NaiveRouter(Random random, ToIntFunction<EndpointId> requestCounts) {
		this.random = random;
		this.requestCounts = requestCounts;
	}

	@Override
	public GrantDecision request(GrantRequest request, long nowMillis) {
		List<EndpointLoad> candidates = this.loads.stream()
			.filter((load) -> !load.report().isDraining() && load.report().kvTokens() >= request.kvTokens())
			.toList();
		if (candidates.isEmpty()) {
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.NO_ENDPOINT, 0);
		}
		int minRequests = candidates.stream().mapToInt(EndpointLoad::requests).min().getAsInt();
		List<EndpointLoad> leastLoaded = candidates.stream().filter((load) -> load.requests() == minRequests).toList();
		EndpointId chosen = leastLoaded.get(this.random.nextInt(leastLoaded.size())).report().endpoint();
		Share share = new Share(chosen, request.kvTokens());
		return new GrantDecision.Granted(new Grant(request, List.of(share), FencingToken.NONE, Long.MAX_VALUE, 0));
	}

	@Override
	public void observe(List<EndpointReport> reports, long nowMillis) {
		List<EndpointLoad> newLoads = new ArrayList<>();
		for (EndpointReport report : reports) {
			newLoads.add(new EndpointLoad(report, this.requestCounts.applyAsInt(report.endpoint())));
		}
		this.loads = newLoads;
	}

	@Override
	public void recordSegmentPrefilled(String key, int segment, long nowMillis) {
	}

	@Override
	public void recordFirstToken(String key, long nowMillis) {
	}

	@Override
	public void release(String key, long nowMillis) {
	}

	@Override
	public void tick(long nowMillis) {
	}

	@Override
	public void onDecision(Consumer<GrantDecision> consumer) {
	}

	/**
	 * An endpoint's report and the number of requests on it at the time of the report.
	 */
	private record EndpointLoad(EndpointReport report, int requests) {
	}

}
