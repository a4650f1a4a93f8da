package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.List;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.EndpointNotices;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.Share;
import org.poplarloom.entry.request.GrantClient;
import org.poplarloom.entry.request.HeldGrant;

/**
 * The endpoints that one attempt runs on: the answering endpoint and its helpers.
 * <p>
 * Helpers prefill parts of a long prompt. All grants are released together. This class is
 * not thread-safe; the event loop guards it.
 */
final class AttemptEndpoints {

	private final GrantClient grantClient;

	private final List<HeldGrant> grants;

	private final List<AssignedEndpoint> helpers = new ArrayList<>();

	private final AssignedEndpoint answering;

	private AttemptEndpoints(GrantClient grantClient, List<HeldGrant> grants) {
		this.grantClient = grantClient;
		this.grants = grants;
		grants.forEach((grant) -> this.helpers.addAll(assignedEndpoints(grant)));
		this.answering = this.helpers.remove(grants.get(0).grant().shares().size() - 1);
	}

	/**
	 * Returns the endpoints of a grant from one home.
	 * @param grantClient releases the grant
	 * @param grant the grant; its last endpoint answers
	 * @return the endpoints
	 */
	static AttemptEndpoints of(GrantClient grantClient, HeldGrant grant) {
		return new AttemptEndpoints(grantClient, List.of(grant));
	}

	/**
	 * Returns the endpoints of grants from several homes for one prompt.
	 * @param grantClient releases the grants
	 * @param grants the grants; the last endpoint of the first one answers
	 * @param promptTokens the length of the prompt in tokens; each helper reserves memory
	 * for an equal part of it
	 * @return the endpoints
	 */
	static AttemptEndpoints of(GrantClient grantClient, List<HeldGrant> grants, long promptTokens) {
		AttemptEndpoints endpoints = new AttemptEndpoints(grantClient, List.copyOf(grants));
		long tokensPerEndpoint = promptTokens / (endpoints.helpers.size() + 1) + 1;
		endpoints.helpers.replaceAll((helper) -> helper.withKvTokens(tokensPerEndpoint));
		return endpoints;
	}

	private static List<AssignedEndpoint> assignedEndpoints(HeldGrant grant) {
		List<AssignedEndpoint> assigned = new ArrayList<>();
		for (int i = 0; i < grant.grant().shares().size(); i++) {
			Share share = grant.grant().shares().get(i);
			assigned.add(new AssignedEndpoint(share.endpoint(), grant.addresses().get(i), grant.bootIds().get(i),
					share.kvTokens()));
		}
		return assigned;
	}

	AssignedEndpoint answering() {
		return this.answering;
	}

	List<AssignedEndpoint> helpers() {
		return this.helpers;
	}

	List<AssignedEndpoint> reservingHelpers() {
		return this.helpers.stream().filter((helper) -> helper.kvTokens() > 0).toList();
	}

	/**
	 * Returns when the request must have been sent, since one of the endpoints is cold.
	 * @return the earliest of the latest starts of the grants, in milliseconds since the
	 * epoch; {@link Grant#NO_LATEST_START} if there is none
	 */
	long latestStartMillis() {
		return this.grants.stream()
			.map(HeldGrant::grant)
			.filter(Grant::hasLatestStart)
			.mapToLong(Grant::latestStartMillis)
			.min()
			.orElse(Grant.NO_LATEST_START);
	}

	int priority() {
		return this.grants.get(0).grant().priority();
	}

	void reportFirstToken() {
		this.grants.forEach(this.grantClient::reportFirstToken);
	}

	/**
	 * Returns whether all endpoints may get a request now.
	 * @param notices what endpoints have said about themselves
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return false if one of them is leaving or wants no requests
	 */
	boolean areUsable(EndpointNotices notices, long nowMillis) {
		return notices.mayUse(this.answering.endpoint(), this.answering.bootId(), nowMillis) && this.helpers.stream()
			.allMatch((helper) -> notices.mayUse(helper.endpoint(), helper.bootId(), nowMillis));
	}

	/**
	 * Tells the home of an endpoint that it has said that it leaves.
	 * @param leaving one of the endpoints
	 */
	void reportLeaving(AssignedEndpoint leaving) {
		this.grants.stream()
			.filter((grant) -> contains(grant, leaving))
			.forEach((grant) -> this.grantClient.reportLeaving(grant, leaving.endpoint(), leaving.bootId()));
	}

	/**
	 * Tells the home of an endpoint that it could not be reached, also after the release.
	 * @param unreachable one of the endpoints
	 */
	void reportUnreachable(AssignedEndpoint unreachable) {
		this.grants.stream()
			.filter((grant) -> contains(grant, unreachable))
			.forEach((grant) -> this.grantClient.reportUnreachable(grant, unreachable.endpoint()));
	}

	private static boolean contains(HeldGrant grant, AssignedEndpoint assigned) {
		return grant.grant().shares().stream().anyMatch((share) -> share.endpoint().equals(assigned.endpoint()));
	}

	/**
	 * Releases the grants.
	 * @param unreachable the endpoint that could not be reached, or null
	 */
	void release(EndpointId unreachable) {
		this.grants.forEach((grant) -> this.grantClient.release(grant, unreachable));
	}

	/**
	 * Returns the helper with a name or address.
	 * @param nameOrAddress the name, or the host and port
	 * @return the helper, or null if there is none
	 */
	EndpointId findHelper(String nameOrAddress) {
		for (AssignedEndpoint helper : this.helpers) {
			if (helper.endpoint().value().equals(nameOrAddress) || helper.address().equals(nameOrAddress)) {
				return helper.endpoint();
			}
		}
		return null;
	}

	/**
	 * An endpoint that takes part in the attempt.
	 *
	 * @param endpoint the endpoint
	 * @param address its host and port
	 * @param bootId the boot ID of the endpoint's process, which changes with every start
	 * @param kvTokens the KV cache memory to reserve on it, in tokens, 0 for none
	 */
	record AssignedEndpoint(EndpointId endpoint, String address, String bootId, long kvTokens) {

		AssignedEndpoint withKvTokens(long tokens) {
			return new AssignedEndpoint(this.endpoint, this.address, this.bootId, tokens);
		}
	}

}
