package org.poplarloom.entry.request;

import java.util.concurrent.atomic.AtomicLong;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.PoplarloomException;

/**
 * Limits the memory that request bodies use at an instance.
 * <p>
 * Reserved bytes never exceed the limit, except that a single request is always allowed
 * when nothing is reserved. This class is thread-safe.
 */
public final class BodyBudget {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final long limitBytes;

	private final AtomicLong reservedBytes = new AtomicLong();

	public BodyBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	/**
	 * Reserves memory for a request.
	 * @param bytes the size of the body
	 * @throws PoplarloomException with code {@code instance_busy} if the limit would be
	 * exceeded
	 */
	public void reserve(long bytes) {
		long before = this.reservedBytes.getAndAdd(bytes);
		if (before > 0 && before + bytes > this.limitBytes) {
			this.reservedBytes.addAndGet(-bytes);
			throw new PoplarloomException(ErrorCode.INSTANCE_BUSY, Executed.NO, bytes + " bytes cannot be reserved: "
					+ before + " of " + this.limitBytes + " request bytes are in use", RETRY_AFTER_MILLIS);
		}
	}

	/**
	 * Releases reserved memory.
	 * @param bytes the size that was reserved
	 */
	public void release(long bytes) {
		this.reservedBytes.addAndGet(-bytes);
	}

	/**
	 * Returns the reserved memory.
	 * @return bytes, 0 or more
	 */
	public long reservedBytes() {
		return this.reservedBytes.get();
	}

}
