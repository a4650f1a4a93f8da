package org.poplarloom.core.request;

import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.TeamId;

/**
 * Asks a home for the right to run one attempt of a request.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param requestId the request, unique in the system
 * @param attempt the attempt, counted from 1
 * @param team the team that the request is charged to
 * @param model the model to run
 * @param promptTokens the estimated prompt length in tokens
 * @param answerTokens the longest answer in tokens
 * @param prefixHash the hash of the prompt's leading block, 0 if there is none
 * @param deadlineMillis when the request must have ended, in milliseconds since the epoch
 * @param isIsolated whether the request must run apart from others
 * @param excluded endpoints that have already failed the request
 * @param pace when the caller expects the first token and how it goes on
 * @param parts asks for helpers that read parts of the prompt instead of one endpoint
 * that answers; null otherwise
 */
public record GrantRequest(String requestId, int attempt, TeamId team, String model, long promptTokens,
		long answerTokens, long prefixHash, long deadlineMillis, boolean isIsolated, Set<EndpointId> excluded,
		AnswerPace pace, PartsWanted parts) {

	public GrantRequest {
		excluded = Set.copyOf(excluded);
		pace = (pace != null) ? pace : AnswerPace.untilDeadline(deadlineMillis);
	}

	public GrantRequest(String requestId, int attempt, TeamId team, String model, long promptTokens, long answerTokens,
			long prefixHash, long deadlineMillis, boolean isIsolated, Set<EndpointId> excluded) {
		this(requestId, attempt, team, model, promptTokens, answerTokens, prefixHash, deadlineMillis, isIsolated,
				excluded, null, null);
	}

	/**
	 * Returns the identity of the attempt.
	 * @return request id and attempt
	 */
	public String key() {
		return Grant.key(this.requestId, this.attempt);
	}

	/**
	 * Returns the memory that the request may need at most.
	 * @return size of the KV cache in tokens
	 */
	public long kvTokens() {
		return this.promptTokens + this.answerTokens;
	}

	/**
	 * Returns the question to one of several homes that are asked for parts.
	 * @param home names the home
	 * @param most the most parts that are still wanted
	 * @return the request
	 */
	public GrantRequest withPartsFrom(String home, int most) {
		return new GrantRequest(this.requestId + "." + home, this.attempt, this.team, this.model, this.promptTokens,
				this.answerTokens, this.prefixHash, this.deadlineMillis, this.isIsolated, this.excluded, this.pace,
				this.parts.withMost(most));
	}

	/**
	 * Returns the request as a clock that shows another time sees it.
	 * @param deltaMillis what to add to all times, in milliseconds
	 * @return the request
	 */
	public GrantRequest shifted(long deltaMillis) {
		return new GrantRequest(this.requestId, this.attempt, this.team, this.model, this.promptTokens,
				this.answerTokens, this.prefixHash, this.deadlineMillis + deltaMillis, this.isIsolated, this.excluded,
				this.pace.shifted(deltaMillis), this.parts);
	}

	/**
	 * Returns the length class of the prompt.
	 * @return the class, never null
	 */
	public LengthClass lengthClass() {
		return LengthClass.of(this.promptTokens);
	}

}
