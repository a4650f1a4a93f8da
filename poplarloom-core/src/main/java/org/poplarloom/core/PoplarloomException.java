package org.poplarloom.core;

/**
 * The only exception type that crosses module boundaries.
 * <p>
 * It always has an error code and states whether the request was executed. This class is
 * immutable and thread-safe.
 */
public class PoplarloomException extends RuntimeException {

	private final ErrorCode code;

	private final Executed executed;

	private final long retryAfterMillis;

	public PoplarloomException(ErrorCode code, String message) {
		this(code, Executed.NO, message, 0);
	}

	public PoplarloomException(ErrorCode code, Executed executed, String message) {
		this(code, executed, message, 0);
	}

	public PoplarloomException(ErrorCode code, Executed executed, String message, long retryAfterMillis) {
		super(message);
		this.code = code;
		this.executed = executed;
		this.retryAfterMillis = retryAfterMillis;
	}

	/**
	 * Returns the error code.
	 * @return the code, never null
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns whether the request was executed.
	 * @return the execution status, never null
	 */
	public Executed executed() {
		return this.executed;
	}

	/**
	 * Returns how long the caller should wait before the next attempt.
	 * @return milliseconds, 0 if unknown
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
