package org.poplarloom.entry.relay;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The bodies that callers are sending, and the decision which of them are given up.
 * <p>
 * Callers that send slowly hold at most a part of the memory: beyond it, the requests
 * that began first are given up, so that callers that send quickly find room. A body
 * younger than {@link #MIN_AGE_MILLIS} is never given up. This class is not thread-safe;
 * the event loop guards it.
 */
public final class IncomingBodies {

	/** A body of 4 MB arrives within some hundred milliseconds. */
	static final long MIN_AGE_MILLIS = 1_000;

	private static final int BUDGET_DIVISOR = 4;

	private static final long UNLIMITED = Long.MAX_VALUE;

	private final long capacityBytes;

	private final LongSupplier nowMillis;

	private final Map<Runnable, Body> bodies = new LinkedHashMap<>();

	private long heldBytes;

	private long givenUpCount;

	private IncomingBodies(long capacityBytes, LongSupplier nowMillis) {
		this.capacityBytes = capacityBytes;
		this.nowMillis = nowMillis;
	}

	/**
	 * Returns the bodies that may hold a part of the memory.
	 * @param budgetBytes the memory for callers and endpoints, in bytes
	 * @param nowMillis supplies the time in milliseconds
	 * @return the bodies
	 */
	public static IncomingBodies ofBudget(long budgetBytes, LongSupplier nowMillis) {
		return new IncomingBodies(budgetBytes / BUDGET_DIVISOR, nowMillis);
	}

	/**
	 * Returns bodies that are limited by the memory budget only.
	 * @return the bodies
	 */
	public static IncomingBodies unlimited() {
		return new IncomingBodies(UNLIMITED, () -> 0);
	}

	/**
	 * Records the memory of a body that is not complete, and gives up others if all
	 * bodies together hold too much.
	 * @param giveUp refuses the request with the body; identifies the body
	 * @param bytes the memory that it holds now, in bytes
	 */
	void record(Runnable giveUp, long bytes) {
		if (this.capacityBytes == UNLIMITED) {
			return;
		}
		long now = this.nowMillis.getAsLong();
		Body body = this.bodies.computeIfAbsent(giveUp, (key) -> new Body(now));
		this.heldBytes += bytes - body.bytes;
		body.bytes = bytes;
		while (this.heldBytes > this.capacityBytes) {
			Iterator<Map.Entry<Runnable, Body>> first = this.bodies.entrySet().iterator();
			Map.Entry<Runnable, Body> oldest = first.next();
			if (now - oldest.getValue().startedMillis < MIN_AGE_MILLIS) {
				return;
			}
			remove(oldest.getKey());
			this.givenUpCount++;
			oldest.getKey().run();
		}
	}

	/**
	 * Removes a body that is complete or whose request has ended.
	 * @param giveUp identifies the body; an unknown one is ignored
	 */
	void remove(Runnable giveUp) {
		Body body = this.bodies.remove(giveUp);
		if (body != null) {
			this.heldBytes -= body.bytes;
		}
	}

	/**
	 * Returns how many bodies were given up.
	 * @return a number from 0
	 */
	public long givenUpCount() {
		return this.givenUpCount;
	}

	/**
	 * The memory that one body holds. The event loop guards it.
	 */
	private static final class Body {

		private final long startedMillis;

		private long bytes;

		Body(long startedMillis) {
			this.startedMillis = startedMillis;
		}

	}

}
