package org.poplarloom.core.admission;

import java.util.Iterator;
import java.util.List;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantRequest;

/**
 * The requests that wait for endpoints at a home, in the order in which they are
 * dispatched.
 * <p>
 * A request is queued at most once, by its key. Implementations need not be thread-safe;
 * the home's lock guards them.
 */
public interface QueueOrder {

	/**
	 * Queues a request.
	 * @param holder the instance that would hold the grant
	 * @param request the request; it replaces a queued one with the same key
	 * @param nowMillis the time in milliseconds
	 */
	void add(InstanceId holder, GrantRequest request, long nowMillis);

	/**
	 * Removes a request.
	 * @param key its key
	 * @return false if it was not queued
	 */
	boolean remove(String key);

	/**
	 * Returns whether a request that has just arrived would be dispatched before all
	 * queued ones that compete with it.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return true if it may be granted at once
	 */
	boolean isFirst(GrantRequest request, long nowMillis);

	/**
	 * Returns the requests in the order in which they are dispatched, as several
	 * sequences. A request that cannot be granted may stop its own sequence, but not
	 * another one.
	 * @param nowMillis the time in milliseconds
	 * @return the sequences, to be used one after another; the request that an iterator
	 * returned last may be removed from the queue
	 */
	List<Iterator<QueuedRequest>> dispatchOrder(long nowMillis);

	/**
	 * Returns whether a queued request is a long prompt that has waited for so long that
	 * others leave it an endpoint.
	 * @param key its key
	 * @return false if there is no such request in the queue
	 */
	default boolean isOverdue(String key) {
		return false;
	}

	/**
	 * Returns all queued requests.
	 * @return a copy, in no particular order
	 */
	List<QueuedRequest> all();

	/**
	 * Returns the number of queued requests.
	 * @return the number, 0 or more
	 */
	int size();

	/**
	 * Returns the total length of the queued long prompts.
	 * @return the length in tokens
	 */
	long longTokens();

}
