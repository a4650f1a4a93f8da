package org.poplarloom.core.request;

import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.TeamId;

/**
 * A request to a home for the right to run one attempt of a request.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param requestId the request, unique in the system
 * @param attempt the attempt, counted from 1
 * @param team the team that the request is charged to
 * @param model the model to run
 * @param promptTokens the estimated prompt length in tokens
 * @param answerTokens the maximum answer length in tokens
 * @param prefixHash the hash of the prompt's leading block, 0 if there is none
 * @param deadlineMillis when the request must have ended, in milliseconds since the epoch
 * @param isIsolated whether the request must run on endpoints that run no other request
 * @param excluded endpoints on which the request has already failed
 * @param latencyTarget the latency target; a null argument stands for a first token that
 * is due at the deadline
 * @param parallelPrefill the parallel prefill if helpers are requested that each prefill
 * a part of the prompt, instead of one endpoint that answers; null otherwise
 * @param fingerprint a hash of the path, key and body of the caller's request, by which a
 * caller that returns is recognized; {@link #NO_FINGERPRINT} for none
 * @param priority the priority, from {@link #HIGHEST_PRIORITY} to
 * {@link #LOWEST_PRIORITY}; a higher number is taken for the lowest priority
 */
public record GrantRequest(String requestId, int attempt, TeamId team, String model, long promptTokens,
		long answerTokens, long prefixHash, long deadlineMillis, boolean isIsolated, Set<EndpointId> excluded,
		LatencyTarget latencyTarget, ParallelPrefill parallelPrefill, long fingerprint, int priority) {

	/** The request has no fingerprint. */
	public static final long NO_FINGERPRINT = 0;

	/** The highest priority. */
	public static final int HIGHEST_PRIORITY = 0;

	/** The priority of a request for which none is known. */
	public static final int DEFAULT_PRIORITY = 5;

	/** The lowest priority. */
	public static final int LOWEST_PRIORITY = 9;

	public GrantRequest {
		priority = Math.max(HIGHEST_PRIORITY, Math.min(LOWEST_PRIORITY, priority));
		excluded = Set.copyOf(excluded);
		latencyTarget = (latencyTarget != null) ? latencyTarget : LatencyTarget.untilDeadline(deadlineMillis);
	}

	public GrantRequest(String requestId, int attempt, TeamId team, String model, long promptTokens, long answerTokens,
			long prefixHash, long deadlineMillis, boolean isIsolated, Set<EndpointId> excluded) {
		this(requestId, attempt, team, model, promptTokens, answerTokens, prefixHash, deadlineMillis, isIsolated,
				excluded, null, null);
	}

	public GrantRequest(String requestId, int attempt, TeamId team, String model, long promptTokens, long answerTokens,
			long prefixHash, long deadlineMillis, boolean isIsolated, Set<EndpointId> excluded,
			LatencyTarget latencyTarget, ParallelPrefill parallelPrefill) {
		this(requestId, attempt, team, model, promptTokens, answerTokens, prefixHash, deadlineMillis, isIsolated,
				excluded, latencyTarget, parallelPrefill, NO_FINGERPRINT, DEFAULT_PRIORITY);
	}

	/**
	 * Returns the key that identifies the attempt.
	 * @return request id and attempt
	 */
	public String key() {
		return Grant.key(this.requestId, this.attempt);
	}

	/**
	 * Returns the KV cache size that the request needs at most.
	 * @return the size in tokens
	 */
	public long kvTokens() {
		return this.promptTokens + this.answerTokens;
	}

	/**
	 * Returns the request to one of several homes that provide endpoints for the parts.
	 * @param home the name of the home, which is appended to the request id
	 * @param maxParts the maximum number of parts that are still needed
	 * @return the request
	 */
	public GrantRequest forHome(String home, int maxParts) {
		return new GrantRequest(this.requestId + "." + home, this.attempt, this.team, this.model, this.promptTokens,
				this.answerTokens, this.prefixHash, this.deadlineMillis, this.isIsolated, this.excluded,
				this.latencyTarget, this.parallelPrefill.withMaxParts(maxParts), this.fingerprint, this.priority);
	}

	/**
	 * Converts the points in time to another clock.
	 * @param deltaMillis the difference to add to the points in time, in milliseconds
	 * @return the request by the other clock
	 */
	public GrantRequest shifted(long deltaMillis) {
		return new GrantRequest(this.requestId, this.attempt, this.team, this.model, this.promptTokens,
				this.answerTokens, this.prefixHash, this.deadlineMillis + deltaMillis, this.isIsolated, this.excluded,
				this.latencyTarget.shifted(deltaMillis), this.parallelPrefill, this.fingerprint, this.priority);
	}

	/**
	 * Returns the length class of the prompt.
	 * @return the class, never null
	 */
	public LengthClass lengthClass() {
		return LengthClass.of(this.promptTokens);
	}

}
