package org.poplarloom.core.process;

import java.util.List;
import java.util.stream.LongStream;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.admission.AdmissionRule;
import org.poplarloom.core.admission.AdmissionRules;
import org.poplarloom.core.admission.QueueOrder;
import org.poplarloom.core.request.GrantRequest;

/**
 * Decides whether a home can serve a request before its client timeout, given its
 * endpoints and its queue.
 * <p>
 * This class is not thread-safe; its home's lock guards it.
 */
final class DeadlineCheck {

	private static final int MAX_QUEUED_REQUESTS = 10_000;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private final PlacementPolicy policy;

	private final ShardAllocations allocations;

	private final AdmissionRules rules;

	private final QueueOrder queue;

	DeadlineCheck(PlacementPolicy policy, ShardAllocations allocations, AdmissionRules rules) {
		this.policy = policy;
		this.allocations = allocations;
		this.rules = rules;
		this.queue = rules.queue();
	}

	/**
	 * Returns why a request cannot be queued.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return the reason and the rule that decided, or null if the request can be queued
	 */
	Refusal refusal(GrantRequest request, long nowMillis) {
		List<EndpointAllocations> eligible = this.allocations.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.isEligible(request))
			.toList();
		LongStream memory = eligible.stream().mapToLong((endpoint) -> endpoint.report().kvTokens());
		long capacity = this.policy.isPrefillParallel() ? memory.max().orElse(0) : memory.sum();
		if (eligible.isEmpty() || capacity < request.kvTokens()) {
			return new Refusal(ErrorCode.NO_ENDPOINT, AdmissionRule.NONE);
		}
		if (this.queue.size() >= MAX_QUEUED_REQUESTS) {
			return new Refusal(ErrorCode.QUEUE_FULL, AdmissionRule.NONE);
		}
		if (!canStartBeforeTimeout(request, eligible, nowMillis)) {
			return new Refusal(ErrorCode.DEADLINE_UNREACHABLE, AdmissionRule.TIME_TOO_SHORT);
		}
		AdmissionRule rule = this.rules.judge(request, nowMillis);
		return (rule != AdmissionRule.NONE) ? new Refusal(ErrorCode.DEADLINE_UNREACHABLE, rule) : null;
	}

	private boolean canStartBeforeTimeout(GrantRequest request, List<EndpointAllocations> eligible, long nowMillis) {
		double queuedTokensPerEndpoint = request.lengthClass().isLong()
				? (double) this.queue.longTokens() / eligible.size() : 0;
		EndpointAllocations first = eligible.get(0);
		double prefillMillis = this.policy.isPrefillParallel()
				? first.modelPrefillMillis(request.promptTokens()) / eligible.size()
						+ first.modelPrefillMillis((long) queuedTokensPerEndpoint)
				: first.modelPrefillMillis(request.promptTokens() + (long) queuedTokensPerEndpoint);
		return nowMillis + coldWaitMillis(request, nowMillis) + prefillMillis <= request.latencyTarget()
			.firstTokenDeadlineMillis();
	}

	/**
	 * Estimates when the first token of a request would be generated if it was placed as
	 * soon as its endpoints allow.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now
	 */
	double estimateFirstTokenMillis(GrantRequest request, long nowMillis) {
		double estimate = this.policy.estimateFirstTokenMillis(request, this.allocations.endpoints(), nowMillis);
		long coldWait = coldWaitMillis(request, nowMillis);
		double withoutQueue = (coldWait > 0) ? Math.min(estimate, coldWait) : estimate;
		return Math.max(withoutQueue, this.rules.waitMillis(request, nowMillis));
	}

	/**
	 * Estimates how long a request waits because all its endpoints are cold: until those
	 * in the queue before it are granted at the rates of the endpoints, or until the
	 * first endpoint is warm.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds, 0 if an endpoint is warm or none is eligible
	 */
	long coldWaitMillis(GrantRequest request, long nowMillis) {
		double requestsPerSecond = 0;
		double available = 0;
		long coldMillis = Long.MAX_VALUE;
		for (EndpointAllocations endpoint : this.allocations.endpoints()) {
			if (endpoint.isEligible(request)) {
				ColdRequestLimit limit = endpoint.coldLimit();
				requestsPerSecond += limit.requestsPerSecond(nowMillis);
				available += Math.floor(limit.available(nowMillis));
				coldMillis = Math.min(coldMillis, limit.remainingMillis(nowMillis));
			}
		}
		if (requestsPerSecond == 0 || coldMillis == 0) {
			return 0;
		}
		double missing = Math.max(0, this.queue.size() + 1 - available);
		return Math.min(coldMillis, (long) Math.ceil(missing / requestsPerSecond * MILLIS_PER_SECOND));
	}

	/**
	 * Why a request cannot be queued.
	 *
	 * @param code the error code for its caller
	 * @param rule the rule that decided, or {@link AdmissionRule#NONE}
	 */
	record Refusal(ErrorCode code, AdmissionRule rule) {
	}

}
