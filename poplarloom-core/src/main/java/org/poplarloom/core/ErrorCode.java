package org.poplarloom.core;

import java.util.Locale;

/**
 * The error codes that callers and operators receive, each with its HTTP status.
 * <p>
 * Neither the text form nor the ordinal of a released code changes: instances send each
 * other the ordinal, so new codes are added at the end. This enum is immutable and
 * thread-safe.
 */
public enum ErrorCode {

	/** An identifier has characters or a length that are not allowed. */
	INVALID_IDENTIFIER(400),
	/** A setting, flag or environment variable has an invalid value. */
	INVALID_SETTING(400),
	/** A document is not well-formed JSON or lacks a required field. */
	INVALID_DOCUMENT(400),
	/** A request body does not have the documented format. */
	INVALID_REQUEST(400),
	/** The idempotency key is missing or is not a UUID version 7. */
	INVALID_IDEMPOTENCY_KEY(400),
	/** The idempotency key is older than the contract's repeat window. */
	EXPIRED_IDEMPOTENCY_KEY(409),
	/** The key belongs to no contract. */
	UNAUTHORIZED(401),
	/** The key is valid but does not give access to the resource. */
	FORBIDDEN(403),
	/** The named resource does not exist. */
	NOT_FOUND(404),
	/** The contract does not include the model or service. */
	NOT_IN_CONTRACT(403),
	/** The body is larger than the limit. */
	BODY_TOO_LARGE(413),
	/** The prompt is longer than the contract allows. */
	PROMPT_TOO_LONG(413),
	/** The body did not arrive in time. */
	BODY_TIMEOUT(408),
	/** The subject has changed since the version that the operator expected. */
	VERSION_CONFLICT(409),
	/** The team has used up its request or token rate. */
	RATE_LIMITED(429),
	/** The team has too many requests or tokens in flight. */
	CONCURRENCY_LIMITED(429),
	/** The instance has reached its limit of request bytes held in memory. */
	INSTANCE_BUSY(503),
	/** No endpoint can start the request before its deadline. */
	DEADLINE_UNREACHABLE(503),
	/** The queue of every reachable home is full. */
	QUEUE_FULL(503),
	/** No home with a suitable endpoint can be reached. */
	NO_ENDPOINT(503),
	/** The availability zone is out: it accepts no new work. */
	ZONE_OUT(503),
	/** The instance is not the home of the requested shard. */
	NOT_HOME(503),
	/** The deadline passed while the request was waiting or running. */
	DEADLINE_EXCEEDED(504),
	/** The endpoint failed while the request was running. */
	ENDPOINT_FAILED(502),
	/** The answer has a gap that could not be filled. */
	ANSWER_INCOMPLETE(502),
	/** The request has crashed endpoints and is not run again for some time. */
	QUARANTINED(422),
	/** The idempotency key was already used for an order with different content. */
	IDEMPOTENCY_KEY_REUSED(422),
	/** An order with this key has started and its outcome is not known yet. */
	OUTCOME_UNKNOWN(409),
	/** The platform's log cannot be reached. */
	LOG_UNAVAILABLE(503),
	/** The instance has not received a configuration yet. */
	NOT_READY(503),
	/** The instance is shutting down. */
	SHUTTING_DOWN(503),
	/** A peer sent a frame that cannot be decoded. */
	BAD_FRAME(400),
	/** A peer did not answer in time. */
	PEER_TIMEOUT(504),
	/**
	 * A usage ledger does not match its signature, its hash chain or the other side's
	 * ledger.
	 */
	BOOK_MISMATCH(409),
	/** A defect in this program. */
	INTERNAL(500),
	/** The home cannot start the request in time; another home may. */
	HOME_BUSY(503),
	/** The request is still queued at the home, which has to be polled again. */
	STILL_QUEUED(503);

	private final int status;

	ErrorCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status that goes with the code.
	 * @return a status from 400 to 599
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the stable text form, such as {@code rate_limited}.
	 * @return the text form, never null
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds the code with the given text form.
	 * @param text the text form, may be null
	 * @return the code, or {@link #INTERNAL} if the text is unknown
	 */
	public static ErrorCode parse(String text) {
		for (ErrorCode code : values()) {
			if (code.text().equals(text)) {
				return code;
			}
		}
		return INTERNAL;
	}

}
