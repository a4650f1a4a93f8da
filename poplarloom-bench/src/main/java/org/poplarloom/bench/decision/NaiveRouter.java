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
 * Sends each request at once to the endpoint with the fewest requests in the last
 * reports, as instances would that know nothing of each other.
 * <p>
 * It counts no memory and knows no ramp. This class is not thread-safe.
 */
final class NaiveRouter implements Router {

	private final Random random;

	private final ToIntFunction<EndpointId> sizes;

	private List<Load> loads = List.of();

	NaiveRouter(Random random, ToIntFunction<EndpointId> sizes) {
		this.random = random;
		this.sizes = sizes;
	}

	@Override
	public GrantDecision request(GrantRequest request, long nowMillis) {
		List<Load> usable = this.loads.stream()
			.filter((load) -> !load.report().isDraining() && load.report().kvTokens() >= request.kvTokens())
			.toList();
		if (usable.isEmpty()) {
			return new GrantDecision.Refused(request.requestId(), request.attempt(), ErrorCode.NO_ENDPOINT, 0);
		}
		int least = usable.stream().mapToInt(Load::size).min().getAsInt();
		List<Load> best = usable.stream().filter((load) -> load.size() == least).toList();
		EndpointId chosen = best.get(this.random.nextInt(best.size())).report().endpoint();
		Share share = new Share(chosen, request.kvTokens());
		return new GrantDecision.Granted(new Grant(request, List.of(share), FencingToken.NONE, Long.MAX_VALUE, 0));
	}

	@Override
	public void observe(List<EndpointReport> reports, long nowMillis) {
		List<Load> next = new ArrayList<>();
		for (EndpointReport report : reports) {
			next.add(new Load(report, this.sizes.applyAsInt(report.endpoint())));
		}
		this.loads = next;
	}

	@Override
	public void segmentDone(String key, int segment, long nowMillis) {
	}

	@Override
	public void firstToken(String key, long nowMillis) {
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
	 * An endpoint's report and its requests at that time.
	 */
	private record Load(EndpointReport report, int size) {
	}

}
