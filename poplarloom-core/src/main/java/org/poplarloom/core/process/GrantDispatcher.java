package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;

import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.admission.AdmissionRule;
import org.poplarloom.core.admission.AdmissionRules;
import org.poplarloom.core.admission.QueueOrder;
import org.poplarloom.core.admission.QueuedRequest;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Grants requests on the endpoints that the placement policy chooses, those in the queue
 * in the queue's order.
 * <p>
 * Until the settle time ends, only a few short requests are granted. This class is not
 * thread-safe; its home's lock guards it.
 */
final class GrantDispatcher {

	private static final long GRANT_EXPIRY_SLACK_MILLIS = 2_000;

	private static final int MAX_FAILED_PLACEMENTS_PER_DISPATCH = 64;

	private static final double URGENT_SLACK_RATIO = 1.5;

	private final PlacementPolicy policy;

	private final ColdStartRamp.Settings rampSettings;

	private final ShardAllocations allocations;

	private final AdmissionRules rules;

	private final QueueOrder queue;

	private final ReservedRoom reservedRoom;

	private long settleEndMillis;

	private final ShortPromptLoad shortLoad = new ShortPromptLoad();

	private FencingToken fencingToken = FencingToken.NONE;

	GrantDispatcher(PlacementPolicy policy, ColdStartRamp.Settings rampSettings, ShardAllocations allocations,
			AdmissionRules rules, long settleEndMillis) {
		this.policy = policy;
		this.rampSettings = rampSettings;
		this.allocations = allocations;
		this.rules = rules;
		this.queue = rules.queue();
		this.reservedRoom = rules.reservesRoom() ? new ReservedRoom() : null;
		this.settleEndMillis = settleEndMillis;
	}

	void recordArrival(GrantRequest request, long nowMillis) {
		if (!request.lengthClass().isLong()) {
			this.shortLoad.add(request.promptTokens(), nowMillis);
		}
	}

	boolean isSettling(long nowMillis) {
		return nowMillis < this.settleEndMillis;
	}

	void endSettleTime(long nowMillis) {
		this.settleEndMillis = nowMillis;
		this.rules.startAt(nowMillis);
	}

	/**
	 * Grants a request if the placement policy finds endpoints for it now.
	 * @param holder the instance that would hold the grant
	 * @param request the request
	 * @param mayQueue whether the request waits if it is not granted; if false, it is
	 * granted only if it meets its target
	 * @param nowMillis the time in milliseconds
	 * @return the grant, or null if the request must wait
	 */
	Grant tryGrant(InstanceId holder, GrantRequest request, boolean mayQueue, long nowMillis) {
		if (isSettling(nowMillis) && !mayGrantBeforeSettled(request)) {
			return null;
		}
		List<EndpointAllocations> endpoints = endpointsFor(request, nowMillis);
		List<Share> shares = mayQueue ? this.policy.place(request, endpoints, this.shortLoad, nowMillis)
				: this.policy.placeWithinTarget(request, endpoints, this.shortLoad, nowMillis);
		return shares.isEmpty() ? null : allocate(holder, request, shares, nowMillis);
	}

	private List<EndpointAllocations> endpointsFor(GrantRequest request, long nowMillis) {
		return (this.reservedRoom == null) ? this.allocations.endpoints()
				: this.reservedRoom.endpointsFor(request, this.allocations.endpoints(), nowMillis);
	}

	/**
	 * Grants endpoints that each prefill a part of the request's prompt.
	 * @param holder the instance that would hold the grant
	 * @param request the request; its parallel prefill is not null
	 * @param nowMillis the time in milliseconds
	 * @return the grant, or null if there is no endpoint or the settle time has not ended
	 */
	Grant tryGrantParts(InstanceId holder, GrantRequest request, long nowMillis) {
		List<Share> shares = isSettling(nowMillis) ? List.of()
				: this.policy.placeParts(request, endpointsFor(request, nowMillis), nowMillis);
		return shares.isEmpty() ? null : allocate(holder, request, shares, nowMillis);
	}

