package org.poplarloom.entry.request;

import java.util.List;

import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.request.Grant;

/**
 * A grant that this instance holds, with the addresses of its endpoints.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param home the shard's present home, at first the one that granted it
 * @param grant the grant
 * @param addresses the addresses of the endpoints in the order of the grant's shares
 * @param bootIds the boot IDs of the endpoints in the same order
 */
public record HeldGrant(ShardStatus home, Grant grant, List<String> addresses, List<String> bootIds) {

	public HeldGrant {
		addresses = List.copyOf(addresses);
		bootIds = List.copyOf(bootIds);
	}

	/**
	 * Returns the address of the endpoint that generates the answer.
	 * @return the host and port
	 */
	public String answeringAddress() {
		return this.addresses.get(this.addresses.size() - 1);
	}

	/**
	 * Returns the boot ID of the endpoint that generates the answer.
	 * @return an ID that differs after every start of the endpoint
	 */
	public String answeringBootId() {
		return this.bootIds.get(this.bootIds.size() - 1);
	}

	HeldGrant withHome(ShardStatus newHome) {
		return new HeldGrant(newHome, this.grant, this.addresses, this.bootIds);
	}

}
