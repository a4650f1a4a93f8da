package org.poplarloom.entry.request;

import org.poplarloom.core.IdempotencyKey;
import org.poplarloom.core.version.Contract;
import org.poplarloom.port.ServicePort.ServiceCall;

/**
 * A caller's request to a plain service. It is an order, which must run at most once,
 * unless the contract allows repetition.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param contract the team's contract
 * @param service the name of the service
 * @param key the caller's idempotency key, null if the call may be repeated
 * @param fingerprint the hash of the path and the body
 * @param call the call as it is sent to the service
 * @param deadlineMillis when the request must have ended, in milliseconds since the epoch
 */
public record ServiceRequest(Contract contract, String service, IdempotencyKey key, String fingerprint,
		ServiceCall call, long deadlineMillis) {

	String claimKey() {
		return this.contract.team() + "/" + this.service + "/" + this.key;
	}

}
