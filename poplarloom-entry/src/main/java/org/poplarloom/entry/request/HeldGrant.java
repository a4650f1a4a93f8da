package org.poplarloom.entry.request;

import java.util.List;

import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.request.Grant;

/**
 * A grant that this instance uses.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param home the home that granted it
 * @param grant the grant
 * @param addresses the addresses of the endpoints in the order of the grant's shares
 * @param bootIds the boots of the endpoints in the same order
 */
public record HeldGrant(ShardStatus home, Grant grant, List<String> addresses, List<String> bootIds) {

	public HeldGrant {
		addresses = List.copyOf(addresses);
		bootIds = List.copyOf(bootIds);
	}

	/**
	 * Returns the address of the endpoint that produces the answer.
	 * @return the host and port
	 */
	public String answeringAddress() {
		return this.addresses.get(this.addresses.size() - 1);
	}

	/**
	 * Returns the start of the endpoint that produces the answer.
	 * @return changes with every start
	 */
	public String answeringBoot() {
		return this.bootIds.get(this.bootIds.size() - 1);
	}

	HeldGrant withHome(ShardStatus newHome) {
		return new HeldGrant(newHome, this.grant, this.addresses, this.bootIds);
	}

}
