package org.poplarloom.entry.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.poplarloom.core.request.GrantRequest;

/**
 * Hashes that identify callers' keys and request contents.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class Fingerprint {

	private static final int CONTENT_HASH_CHARACTERS = 32;

	private Fingerprint() {
	}

	/**
	 * Returns the hash of a caller's key in the form in which contracts list it.
	 * @param key the key
	 * @return lower-case hexadecimal SHA-256
	 */
	public static String ofKey(String key) {
		return HexFormat.of().formatHex(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Returns the hash of a request's body.
	 * @param body the body
	 * @return the first half of the hexadecimal SHA-256
	 */
	public static String of(byte[] body) {
		return HexFormat.of().formatHex(sha256().digest(body)).substring(0, CONTENT_HASH_CHARACTERS);
	}

	/**
	 * Returns the hash of a service call's path and body.
	 * @param path the path
	 * @param body the body
	 * @return the first half of the hexadecimal SHA-256
	 */
	public static String of(String path, byte[] body) {
		MessageDigest digest = sha256();
		digest.update(path.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest(body)).substring(0, CONTENT_HASH_CHARACTERS);
	}

	/**
	 * Returns the hash by which homes recognize a caller that returns with a request.
	 * @param path the path with its query
	 * @param key the caller's key, or null
	 * @param body the body
	 * @return the first 64 bits of the SHA-256, not 0
	 */
	public static long of(String path, String key, byte[] body) {
		MessageDigest digest = sha256();
		digest.update((path + "\n" + key + "\n").getBytes(StandardCharsets.UTF_8));
		long hash = ByteBuffer.wrap(digest.digest(body)).getLong();
		return (hash != GrantRequest.NO_FINGERPRINT) ? hash : 1;
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
