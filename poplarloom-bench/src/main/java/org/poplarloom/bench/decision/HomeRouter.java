package org.poplarloom.bench.decision;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.HomeDecision;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.process.ShardHome;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;

/**
 * Routes all requests with one shard home, the instance that grants the endpoints of its
 * shard.
 * <p>
 * This class is not thread-safe.
 */
final class HomeRouter implements Router {

	private static final InstanceId HOLDER = InstanceId.of("holder");

	private final ShardHome home;

	private Consumer<GrantDecision> decisionConsumer;

	HomeRouter(PlacementPolicy policy, ColdStartRamp.Settings rampSettings) {
		this.home = ShardHome.of(policy, rampSettings, 0);
	}

	ShardHome home() {
		return this.home;
	}

	@Override
	public GrantDecision request(GrantRequest request, long nowMillis) {
		return this.home.request(HOLDER, request, nowMillis);
	}

	@Override
	public void recordSegmentPrefilled(String key, int segment, long nowMillis) {
		forward(this.home.recordSegmentPrefilled(key, segment, nowMillis));
	}

	@Override
	public void recordFirstToken(String key, long nowMillis) {
		forward(this.home.recordFirstToken(key, nowMillis));
	}

	@Override
	public void release(String key, long nowMillis) {
		forward(this.home.release(key, nowMillis));
	}

	@Override
	public void observe(List<EndpointReport> reports, long nowMillis) {
		forward(this.home.observe(reports, Set.of(), nowMillis));
	}

	@Override
	public void tick(long nowMillis) {
		forward(this.home.tick(nowMillis));
	}

	@Override
	public void onDecision(Consumer<GrantDecision> newConsumer) {
		this.decisionConsumer = newConsumer;
	}

	private void forward(List<HomeDecision> decisions) {
		decisions.forEach((decision) -> this.decisionConsumer.accept(decision.decision()));
	}

}
