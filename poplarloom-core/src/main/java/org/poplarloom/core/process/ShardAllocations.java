package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.Share;

/**
 * The endpoints of a shard and the grants that instances hold on them.
 * <p>
 * A grant is allocated on every endpoint of its shares, also on one whose first report
 * comes after the grant. This class is not thread-safe; its home's lock guards it.
 */
final class ShardAllocations {

	private final ColdStartRamp.Settings rampSettings;

	private final TreeMap<EndpointId, EndpointAllocations> byId = new TreeMap<>();

	private final Map<String, HeldGrant> grants = new HashMap<>();

	private List<EndpointAllocations> endpoints = List.of();

	private long sharedUntilMillis;

	private boolean learnsSpeeds;

	ShardAllocations(ColdStartRamp.Settings rampSettings) {
		this.rampSettings = rampSettings;
	}

	/**
	 * Returns the allocations of all endpoints.
	 * @return the allocations in ascending order of endpoints
	 */
	List<EndpointAllocations> endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the allocations of one endpoint.
	 * @param endpoint the endpoint
	 * @return the allocations, or null if the endpoint is not in the shard
	 */
	EndpointAllocations endpoint(EndpointId endpoint) {
		return this.byId.get(endpoint);
	}

	int grantCount() {
		return this.grants.size();
	}

	/**
	 * Returns the grant with a key.
	 * @param key the identity of the grant
	 * @return the grant, or null if nobody holds it
	 */
	Grant grant(String key) {
		HeldGrant found = this.grants.get(key);
		return (found != null) ? found.grant() : null;
	}

	/**
	 * Starts or stops to learn the endpoints' speeds from their answers.
	 * @param isLearning whether to learn
	 */
	void learnSpeeds(boolean isLearning) {
		this.learnsSpeeds = isLearning;
		this.endpoints.forEach((endpoint) -> endpoint.speed().setLearning(isLearning));
	}

	void allocate(InstanceId holder, Grant grant, long nowMillis) {
		Grant previous = grant(grant.key());
		if (previous != null && !previous.shares().equals(grant.shares())) {
			release(grant.key());
		}
		forEachEndpoint(grant, (endpoint) -> allocateOn(endpoint, grant, nowMillis));
		this.grants.put(grant.key(), new HeldGrant(holder, grant));
	}

	private static void allocateOn(EndpointAllocations endpoint, Grant grant, long nowMillis) {
		for (int i = 0; i < grant.shares().size(); i++) {
			Share share = grant.shares().get(i);
			if (share.endpoint().equals(endpoint.id())) {
				endpoint.allocate(grant, share.kvTokens(), i == 0 || grant.isParallel(), nowMillis);
			}
		}
	}

	/**
	 * Counts a new grant for the rates of its endpoints.
	 * @param shares the shares of the grant
	 * @param nowMillis the time in milliseconds
	 * @return true if one of the endpoints is cold
	 */
	boolean recordGrant(List<Share> shares, long nowMillis) {
		boolean isAnyCold = false;
		for (Share share : shares) {
			ColdRequestLimit limit = this.byId.get(share.endpoint()).coldLimit();
			limit.recordGrant(nowMillis);
			isAnyCold |= limit.isCold(nowMillis);
		}
		return isAnyCold;
	}

	/**
	 * Makes this home use only a share of the rates of cold endpoints.
	 * @param untilMillis the time until which there may be another home, in milliseconds
	 * @param nowMillis the time in milliseconds
	 */
	void shareColdRates(long untilMillis, long nowMillis) {
		this.sharedUntilMillis = Math.max(this.sharedUntilMillis, untilMillis);
		this.endpoints.forEach((endpoint) -> endpoint.coldLimit().shareUntil(untilMillis, nowMillis));
	}

	/**
	 * Releases a grant on all its endpoints.
	 * @param key the identity of the grant
	 * @return true if an instance held it
	 */
	boolean release(String key) {
		HeldGrant found = this.grants.remove(key);
		if (found == null) {
			return false;
		}
		forEachEndpoint(found.grant(), (endpoint) -> endpoint.release(key));
		return true;
	}

	// Endpoints that prefill in parallel hold their memory until the holder knows of the
	// loss; if the helpers' parts have been sent, the answer even goes on.
	private void releaseUnlessHeld(String key) {
		HeldGrant found = this.grants.get(key);
		boolean isHeld = found != null && found.grant().isParallel()
				&& found.grant().shares().stream().anyMatch((share) -> {
					EndpointAllocations endpoint = this.byId.get(share.endpoint());
					return endpoint != null && endpoint.holds(key);
				});
		if (!isHeld) {
			release(key);
		}
	}

	boolean releaseHolder(InstanceId holder) {
		return releaseIf((entry) -> entry.holder().equals(holder));
	}

	boolean releaseExpired(long nowMillis) {
		return releaseIf((entry) -> entry.grant().expiryMillis() <= nowMillis);
	}

	private boolean releaseIf(Predicate<HeldGrant> condition) {
		List<String> keys = this.grants.values()
			.stream()
			.filter(condition)
			.map((entry) -> entry.grant().key())
			.toList();
		keys.forEach(this::release);
		return !keys.isEmpty();
	}

	void forEachEndpoint(Grant grant, Consumer<EndpointAllocations> action) {
		for (Share share : grant.shares()) {
			EndpointAllocations endpoint = this.byId.get(share.endpoint());
			if (endpoint != null) {
				action.accept(endpoint);
			}
		}
	}

	/**
	 * Applies the reports of all endpoints and removes endpoints without a report.
	 * @param reports the reports of all endpoints of the shard
	 * @param outEndpoints endpoints that operators have taken out
	 * @param nowMillis the time in milliseconds
	 */
	void observe(Collection<EndpointReport> reports, Set<EndpointId> outEndpoints, long nowMillis) {
		Set<EndpointId> present = new HashSet<>();
		for (EndpointReport report : reports) {
			present.add(report.endpoint());
			observe(report, nowMillis);
			this.byId.get(report.endpoint()).setOut(outEndpoints.contains(report.endpoint()));
		}
		this.byId.keySet().retainAll(present);
		this.endpoints = List.copyOf(this.byId.values());
	}

	private void observe(EndpointReport report, long nowMillis) {
		EndpointAllocations known = this.byId.get(report.endpoint());
		if (known != null) {
			known.observe(report, nowMillis).forEach(this::releaseUnlessHeld);
			return;
		}
		long startedMillis = nowMillis - report.uptimeMillis();
		EndpointAllocations added = new EndpointAllocations(report,
				ColdStartRamp.startingAt(this.rampSettings, startedMillis),
				new ColdRequestLimit(report.coldPeriod(), this.sharedUntilMillis, nowMillis));
		added.speed().setLearning(this.learnsSpeeds);
		this.byId.put(report.endpoint(), added);
		this.grants.values().forEach((entry) -> allocateOn(added, entry.grant(), nowMillis));
		added.speed().ignoreGranted();
	}

	/**
	 * Returns the prompt segments in endpoints' KV caches for which no grant is held.
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints and the identities of the grants
	 */
	List<ShardHome.Orphan> orphans(long nowMillis) {
		List<ShardHome.Orphan> orphans = new ArrayList<>();
		for (EndpointAllocations endpoint : this.endpoints) {
			endpoint.orphans(nowMillis).forEach((key) -> orphans.add(new ShardHome.Orphan(endpoint.id(), key)));
		}
		return orphans;
	}

	/**
	 * A grant and its holder.
	 */
	private record HeldGrant(InstanceId holder, Grant grant) {
	}

}
