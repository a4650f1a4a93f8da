package org.poplarloom.core.process;

/**
 * A record of a claim stream.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param kind the kind of the record
 * @param key the team and the idempotency key
 * @param claimId the identity of the claim, unique for each attempt
 * @param fingerprint the hash of the order's content
 * @param status the HTTP status of the outcome, 0 for other kinds
 * @param contentType the content type of the outcome, empty for other kinds
 * @param body the body of the outcome, empty for other kinds
 */
public record ClaimRecord(Kind kind, String key, String claimId, String fingerprint, int status, String contentType,
		String body) {

	/**
	 * Returns a record that claims a key.
	 * @param key the team and the idempotency key
	 * @param claimId the identity of the claim
	 * @param fingerprint the hash of the order's content
	 * @return the record
	 */
	public static ClaimRecord claim(String key, String claimId, String fingerprint) {
		return new ClaimRecord(Kind.CLAIM, key, claimId, fingerprint, 0, "", "");
	}

	/**
	 * Returns a record that ends this claim with an outcome.
	 * @param outcomeStatus the HTTP status
	 * @param outcomeType the content type
	 * @param outcomeBody the body
	 * @return the record
	 */
	public ClaimRecord withOutcome(int outcomeStatus, String outcomeType, String outcomeBody) {
		return new ClaimRecord(Kind.OUTCOME, this.key, this.claimId, this.fingerprint, outcomeStatus, outcomeType,
				outcomeBody);
	}

	/**
	 * Returns a record that releases this claim because the order was not sent.
	 * @return the record
	 */
	public ClaimRecord withRelease() {
		return new ClaimRecord(Kind.RELEASE, this.key, this.claimId, this.fingerprint, 0, "", "");
	}

	/**
	 * The kinds of records.
	 */
	public enum Kind {

		/** The claimant requests to run the order. */
		CLAIM,
		/** The claimant has run the order. */
		OUTCOME,
		/** The claimant will never run the order. */
		RELEASE

	}

}