	private Grant allocate(InstanceId holder, GrantRequest request, List<Share> shares, long nowMillis) {
		long expiry = request.deadlineMillis() + GRANT_EXPIRY_SLACK_MILLIS;
		int priority = this.policy.priority(request, isUrgent(request, nowMillis));
		boolean isCold = this.allocations.recordGrant(shares, nowMillis);
		long latestStart = isCold ? nowMillis + ColdRequestLimit.MAX_START_DELAY_MILLIS : Grant.NO_LATEST_START;
		Grant grant = new Grant(request, shares, this.fencingToken, expiry, priority, this.policy.isPrefillParallel(),
				latestStart);
		this.allocations.allocate(holder, grant, nowMillis);
		return grant;
	}

	private boolean mayGrantBeforeSettled(GrantRequest request) {
		long running = this.allocations.grantCount();
		return !request.lengthClass().isLong()
				&& running < (long) this.rampSettings.floor() * this.allocations.endpoints().size();
	}

	private boolean isUrgent(GrantRequest request, long nowMillis) {
		double prefillMillis = this.allocations.endpoints().get(0).modelPrefillMillis(request.promptTokens());
		return nowMillis + prefillMillis * URGENT_SLACK_RATIO > request.deadlineMillis();
	}

	/**
	 * Grants queued requests in the queue's order.
	 * @param nowMillis the time in milliseconds
	 * @return the grants
	 */
	List<HomeDecision> dispatch(long nowMillis) {
		if (this.reservedRoom != null && !this.reservedRoom.isEmpty()) {
			this.reservedRoom.retain(this.queue::isOverdue,
					this.allocations.endpoints()
						.stream()
						.filter((endpoint) -> endpoint.limit(nowMillis) > 0)
						.map(EndpointAllocations::id)
						.collect(Collectors.toSet()));
		}
		if (this.queue.size() == 0 || this.allocations.endpoints().isEmpty()) {
			return List.of();
		}
		List<HomeDecision> decisions = new ArrayList<>();
		for (Iterator<QueuedRequest> ordered : this.queue.dispatchOrder(nowMillis)) {
			dispatchInOrder(ordered, nowMillis, decisions);
		}
		return decisions;
	}

	private void dispatchInOrder(Iterator<QueuedRequest> ordered, long nowMillis, List<HomeDecision> decisions) {
		int failures = 0;
		while (ordered.hasNext()) {
			QueuedRequest queued = ordered.next();
			Grant grant = tryGrant(queued.holder(), queued.request(), true, nowMillis);
			if (grant != null) {
				AdmissionRule rule = this.rules.recordGrant(queued.request(), nowMillis);
				this.queue.remove(grant.key());
				decisions.add(new HomeDecision(queued.holder(), new GrantDecision.Granted(grant), rule));
				continue;
			}
			if (this.reservedRoom != null && this.queue.isOverdue(queued.request().key())) {
				this.reservedRoom.reserve(queued.request(), this.allocations.endpoints());
			}
			failures++;
			boolean mayBeOvertaken = !queued.request().lengthClass().isLong();
			if (!mayBeOvertaken || failures >= MAX_FAILED_PLACEMENTS_PER_DISPATCH) {
				return;
			}
		}
	}

	/**
	 * Raises the fencing token above every token that an endpoint of the shard has seen.
	 * @param instance the instance that is the home
	 * @return the token now in force
	 */
	FencingToken raiseFencingToken(InstanceId instance) {
		long highest = this.allocations.endpoints()
			.stream()
			.mapToLong((endpoint) -> endpoint.report().highestFencingToken())
			.max()
			.orElse(0);
		if (highest > this.fencingToken.value() || this.fencingToken.equals(FencingToken.NONE)) {
			this.fencingToken = new FencingToken(Math.max(highest, this.fencingToken.value())).next(instance);
		}
		return this.fencingToken;
	}

}
