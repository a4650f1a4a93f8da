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
 * The endpoints of a shard and the grants that are held on them.
 * <p>
 * A grant that is held counts on every endpoint of its shares, also on one whose first
 * report comes later. This class is not thread-safe; its home's lock guards it.
 */
final class ShardLedger {

	private final ColdStartRamp.Settings rampSettings;

	private final TreeMap<EndpointId, EndpointLedger> ledgers = new TreeMap<>();

	private final Map<String, Held> held = new HashMap<>();

	private List<EndpointLedger> endpoints = List.of();

	ShardLedger(ColdStartRamp.Settings rampSettings) {
		this.rampSettings = rampSettings;
	}

	/**
	 * Returns the ledgers of all endpoints.
	 * @return the ledgers in ascending order of their endpoints
	 */
	List<EndpointLedger> endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the ledger of an endpoint.
	 * @param endpoint the endpoint
	 * @return the ledger, or null if the endpoint is not in the shard
	 */
	EndpointLedger endpoint(EndpointId endpoint) {
		return this.ledgers.get(endpoint);
	}

	int heldCount() {
		return this.held.size();
	}

	/**
	 * Returns a grant that is held.
	 * @param key the identity of the grant
	 * @return the grant, or null
	 */
	Grant grant(String key) {
		Held found = this.held.get(key);
		return (found != null) ? found.grant() : null;
	}

	void hold(InstanceId holder, Grant grant, long nowMillis) {
		forEachEndpoint(grant, (ledger) -> holdOn(ledger, grant, nowMillis));
		this.held.put(grant.key(), new Held(holder, grant));
	}

	private static void holdOn(EndpointLedger ledger, Grant grant, long nowMillis) {
		for (int i = 0; i < grant.shares().size(); i++) {
			Share share = grant.shares().get(i);
			if (share.endpoint().equals(ledger.endpoint())) {
				ledger.hold(grant, share.kvTokens(), i == 0 || grant.isParallel(), nowMillis);
			}
		}
	}

	/**
	 * Ends a grant on all its endpoints.
	 * @param key the identity of the grant
	 * @return true if it was held
	 */
	boolean free(String key) {
		Held found = this.held.remove(key);
		if (found == null) {
			return false;
		}
		forEachEndpoint(found.grant(), (ledger) -> ledger.release(key));
		return true;
	}

	boolean freeHolder(InstanceId holder) {
		return freeIf((entry) -> entry.holder().equals(holder));
	}

	boolean freeExpired(long nowMillis) {
		return freeIf((entry) -> entry.grant().expiryMillis() <= nowMillis);
	}

	private boolean freeIf(Predicate<Held> condition) {
		List<String> keys = this.held.values().stream().filter(condition).map((entry) -> entry.grant().key()).toList();
		keys.forEach(this::free);
		return !keys.isEmpty();
	}

	void forEachEndpoint(Grant grant, Consumer<EndpointLedger> action) {
		for (Share share : grant.shares()) {
			EndpointLedger ledger = this.ledgers.get(share.endpoint());
			if (ledger != null) {
				action.accept(ledger);
			}
		}
	}

	/**
	 * Takes over the reports of all endpoints and forgets endpoints without one.
	 * @param reports the reports
	 * @param outEndpoints endpoints that operators took out
	 * @param nowMillis the time in milliseconds
	 */
	void observe(Collection<EndpointReport> reports, Set<EndpointId> outEndpoints, long nowMillis) {
		Set<EndpointId> present = new HashSet<>();
		for (EndpointReport report : reports) {
			present.add(report.endpoint());
			observe(report, nowMillis);
			this.ledgers.get(report.endpoint()).setOut(outEndpoints.contains(report.endpoint()));
		}
		this.ledgers.keySet().retainAll(present);
		this.endpoints = List.copyOf(this.ledgers.values());
	}

	private void observe(EndpointReport report, long nowMillis) {
		EndpointLedger ledger = this.ledgers.get(report.endpoint());
		if (ledger != null) {
			ledger.observe(report, nowMillis).forEach(this::free);
			return;
		}
		long startedMillis = nowMillis - report.uptimeMillis();
		EndpointLedger added = new EndpointLedger(report, ColdStartRamp.startingAt(this.rampSettings, startedMillis));
		this.ledgers.put(report.endpoint(), added);
		this.held.values().forEach((entry) -> holdOn(added, entry.grant(), nowMillis));
	}

	/**
	 * Returns the parts of prompts that endpoints hold and nobody has a grant for.
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints and the identities of the grants
	 */
	List<ShardHome.Orphan> orphans(long nowMillis) {
		List<ShardHome.Orphan> orphans = new ArrayList<>();
		for (EndpointLedger ledger : this.endpoints) {
			ledger.orphans(nowMillis).forEach((key) -> orphans.add(new ShardHome.Orphan(ledger.endpoint(), key)));
		}
		return orphans;
	}

	/**
	 * A grant and its holder.
	 */
	private record Held(InstanceId holder, Grant grant) {
	}

}
