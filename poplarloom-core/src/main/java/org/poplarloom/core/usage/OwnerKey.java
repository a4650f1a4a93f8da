package org.poplarloom.core.usage;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;

/**
 * The Ed25519 key with which an owner signs the usage ledgers of its instances.
 * <p>
 * The private key never appears in the text form. This class is immutable and
 * thread-safe.
 */
public final class OwnerKey {

	private static final String ALGORITHM = "Ed25519";

	private final String owner;

	private final PrivateKey privateKey;

	private OwnerKey(String owner, PrivateKey privateKey) {
		this.owner = owner;
		this.privateKey = privateKey;
	}

	/**
	 * Returns a key without an owner, which leaves pages unsigned.
	 * @return the key
	 */
	public static OwnerKey none() {
		return new OwnerKey("", null);
	}

	/**
	 * Reads a private key.
	 * @param owner the owner
	 * @param base64 the PKCS #8 form in Base64
	 * @return the key
	 * @throws PoplarloomException if the text is not an Ed25519 private key
	 */
	public static OwnerKey parse(String owner, String base64) {
		try {
			byte[] bytes = Base64.getDecoder().decode(base64);
			return new OwnerKey(owner,
					KeyFactory.getInstance(ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(bytes)));
		}
		catch (GeneralSecurityException | IllegalArgumentException ex) {
			throw new PoplarloomException(ErrorCode.INVALID_SETTING,
					"the key of owner '" + owner + "' is not an Ed25519 private key in Base64");
		}
	}

	/**
	 * Generates a new key pair.
	 * @return the private and the public key in Base64
	 */
	public static Pair generate() {
		try {
			KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
			return new Pair(Base64.getEncoder().encodeToString(pair.getPrivate().getEncoded()),
					Base64.getEncoder().encodeToString(pair.getPublic().getEncoded()));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Returns the owner.
	 * @return the name, empty for {@link #none()}
	 */
	public String owner() {
		return this.owner;
	}

	String sign(String text) {
		if (this.privateKey == null) {
			return "";
		}
		try {
			Signature signature = Signature.getInstance(ALGORITHM);
			signature.initSign(this.privateKey);
			signature.update(text.getBytes(StandardCharsets.UTF_8));
			return Base64.getEncoder().encodeToString(signature.sign());
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static boolean isValidSignature(String text, String signatureBase64, String publicKeyBase64) {
		try {
			byte[] bytes = Base64.getDecoder().decode(publicKeyBase64);
			PublicKey key = KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(bytes));
			Signature signature = Signature.getInstance(ALGORITHM);
			signature.initVerify(key);
			signature.update(text.getBytes(StandardCharsets.UTF_8));
			return signature.verify(Base64.getDecoder().decode(signatureBase64));
		}
		catch (GeneralSecurityException | IllegalArgumentException ex) {
			return false;
		}
	}

	@Override
	public String toString() {
		return "OwnerKey[" + this.owner + "]";
	}

	/**
	 * A key pair in Base64.
	 *
	 * @param privateKey the PKCS #8 form
	 * @param publicKey the X.509 form
	 */
	public record Pair(String privateKey, String publicKey) {

		@Override
		public String toString() {
			return "Pair[publicKey=" + this.publicKey + "]";
		}

	}

}
