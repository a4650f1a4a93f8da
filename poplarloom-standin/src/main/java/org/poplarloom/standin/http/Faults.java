package org.poplarloom.standin.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults that a test brings about in a stand-in.
 * <p>
 * This class is thread-safe.
 */
public final class Faults {

	private volatile boolean down;

	private final AtomicInteger lostAnswers = new AtomicInteger();

	/**
	 * Starts or ends an outage.
	 * @param isDown whether every request fails without effect
	 */
	public void setDown(boolean isDown) {
		this.down = isDown;
	}

	/**
	 * Loses the answers of the next requests after they have taken effect.
	 * @param count the number of answers
	 */
	public void loseAnswers(int count) {
		this.lostAnswers.set(count);
	}

	boolean isDown() {
		return this.down;
	}

	boolean losesAnswer() {
		return this.lostAnswers.getAndUpdate((left) -> Math.max(0, left - 1)) > 0;
	}

}
