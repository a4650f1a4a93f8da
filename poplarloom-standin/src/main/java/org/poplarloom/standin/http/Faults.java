package org.poplarloom.standin.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults that a test injects into a stand-in.
 * <p>
 * This class is thread-safe.
 */
public final class Faults {

	private volatile boolean down;

	private final AtomicInteger responsesToDrop = new AtomicInteger();

	/**
	 * Starts or ends an outage.
	 * @param isDown true if every request shall fail without effect
	 */
	public void setDown(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * Drops the responses to the next requests, after the requests have taken effect.
	 * @param count the number of responses to drop
	 */
	public void dropResponses(int count) {
		this.responsesToDrop.set(count);
	}

	boolean isDown() {
		return this.down;
	}

	/**
	 * Returns whether to drop the response that is about to be sent, and counts it.
	 * @return true if the response shall not be sent
	 */
	boolean isNextResponseDropped() {
		return this.responsesToDrop.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

}
