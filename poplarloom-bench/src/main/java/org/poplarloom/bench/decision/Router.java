package org.poplarloom.bench.decision;

import java.util.List;
import java.util.function.Consumer;

import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;

/**
 * Decides which endpoints run a request; one of the alternatives that are compared.
 * <p>
 * Implementations are not thread-safe.
 */
interface Router {

	/**
	 * Grants, queues or refuses a request.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return the decision; a later decision on a queued request goes to the consumer set
	 * with {@link #onDecision}
	 */
	GrantDecision request(GrantRequest request, long nowMillis);

	/**
	 * Records that a segment of a long prompt is prefilled.
	 * @param key the key of the grant
	 * @param segment the index of the segment, from 0
	 * @param nowMillis the time in milliseconds
	 */
	void recordSegmentPrefilled(String key, int segment, long nowMillis);

	/**
	 * Records that the first token of an answer has been produced.
	 * @param key the key of the grant
	 * @param nowMillis the time in milliseconds
	 */
	void recordFirstToken(String key, long nowMillis);

	/**
	 * Releases the grant of a request that has ended.
	 * @param key the key of the grant
	 * @param nowMillis the time in milliseconds
	 */
	void release(String key, long nowMillis);

	/**
	 * Updates the state of the endpoints from their reports.
	 * @param reports the reports
	 * @param nowMillis the time in milliseconds
	 */
	void observe(List<EndpointReport> reports, long nowMillis);

	/**
	 * Runs the periodic work, such as granting queued requests and refusing expired ones.
	 * @param nowMillis the time in milliseconds
	 */
	void tick(long nowMillis);

	/**
	 * Sets the consumer of later decisions on queued requests.
	 * @param consumer receives the decisions
	 */
	void onDecision(Consumer<GrantDecision> consumer);

}
