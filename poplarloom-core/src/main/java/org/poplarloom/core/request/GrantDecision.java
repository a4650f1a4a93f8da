package org.poplarloom.core.request;

import org.poplarloom.core.ErrorCode;

/**
 * The decision of a home about a grant request.
 * <p>
 * All implementations are immutable and thread-safe.
 */
public sealed interface GrantDecision {

	/**
	 * The request may run now.
	 *
	 * @param grant the grant
	 */
	record Granted(Grant grant) implements GrantDecision {
	}

	/**
	 * The request waits in the home's queue and a later decision follows.
	 *
	 * @param requestId the request
	 * @param attempt the attempt
	 */
	record Queued(String requestId, int attempt) implements GrantDecision {
	}

	/**
	 * The home does not grant the request.
	 *
	 * @param requestId the request
	 * @param attempt the attempt
	 * @param code the reason
	 * @param retryAfterMillis the time after which another attempt may succeed, in
	 * milliseconds
	 */
	record Refused(String requestId, int attempt, ErrorCode code, long retryAfterMillis) implements GrantDecision {
	}

}
