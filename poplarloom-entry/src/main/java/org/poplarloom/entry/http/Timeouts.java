package org.poplarloom.entry.http;

import java.util.concurrent.TimeUnit;

import io.micronaut.http.HttpRequest;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Contract;

/**
 * Reads how long a caller is willing to wait.
 * <p>
 * This class has no state and is thread-safe.
 */
final class Timeouts {

	private static final String HEADER = "X-Timeout-Ms";

	private Timeouts() {
	}

	/**
	 * Returns the time for a request.
	 * @param http the request
	 * @param contract the team's contract, which sets the longest time
	 * @return milliseconds, at least 1
	 */
	static long millis(HttpRequest<?> http, Contract contract) {
		long longest = TimeUnit.SECONDS.toMillis(contract.longestAnswerSeconds());
		String header = http.getHeaders().get(HEADER);
		if (header == null) {
			return longest;
		}
		try {
			return Math.max(1, Math.min(longest, Long.parseLong(header)));
		}
		catch (NumberFormatException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_REQUEST,
					HEADER + " must be a number of milliseconds, but was '" + header + "'");
		}
	}

}
