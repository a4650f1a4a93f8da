package org.poplarloom.core.process;

import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Chooses the endpoints of a shard on which a request runs.
 * <p>
 * The home's lock guards the arguments. Implementations without mutable state are
 * thread-safe; an object with mutable state serves one home, whose lock guards it.
 */
public interface PlacementPolicy {

	/**
	 * Chooses the endpoints on which a request starts now.
	 * @param request the request
	 * @param endpoints all endpoints of the shard in ascending order
	 * @param load the recent load of short prompts
	 * @param nowMillis the time in milliseconds
	 * @return the shares, of which the last is on the endpoint that generates the answer;
	 * empty if the request must wait
	 */
	List<Share> place(GrantRequest request, List<EndpointAllocations> endpoints, ShortPromptLoad load, long nowMillis);

	/**
	 * Returns the priority with which engines run the request.
	 * @param request the request
	 * @param isUrgent whether the request may miss its deadline if it is delayed
	 * @return the priority, higher runs first
	 */
	int priority(GrantRequest request, boolean isUrgent);

	/**
	 * Returns whether the queue distinguishes length classes, so that short prompts are
	 * dispatched before long ones and earlier deadlines first.
	 * @return false for first come, first served
	 */
	boolean hasLengthClasses();

	/**
	 * Chooses the endpoints for a request only if its first token meets the target and no
	 * other answer is delayed too long.
	 * @param request the request
	 * @param endpoints all endpoints of the shard
	 * @param load the recent load of short prompts
	 * @param nowMillis the time in milliseconds
	 * @return the shares, empty if the request would be late, so that another home may
	 * serve it sooner
	 */
	default List<Share> placeWithinTarget(GrantRequest request, List<EndpointAllocations> endpoints,
			ShortPromptLoad load, long nowMillis) {
		return place(request, endpoints, load, nowMillis);
	}

	/**
	 * Chooses endpoints that can each prefill a part of a prompt in time without delaying
	 * other answers too long.
	 * @param request the request; its parallel prefill is not null
	 * @param endpoints all endpoints of the shard
	 * @param nowMillis the time in milliseconds
	 * @return one share per part, empty if there is no such endpoint
	 */
	default List<Share> placeParts(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		return List.of();
	}

	/**
	 * Estimates when the first token of a request would be generated if it was placed
	 * now.
	 * @param request the request
	 * @param endpoints all endpoints of the shard
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now
	 */
	default double estimateFirstTokenMillis(GrantRequest request, List<EndpointAllocations> endpoints, long nowMillis) {
		return 0;
	}

	/**
	 * Returns whether the endpoints of a grant prefill their parts of the prompt in
	 * parallel.
	 * @return false if they prefill one after another
	 */
	default boolean isPrefillParallel() {
		return false;
	}

}
