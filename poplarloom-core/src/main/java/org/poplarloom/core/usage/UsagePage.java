package org.poplarloom.core.usage;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import org.poplarloom.core.version.Documents;

/**
 * A page of a usage ledger as its writer published it.
 * <p>
 * The pages of a writer and kind form a hash chain: they are numbered from 0 without gaps
 * and each contains the hash of the previous one. Totals are cumulative, so that reading
 * a page twice changes nothing. This class is immutable and thread-safe.
 *
 * @param writer the instance and its incarnation
 * @param kind who counted
 * @param signer the owner that signs for the instance, empty if the page is not signed
 * @param sequence the position in the chain, from 0
 * @param previousHash the hash of the previous page, empty for the first
 * @param lines the lines that have changed since the previous page
 * @param hash the hash of all preceding components
 * @param signature the signature of the hash, empty if the page is not signed
 */
public record UsagePage(String writer, Kind kind, String signer, long sequence, String previousHash,
		List<UsageLedger.Line> lines, String hash, String signature) {

	public UsagePage {
		lines = List.copyOf(lines);
	}

	/**
	 * Creates the next page of a chain.
	 * @param previous the previous page, or null for the first page
	 * @param writer the instance and its incarnation
	 * @param kind who counted
	 * @param key the signer's key
	 * @param lines the lines that have changed since the previous page
	 * @return the page, signed unless the key is {@link OwnerKey#none()}
	 */
	public static UsagePage after(UsagePage previous, String writer, Kind kind, OwnerKey key,
			List<UsageLedger.Line> lines) {
		long sequence = (previous != null) ? previous.sequence() + 1 : 0;
		String previousHash = (previous != null) ? previous.hash() : "";
		UsagePage unsigned = new UsagePage(writer, kind, key.owner(), sequence, previousHash, lines, "", "");
		String hash = unsigned.computeHash();
		return new UsagePage(writer, kind, key.owner(), sequence, previousHash, lines, hash, key.sign(hash));
	}

	/**
	 * Returns the identity of the chain that the page belongs to.
	 * @return the writer and the kind
	 */
	public String chain() {
		return this.writer + "/" + this.kind;
	}

	/**
	 * Computes the hash that the page should have.
	 * @return hexadecimal SHA-256
	 */
	public String computeHash() {
		UsagePage content = new UsagePage(this.writer, this.kind, this.signer, this.sequence, this.previousHash,
				this.lines, "", "");
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(Documents.write(content).getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * The side that counted the usage.
	 */
	public enum Kind {

		/** The usage that an entry instance counted for its callers. */
		CALLER,
		/** The totals that endpoints reported to their home. */
		ENDPOINT

	}

}
