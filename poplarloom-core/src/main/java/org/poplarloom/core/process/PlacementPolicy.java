package org.poplarloom.core.process;

import java.util.List;

import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.Share;

/**
 * Chooses the endpoints for a request.
 * <p>
 * Implementations have no state of their own and are thread-safe; the home's lock guards
 * what they are given.
 */
public interface PlacementPolicy {

	/**
	 * Chooses where a request runs now.
	 * @param request the request
	 * @param endpoints all endpoints of the shard in ascending order
	 * @param load the recent load of short prompts
	 * @param nowMillis the time in milliseconds
	 * @return the shares in ascending order of endpoints, empty if the request must wait
	 */
	List<Share> place(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load, long nowMillis);

	/**
	 * Returns the priority that the engine gives the request.
	 * @param request the request
	 * @param isUrgent whether the request would miss its deadline otherwise
	 * @return the priority, higher runs first
	 */
	int priority(GrantRequest request, boolean isUrgent);

	/**
	 * Says whether short prompts leave the queue before long ones.
	 * @return false for first come, first served
	 */
	boolean isClassed();

	/**
	 * Chooses the endpoints for a request only if its first token comes in time and no
	 * other answer suffers.
	 * @param request the request
	 * @param endpoints all endpoints of the home
	 * @param load the recent load of short prompts
	 * @param nowMillis the time in milliseconds
	 * @return the shares, empty if another home may do better
	 */
	default List<Share> placePromptly(GrantRequest request, List<EndpointLedger> endpoints, ShortLoad load,
			long nowMillis) {
		return place(request, endpoints, load, nowMillis);
	}

	/**
	 * Chooses endpoints that read parts of a prompt in time without delaying other
	 * answers.
	 * @param request the request with the parts that it wants
	 * @param endpoints all endpoints of the home
	 * @param nowMillis the time in milliseconds
	 * @return one share per part, empty if there is none
	 */
	default List<Share> placeParts(GrantRequest request, List<EndpointLedger> endpoints, long nowMillis) {
		return List.of();
	}

	/**
	 * Estimates when the first token of a request would come if it was placed now.
	 * @param request the request
	 * @param endpoints all endpoints of the home
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from now
	 */
	default double firstTokenMillis(GrantRequest request, List<EndpointLedger> endpoints, long nowMillis) {
		return 0;
	}

	/**
	 * Says whether the endpoints of a grant read their parts of the prompt at the same
	 * time.
	 * @return true if they do, false if one reads after another
	 */
	default boolean isParallel() {
		return false;
	}

}
