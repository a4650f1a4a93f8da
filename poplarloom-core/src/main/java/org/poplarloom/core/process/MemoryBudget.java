package org.poplarloom.core.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that a process holds on behalf of its callers and endpoints.
 * <p>
 * All shares together never exceed the capacity, and a share never grows beyond what is
 * then left for all others. A part of the capacity is kept for small shares, so that
 * large ones, however many there are, leave room for them. This class is thread-safe.
 */
public final class MemoryBudget {

	private static final long MAX_SMALL_SHARE_BYTES = 64 * 1024;

	/** One part in so many of the capacity is kept for small shares. */
	private static final int SMALL_SHARES_DIVISOR = 8;

	private final long capacityBytes;

	private final AtomicLong heldBytes = new AtomicLong();

	/**
	 * Creates a budget of which nothing is held.
	 * @param capacityBytes the capacity in bytes, at least 1
	 * @throws IllegalArgumentException if the capacity is not positive
	 */
	public MemoryBudget(long capacityBytes) {
		if (capacityBytes < 1) {
			throw new IllegalArgumentException("capacity must be positive, but was " + capacityBytes);
		}
		this.capacityBytes = capacityBytes;
	}

	/**
	 * Opens a share that holds nothing yet.
	 * @return the share, to be closed by its holder
	 */
	public Share openShare() {
		return new Share();
	}

	/**
	 * Returns the memory that all shares hold.
	 * @return bytes, 0 or more
	 */
	public long heldBytes() {
		return this.heldBytes.get();
	}

	/**
	 * Returns the limit of the memory that all shares hold.
	 * @return bytes, 1 or more
	 */
	public long capacityBytes() {
		return this.capacityBytes;
	}

	private boolean fits(long heldBefore, long addedBytes, long sizeBytes) {
		long limit = (sizeBytes <= MAX_SMALL_SHARE_BYTES) ? this.capacityBytes
				: this.capacityBytes - this.capacityBytes / SMALL_SHARES_DIVISOR;
		return heldBefore + addedBytes <= limit && sizeBytes <= this.capacityBytes - heldBefore;
	}

	private boolean tryAdd(long addedBytes, long sizeBytes) {
		long held = this.heldBytes.get();
		while (fits(held, addedBytes, sizeBytes)) {
			if (this.heldBytes.compareAndSet(held, held + addedBytes)) {
				return true;
			}
			held = this.heldBytes.get();
		}
		return false;
	}

	/**
	 * The memory of one holder. It is not thread-safe, and its size is 0 once it is
	 * closed.
	 */
	public final class Share implements AutoCloseable {

		private long sizeBytes;

		private Share() {
		}

		/**
		 * Returns whether the share could grow to a size at this moment.
		 * @param newSizeBytes the size in bytes
		 * @return false if the budget has too little left for it
		 */
		public boolean canHold(long newSizeBytes) {
			return newSizeBytes <= this.sizeBytes || fits(heldBytes(), newSizeBytes - this.sizeBytes, newSizeBytes);
		}

		/**
		 * Changes the size unless the budget has too little left for a larger one.
		 * @param newSizeBytes the size in bytes, 0 or more
		 * @return false if the size remains as it was
		 */
		public boolean tryResize(long newSizeBytes) {
			long addedBytes = newSizeBytes - this.sizeBytes;
			if (addedBytes > 0 && !tryAdd(addedBytes, newSizeBytes)) {
				return false;
			}
			if (addedBytes < 0) {
				MemoryBudget.this.heldBytes.addAndGet(addedBytes);
			}
			this.sizeBytes = newSizeBytes;
			return true;
		}

		/**
		 * Returns the size.
		 * @return bytes, 0 or more
		 */
		public long sizeBytes() {
			return this.sizeBytes;
		}

		@Override
		public void close() {
			tryResize(0);
		}

	}

}
