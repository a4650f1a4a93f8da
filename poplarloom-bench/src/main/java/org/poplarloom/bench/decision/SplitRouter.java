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
 * Lets each instance decide alone on an equal part of every endpoint.
 * <p>
 * This class is not thread-safe.
 */
final class SplitRouter implements Router {

	private final List<HomeRouter> parts = new ArrayList<>();

	private final Map<String, HomeRouter> owners = new HashMap<>();

	private final Random random;

	SplitRouter(int instances, PlacementPolicy policy, Random random) {
		this.random = random;
		for (int i = 0; i < instances; i++) {
			this.parts.add(new HomeRouter(policy, new ColdStartRamp.Settings(1, 1, 1)));
		}
	}

	int instances() {
		return this.parts.size();
	}

	@Override
	public GrantDecision request(GrantRequest request, long nowMillis) {
		HomeRouter part = this.parts.get(this.random.nextInt(this.parts.size()));
		this.owners.put(request.key(), part);
		return part.request(request, nowMillis);
	}

	@Override
	public void segmentDone(String key, int segment, long nowMillis) {
		this.owners.get(key).segmentDone(key, segment, nowMillis);
	}

	@Override
	public void firstToken(String key, long nowMillis) {
		this.owners.get(key).firstToken(key, nowMillis);
	}

	@Override
	public void release(String key, long nowMillis) {
		this.owners.remove(key).release(key, nowMillis);
	}

	@Override
	public void observe(List<EndpointReport> reports, long nowMillis) {
		this.parts.forEach((part) -> part.observe(reports, nowMillis));
	}

	@Override
	public void tick(long nowMillis) {
		this.parts.forEach((part) -> part.tick(nowMillis));
	}

	@Override
	public void onDecision(Consumer<GrantDecision> consumer) {
		this.parts.forEach((part) -> part.onDecision(consumer));
	}

}
