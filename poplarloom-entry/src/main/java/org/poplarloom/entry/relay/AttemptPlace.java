package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.List;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.request.Share;
import org.poplarloom.entry.request.GrantClient;
import org.poplarloom.entry.request.HeldGrant;

/**
 * Where one attempt runs: the endpoint that answers, and its helpers.
 * <p>
 * The grants behind it are given back once. This class is not thread-safe; the event loop
 * guards it.
 */
final class AttemptPlace {

	private final GrantClient grants;

	private final List<HeldGrant> held;

	private final List<Part> helpers = new ArrayList<>();

	private final Part answering;

	private AttemptPlace(GrantClient grants, List<HeldGrant> held) {
		this.grants = grants;
		this.held = held;
		held.forEach((grant) -> this.helpers.addAll(parts(grant)));
		this.answering = this.helpers.remove(held.get(0).grant().shares().size() - 1);
	}

	/**
	 * Returns the place that one home granted.
	 * @param grants takes the grant back
	 * @param held the grant
	 * @return the place
	 */
	static AttemptPlace of(GrantClient grants, HeldGrant held) {
		return new AttemptPlace(grants, List.of(held));
	}

	/**
	 * Returns the place that several homes granted together.
	 * @param grants takes the grants back
	 * @param held the grants; an endpoint of the first one answers
	 * @param promptTokens the length of the prompt, of which each helper holds an equal
	 * part
	 * @return the place
	 */
	static AttemptPlace of(GrantClient grants, List<HeldGrant> held, long promptTokens) {
		AttemptPlace place = new AttemptPlace(grants, List.copyOf(held));
		long partTokens = promptTokens / (place.helpers.size() + 1) + 1;
		place.helpers.replaceAll((part) -> part.withKvTokens(partTokens));
		return place;
	}

	private static List<Part> parts(HeldGrant grant) {
		List<Part> parts = new ArrayList<>();
		for (int i = 0; i < grant.grant().shares().size(); i++) {
			Share share = grant.grant().shares().get(i);
			parts.add(new Part(share.endpoint(), grant.addresses().get(i), grant.bootIds().get(i), share.kvTokens()));
		}
		return parts;
	}

	Part answering() {
		return this.answering;
	}

	List<Part> helpers() {
		return this.helpers;
	}

	int priority() {
		return this.held.get(0).grant().priority();
	}

	void firstToken() {
		this.held.forEach(this.grants::firstToken);
	}

	/**
	 * Gives the grants back.
	 * @param failed the endpoint that cannot be reached, or null
	 */
	void release(EndpointId failed) {
		this.held.forEach((grant) -> this.grants.release(grant, failed));
	}

	/**
	 * Finds the helper with a name or address.
	 * @param named the name or address
	 * @return the helper, or null
	 */
	EndpointId helper(String named) {
		for (Part helper : this.helpers) {
			if (helper.endpoint().value().equals(named) || helper.address().equals(named)) {
				return helper.endpoint();
			}
		}
		return null;
	}

	/**
	 * One endpoint's part.
	 *
	 * @param endpoint the endpoint
	 * @param address its host and port
	 * @param lifetime changes with every start of the endpoint
	 * @param kvTokens the memory that it sets aside, 0 if none
	 */
	record Part(EndpointId endpoint, String address, String lifetime, long kvTokens) {

		Part withKvTokens(long tokens) {
			return new Part(this.endpoint, this.address, this.lifetime, tokens);
		}
	}

}
