package org.poplarloom.core.request;

import java.util.List;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.FenceNumber;

/**
 * The right to run one attempt of a request on one endpoint, or on several together.
 * <p>
 * Shares are in ascending order of their endpoints; the last endpoint produces the
 * answer. This class is immutable and thread-safe.
 *
 * @param request what was asked for
 * @param shares where to run it, at least one
 * @param fence the number of the home that granted it
 * @param expiryMillis when the grant ends, in milliseconds since the epoch
 * @param priority the priority for the engine, higher runs first
 * @param isParallel whether the endpoints read their parts of the prompt at the same
 * time; if not, one after another
 */
public record Grant(GrantRequest request, List<Share> shares, FenceNumber fence, long expiryMillis, int priority,
		boolean isParallel) {

	public Grant {
		shares = List.copyOf(shares);
	}

	public Grant(GrantRequest request, List<Share> shares, FenceNumber fence, long expiryMillis, int priority) {
		this(request, shares, fence, expiryMillis, priority, false);
	}

	/**
	 * Returns the grant with all times of its request and its expiry moved.
	 * @param deltaMillis what to add, in milliseconds
	 * @return the grant
	 */
	public Grant shifted(long deltaMillis) {
		return new Grant(this.request.shifted(deltaMillis), this.shares, this.fence, this.expiryMillis + deltaMillis,
				this.priority, this.isParallel);
	}

	/**
	 * Returns the identity of a grant within its home.
	 * @param requestId the request
	 * @param attempt the attempt
	 * @return request id and attempt
	 */
	public static String key(String requestId, int attempt) {
		return requestId + "/" + attempt;
	}

	/**
	 * Returns the identity of the grant within its home.
	 * @return request id and attempt
	 */
	public String key() {
		return this.request.key();
	}

	/**
	 * Returns the endpoint that produces the answer.
	 * @return the last endpoint
	 */
	public EndpointId answering() {
		return this.shares.get(this.shares.size() - 1).endpoint();
	}

}
