package org.poplarloom.core.request;

import java.util.List;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.FencingToken;

/**
 * The right to run one attempt of a request on one endpoint, or on several that share it.
 * <p>
 * Grants are issued by the home of a shard, the one instance that grants the endpoints of
 * that shard. The endpoint of the last share produces the answer. If the endpoints
 * prefill one after another, the shares are in ascending order of their endpoints. This
 * class is immutable and thread-safe.
 *
 * @param request the request that was granted
 * @param shares the endpoints to run it on, at least one
 * @param fencingToken the fencing token of the home that granted it
 * @param expiryMillis when the grant expires, in milliseconds since the epoch
 * @param priority the priority that the engine is given; higher runs first
 * @param isParallel whether the endpoints prefill their parts of the prompt at the same
 * time; otherwise one after another
 * @param latestStartMillis when the request must have been sent, in milliseconds since
 * the epoch, since the grant counts for the rate of a cold endpoint;
 * {@link #NO_LATEST_START} if it may be sent at any time
 */
public record Grant(GrantRequest request, List<Share> shares, FencingToken fencingToken, long expiryMillis,
		int priority, boolean isParallel, long latestStartMillis) {

	/** The request may be sent at any time until the grant expires. */
	public static final long NO_LATEST_START = 0;

	public Grant {
		shares = List.copyOf(shares);
	}

	public Grant(GrantRequest request, List<Share> shares, FencingToken fencingToken, long expiryMillis, int priority) {
		this(request, shares, fencingToken, expiryMillis, priority, false, NO_LATEST_START);
	}

	/**
	 * Converts the expiry and the points in time of the request to another clock.
	 * @param deltaMillis the difference to add, in milliseconds
	 * @return the grant by the other clock
	 */
	public Grant shifted(long deltaMillis) {
		return new Grant(this.request.shifted(deltaMillis), this.shares, this.fencingToken,
				this.expiryMillis + deltaMillis, this.priority, this.isParallel,
				hasLatestStart() ? this.latestStartMillis + deltaMillis : NO_LATEST_START);
	}

	/**
	 * Returns whether the request must be sent early, as the grant counts for the rate of
	 * a cold endpoint.
	 * @return true if there is a latest start
	 */
	public boolean hasLatestStart() {
		return this.latestStartMillis != NO_LATEST_START;
	}

	/**
	 * Returns the key that identifies a grant within its home.
	 * @param requestId the request
	 * @param attempt the attempt
	 * @return request id and attempt
	 */
	public static String key(String requestId, int attempt) {
		return requestId + "/" + attempt;
	}

	/**
	 * Returns the key that identifies this grant within its home.
	 * @return request id and attempt
	 */
	public String key() {
		return this.request.key();
	}

	/**
	 * Returns the endpoint that produces the answer.
	 * @return the endpoint of the last share
	 */
	public EndpointId answeringEndpoint() {
		return this.shares.get(this.shares.size() - 1).endpoint();
	}

}
