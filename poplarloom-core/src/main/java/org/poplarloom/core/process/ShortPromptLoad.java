package org.poplarloom.core.process;

/**
 * Measures the recent arrival rate of prompt tokens of prompts that are not long.
 * <p>
 * The rate is an exponentially decaying average and never negative. This class is not
 * thread-safe; its home's lock guards it.
 */
public final class ShortPromptLoad {

	private static final double TIME_CONSTANT_MILLIS = 10_000;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private double tokens;

	private long updatedMillis;

	void add(long promptTokens, long nowMillis) {
		decay(nowMillis);
		this.tokens += promptTokens;
	}

	/**
	 * Returns the recent rate.
	 * @param nowMillis the time in milliseconds
	 * @return tokens per second
	 */
	public double tokensPerSecond(long nowMillis) {
		decay(nowMillis);
		return this.tokens / TIME_CONSTANT_MILLIS * MILLIS_PER_SECOND;
	}

	private void decay(long nowMillis) {
		if (nowMillis > this.updatedMillis) {
			this.tokens *= Math.exp((this.updatedMillis - nowMillis) / TIME_CONSTANT_MILLIS);
			this.updatedMillis = nowMillis;
		}
	}

}
