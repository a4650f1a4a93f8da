package org.poplarloom.bench.decision;

import java.util.List;
import java.util.function.Consumer;

import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;

/**
 * A way to decide where requests run.
 * <p>
 * Implementations are not thread-safe.
 */
interface Router {

	/**
	 * Decides about a request.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return the decision; a queued request is granted or refused later
	 */
	GrantDecision request(GrantRequest request, long nowMillis);

	/**
	 * Learns that a part of a long prompt is prefilled.
	 * @param key the identity of the grant
	 * @param segment the part, counted from 0
	 * @param nowMillis the time in milliseconds
	 */
	void segmentDone(String key, int segment, long nowMillis);

	/**
	 * Learns that the first token has arrived.
	 * @param key the identity of the grant
	 * @param nowMillis the time in milliseconds
	 */
	void firstToken(String key, long nowMillis);

	/**
	 * Learns that a request has ended.
	 * @param key the identity of the grant
	 * @param nowMillis the time in milliseconds
	 */
	void release(String key, long nowMillis);

	/**
	 * Takes over the endpoints' reports.
	 * @param reports the reports
	 * @param nowMillis the time in milliseconds
	 */
	void observe(List<EndpointReport> reports, long nowMillis);

	/**
	 * Does what is due.
	 * @param nowMillis the time in milliseconds
	 */
	void tick(long nowMillis);

	/**
	 * Sets who takes later decisions on queued requests.
	 * @param consumer takes the decisions
	 */
	void onDecision(Consumer<GrantDecision> consumer);

}
