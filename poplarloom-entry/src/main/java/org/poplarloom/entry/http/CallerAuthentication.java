package org.poplarloom.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import io.micronaut.http.HttpRequest;
import jakarta.inject.Singleton;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.version.Contract;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.request.Fingerprint;

/**
 * Finds out who sends a request.
 * <p>
 * Keys are never logged; callers' keys are looked up by their hash and the operators'
 * token is compared in constant time. This class is thread-safe.
 */
@Singleton
final class CallerAuthentication {

	private static final String SCHEME = "Bearer ";

	private final Node node;

	CallerAuthentication(Node node) {
		this.node = node;
	}

	Contract requireContract(HttpRequest<?> request) {
		if (!this.node.keeper().isLoaded()) {
			throw new PoplarloomException(ErrorCode.NOT_READY, "no configuration has been learnt yet");
		}
		String key = bearer(request);
		return this.node.keeper()
			.configuration()
			.contractOfKey(Fingerprint.ofKey(key))
			.orElseThrow(() -> new PoplarloomException(ErrorCode.UNAUTHORIZED, "the key belongs to no contract"));
	}

	void requireOperator(HttpRequest<?> request) {
		byte[] expected = this.node.settings().operatorToken().getBytes(StandardCharsets.UTF_8);
		if (!MessageDigest.isEqual(expected, bearer(request).getBytes(StandardCharsets.UTF_8))) {
			throw new PoplarloomException(ErrorCode.UNAUTHORIZED, "the operator token is wrong");
		}
	}

	private static String bearer(HttpRequest<?> request) {
		String header = request.getHeaders().get("Authorization");
		if (header == null || !header.startsWith(SCHEME)) {
			throw new PoplarloomException(ErrorCode.UNAUTHORIZED,
					"an Authorization header with a bearer key is required");
		}
		return header.substring(SCHEME.length()).trim();
	}

}
