package org.poplarloom.core.usage;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import org.poplarloom.core.version.Documents;

/**
 * A part of a book as its writer published it.
 * <p>
 * Pages of a writer count from 0 without gaps and each names the hash of the one before.
 * Totals are cumulative, so that a page read twice changes nothing. This class is
 * immutable and thread-safe.
 *
 * @param writer the instance and its incarnation
 * @param kind whose view the book gives
 * @param signer the owner that signs for the instance, empty if the page is not signed
 * @param sequence the place in the writer's chain, from 0
 * @param previousHash the hash of the page before, empty for the first
 * @param lines the lines that have changed since the page before
 * @param hash the hash of all of the above
 * @param signature the signature of the hash, empty if the page is not signed
 */
public record UsagePage(String writer, Kind kind, String signer, long sequence, String previousHash,
		List<UsageBook.Line> lines, String hash, String signature) {

	public UsagePage {
		lines = List.copyOf(lines);
	}

	/**
	 * Returns the first page of a chain, or the one after another.
	 * @param previous the page before, or null
	 * @param writer the instance and its incarnation
	 * @param kind whose view the book gives
	 * @param key the signer's key
	 * @param lines the lines that have changed
	 * @return the page
	 */
	public static UsagePage after(UsagePage previous, String writer, Kind kind, OwnerKey key,
			List<UsageBook.Line> lines) {
		long sequence = (previous != null) ? previous.sequence() + 1 : 0;
		String previousHash = (previous != null) ? previous.hash() : "";
		UsagePage draft = new UsagePage(writer, kind, key.owner(), sequence, previousHash, lines, "", "");
		String hash = draft.computeHash();
		return new UsagePage(writer, kind, key.owner(), sequence, previousHash, lines, hash, key.sign(hash));
	}

	/**
	 * Returns the identity of the chain that the page belongs to.
	 * @return the writer and the kind of book
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
	 * Whose view a book gives.
	 */
	public enum Kind {

		/** What an entry instance used for its callers. */
		CALLER,
		/** What a home heard from its endpoints. */
		ENDPOINT

	}

}
