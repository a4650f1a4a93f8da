package org.poplarloom.wire.connection;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret shared by all instances, and the HMAC proofs of knowing it.
 * <p>
 * {@link #toString} does not contain the secret. This class is immutable and thread-safe.
 */
public final class PeerKey {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int NONCE_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final SecretKeySpec secret;

	private PeerKey(SecretKeySpec secret) {
		this.secret = secret;
	}

	/**
	 * Returns the key with the given secret.
	 * @param secret the secret, at least one character
	 * @return the key
	 */
	public static PeerKey of(String secret) {
		return new PeerKey(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
	}

	static String newNonce() {
		byte[] bytes = new byte[NONCE_BYTES];
		RANDOM.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	String computeProof(String purpose, String nonce) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.secret);
			return HexFormat.of().formatHex(mac.doFinal((purpose + ":" + nonce).getBytes(StandardCharsets.UTF_8)));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	boolean isValidProof(String purpose, String nonce, String proof) {
		byte[] expected = computeProof(purpose, nonce).getBytes(StandardCharsets.UTF_8);
		return proof != null && MessageDigest.isEqual(expected, proof.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public String toString() {
		return "PeerKey[***]";
	}

}
