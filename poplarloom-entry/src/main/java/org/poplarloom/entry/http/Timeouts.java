package org.poplarloom.entry.http;

import java.util.concurrent.TimeUnit;

import io.micronaut.http.HttpRequest;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Contract;

/**
 * Reads the timeout that a caller requests.
 * <p>
 * This class has no state and is thread-safe.
 */
final class Timeouts {

	private static final String HEADER = "X-Timeout-Ms";

	private Timeouts() {
	}

	/**
	 * Returns the timeout of a request.
	 * @param http the request
	 * @param contract the team's contract, which sets the maximum and the default
	 * @return the timeout in milliseconds, from 1 to the maximum
	 * @throws PoplarloomException with code {@code invalid_request} if the header is not
	 * a number
	 */
	static long millis(HttpRequest<?> http, Contract contract) {
		long maxMillis = TimeUnit.SECONDS.toMillis(contract.longestAnswerSeconds());
		String header = http.getHeaders().get(HEADER);
		if (header == null) {
			return maxMillis;
		}
		try {
			return Math.max(1, Math.min(maxMillis, Long.parseLong(header)));
		}
		catch (NumberFormatException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_REQUEST,
					HEADER + " must be a number of milliseconds, but was '" + header + "'");
		}
	}

}
