package org.poplarloom.core.admission;

import java.util.List;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Decides which requests a home serves, and in which order, while they cannot all start
 * at once.
 * <p>
 * Implementations need not be thread-safe; the home's lock guards them.
 */
public interface AdmissionRules {

	/**
	 * Returns the queue, whose requests are added by {@link #enqueue}.
	 * @return the queue, always the same
	 */
	QueueOrder queue();

	/**
	 * Sets the time from which on requests are granted, if it is earlier than expected.
	 * @param nowMillis the time in milliseconds
	 */
	void startAt(long nowMillis);

	/**
	 * Returns whether a request that has just arrived would be dispatched before all
	 * queued ones that compete with it.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return true if it may be granted at once
	 */
	boolean isFirst(GrantRequest request, long nowMillis);

	/**
	 * Queues a request.
	 * @param holder the instance that would hold the grant
	 * @param request the request; it replaces a queued one with the same key
	 * @param nowMillis the time in milliseconds
	 */
	void enqueue(InstanceId holder, GrantRequest request, long nowMillis);

	/**
	 * Decides whether a request can be served before its client timeout, given the queue
	 * ahead of it.
	 * @param request the request, which could be served without a queue
	 * @param nowMillis the time in milliseconds
	 * @return the rule by which it cannot, or {@link AdmissionRule#NONE}
	 */
	AdmissionRule judge(GrantRequest request, long nowMillis);

	/**
	 * Estimates how long a request would wait in the queue.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds, 0 if that is not known
	 */
	double waitMillis(GrantRequest request, long nowMillis);

	/**
	 * Records that a request, queued or not, is refused because it cannot be served in
	 * time.
	 * @param request the request
	 * @param minMillis the least time after which it could be served, in milliseconds
	 * @param mayQueue whether the request might have waited here; if not, homes of other
	 * zones are asked too
	 * @param nowMillis the time in milliseconds
	 * @return the time after which it could be served, in milliseconds
	 */
	long recordRefusal(GrantRequest request, long minMillis, boolean mayQueue, long nowMillis);

	/**
	 * Records that a request, queued or not, is granted.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return the rule by which it has waited for longer than its latency target allows,
	 * or {@link AdmissionRule#NONE}
	 */
	AdmissionRule recordGrant(GrantRequest request, long nowMillis);

	/**
	 * Records the first token of a granted request.
	 * @param key the identity of the grant; an unknown one is ignored
	 */
	void recordFirstToken(String key);

	/**
	 * Records that a grant is released.
	 * @param key the identity of the grant; an unknown one is ignored
	 * @param nowMillis the time in milliseconds
	 */
	void recordRelease(String key, long nowMillis);

	/**
	 * Finds the queued requests whose time has run out.
	 * @param nowMillis the time in milliseconds
	 * @return the requests, which remain queued
	 */
	List<Unservable> expired(long nowMillis);

	/**
	 * Finds the queued requests that can no longer be served in time, since there are
	 * fewer endpoints.
	 * @param nowMillis the time in milliseconds
	 * @return the requests, which remain queued
	 */
	List<Unservable> unreachable(long nowMillis);

	/**
	 * Returns whether endpoints are kept for overdue long prompts and slots for short
	 * prompts.
	 * @return false if the placement policy alone decides
	 */
	boolean reservesRoom();

	/**
	 * Returns what the teams have received and wait for.
	 * @return the teams with the most engine time and the most queued requests; empty if
	 * teams are not distinguished
	 */
	List<TeamUsage> teams();

	/**
	 * Describes the teams that wait, for the log.
	 * @return the text, empty if teams are not distinguished
	 */
	String describe();

	/**
	 * A queued request that cannot be served.
	 *
	 * @param queued the request
	 * @param code the error code for its caller
	 * @param rule the rule by which it cannot be served
	 */
	record Unservable(QueuedRequest queued, ErrorCode code, AdmissionRule rule) {
	}

}
