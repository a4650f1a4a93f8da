package org.poplarloom.entry.request;

import org.poplarloom.core.IdempotencyKey;
import org.poplarloom.core.version.Contract;
import org.poplarloom.port.ServicePort.ServiceCall;

/**
 * A call of a plain service that must take effect at most once.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param contract the team's contract
 * @param service the name of the service
 * @param key the caller's key
 * @param fingerprint the hash of the path and the content
 * @param call the call
 * @param deadlineMillis when the order must have ended, in milliseconds since the epoch
 */
public record Order(Contract contract, String service, IdempotencyKey key, String fingerprint, ServiceCall call,
		long deadlineMillis) {

	String claimKey() {
		return this.contract.team() + "/" + this.service + "/" + this.key;
	}

}
