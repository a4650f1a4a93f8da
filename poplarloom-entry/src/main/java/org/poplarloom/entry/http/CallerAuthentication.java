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
 * Authenticates callers and operators.
 * <p>
 * Keys and tokens are never logged; callers' keys are looked up by their hash, and the
 * operators' token is compared in constant time. This class is thread-safe.
 */
@Singleton
final class CallerAuthentication {

	private static final String SCHEME = "Bearer ";

	private final Node node;

	CallerAuthentication(Node node) {
		this.node = node;
	}

	Contract requireContract(HttpRequest<?> request) {
		if (!this.node.activeConfiguration().isLoaded()) {
			throw new PoplarloomException(ErrorCode.NOT_READY, "this instance has not received a configuration yet");
		}
		String key = bearerKey(request);
		return this.node.activeConfiguration()
			.configuration()
			.contractOfKey(Fingerprint.ofKey(key))
			.orElseThrow(() -> new PoplarloomException(ErrorCode.UNAUTHORIZED, "no contract lists the bearer key"));
	}

	void requireOperator(HttpRequest<?> request) {
		byte[] expected = this.node.settings().operatorToken().getBytes(StandardCharsets.UTF_8);
		if (!MessageDigest.isEqual(expected, bearerKey(request).getBytes(StandardCharsets.UTF_8))) {
			throw new PoplarloomException(ErrorCode.UNAUTHORIZED, "the bearer key is not the operator token");
		}
	}

	private static String bearerKey(HttpRequest<?> request) {
		String header = request.getHeaders().get("Authorization");
		if (header == null || !header.startsWith(SCHEME)) {
			throw new PoplarloomException(ErrorCode.UNAUTHORIZED,
					"an Authorization header of the form 'Bearer KEY' is required");
		}
		return header.substring(SCHEME.length()).trim();
	}

}
