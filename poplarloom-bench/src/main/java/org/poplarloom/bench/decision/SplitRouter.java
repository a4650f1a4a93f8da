package org.poplarloom.bench.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.PlacementPolicy;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;

/**
 * Splits the capacity of every endpoint equally between instances, each of which decides
 * without the others.
 * <p>
 * This class is not thread-safe.
 */
final class SplitRouter implements Router {

	private final List<HomeRouter> instanceRouters = new ArrayList<>();

	private final Map<String, HomeRouter> routersByKey = new HashMap<>();

	private final Random random;

	SplitRouter(int instanceCount, PlacementPolicy policy, Random random) {
		this.random = random;
		for (int i = 0; i < instanceCount; i++) {
			this.instanceRouters.add(new HomeRouter(policy, new ColdStartRamp.Settings(1, 1, 1)));
		}
	}

	int instanceCount() {
		return this.instanceRouters.size();
	}

	@Override
	public GrantDecision request(GrantRequest request, long nowMillis) {
		HomeRouter router = this.instanceRouters.get(this.random.nextInt(this.instanceRouters.size()));
		this.routersByKey.put(request.key(), router);
		return router.request(request, nowMillis);
	}

	@Override
	public void recordSegmentPrefilled(String key, int segment, long nowMillis) {
		this.routersByKey.get(key).recordSegmentPrefilled(key, segment, nowMillis);
	}

	@Override
	public void recordFirstToken(String key, long nowMillis) {
		this.routersByKey.get(key).recordFirstToken(key, nowMillis);
	}

	@Override
	public void release(String key, long nowMillis) {
		this.routersByKey.remove(key).release(key, nowMillis);
	}

	@Override
	public void observe(List<EndpointReport> reports, long nowMillis) {
		this.instanceRouters.forEach((router) -> router.observe(reports, nowMillis));
	}

	@Override
	public void tick(long nowMillis) {
		this.instanceRouters.forEach((router) -> router.tick(nowMillis));
	}

	@Override
	public void onDecision(Consumer<GrantDecision> consumer) {
		this.instanceRouters.forEach((router) -> router.onDecision(consumer));
	}

}
