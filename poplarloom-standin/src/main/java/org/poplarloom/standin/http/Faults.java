package org.poplarloom.standin.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults that a test injects into a stand-in.
 * <p>
 * This class is thread-safe.
 */
public final class Faults {

	private volatile boolean isDown;

	private final AtomicInteger responsesToDrop = new AtomicInteger();

	/**
	 * Starts or ends an outage.
	 * @param isDown true if every request is to fail without effect
	 */
	public void setDown(boolean isDown) {
		this.isDown = isDown;
	}

	/**
	 * Drops the responses to the next requests, after the requests have taken effect.
	 * @param count the number of responses to drop
	 */
	public void dropResponses(int count) {
		this.responsesToDrop.set(count);
	}

	boolean isDown() {
		return this.isDown;
	}

	/**
	 * Returns whether to drop the response that is about to be sent, and decrements the
	 * number of responses still to drop.
	 * @return true if the response must not be sent
	 */
	boolean isNextResponseDropped() {
		return this.responsesToDrop.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

}
