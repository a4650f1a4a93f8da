package org.poplarloom.standin.engine;

/**
 * The speed and limits of a simulated engine.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param prefillTokensPerSecond the prefill rate in tokens per second
 * @param chunkTokens the maximum number of tokens prefilled in one step
 * @param stepMillis the duration of a step without prefill, in milliseconds
 * @param kvTokens the size of the KV cache in tokens
 * @param slots the maximum number of admitted sequences
 * @param coldStartMillis the duration of a cold start in milliseconds, during which too
 * many sequences crash the engine
 * @param coldStartSlots the maximum number of sequences during a cold start
 * @param restartMillis the time in which a crashed engine restarts, in milliseconds
 * @param maxCachedPrefixes the maximum number of cached prompt prefixes
 * @param isFencingTokenChecked whether commands and requests with a stale fencing token
 * are refused
 */
public record EngineSettings(double prefillTokensPerSecond, int chunkTokens, double stepMillis, long kvTokens,
		int slots, long coldStartMillis, int coldStartSlots, long restartMillis, int maxCachedPrefixes,
		boolean isFencingTokenChecked) {

	/** A medium-sized engine. */
	public static final EngineSettings DEFAULT = new EngineSettings(20_000, 1_024, 15, 450_000, 64, 8_000, 4, 2_000, 64,
			true);

	/**
	 * Returns the prefill rate including the fixed duration of each step.
	 * @return tokens per second if every step prefills a full chunk
	 */
	public double sustainedTokensPerSecond() {
		double fullStepMillis = this.chunkTokens / this.prefillTokensPerSecond * 1_000 + this.stepMillis;
		return this.chunkTokens / fullStepMillis * 1_000;
	}

	/**
	 * Returns the settings with a different speed.
	 * @param newPrefillTokensPerSecond the prefill rate in tokens per second
	 * @param newChunkTokens the maximum number of tokens prefilled in one step
	 * @param newStepMillis the duration of a step without prefill, in milliseconds
	 * @return the settings
	 */
	public EngineSettings withRates(double newPrefillTokensPerSecond, int newChunkTokens, double newStepMillis) {
		return new EngineSettings(newPrefillTokensPerSecond, newChunkTokens, newStepMillis, this.kvTokens, this.slots,
				this.coldStartMillis, this.coldStartSlots, this.restartMillis, this.maxCachedPrefixes,
				this.isFencingTokenChecked);
	}

	/**
	 * Returns the settings with a different cold start.
	 * @param newColdStartMillis the duration of a cold start in milliseconds
	 * @param newColdStartSlots the maximum number of sequences during a cold start
	 * @param newRestartMillis the time in which a crashed engine restarts, in
	 * milliseconds
	 * @return the settings
	 */
	public EngineSettings withColdStart(long newColdStartMillis, int newColdStartSlots, long newRestartMillis) {
		return new EngineSettings(this.prefillTokensPerSecond, this.chunkTokens, this.stepMillis, this.kvTokens,
				this.slots, newColdStartMillis, newColdStartSlots, newRestartMillis, this.maxCachedPrefixes,
				this.isFencingTokenChecked);
	}

	/**
	 * Returns the settings with a different capacity.
	 * @param newKvTokens the size of the KV cache in tokens
	 * @param newSlots the maximum number of admitted sequences
	 * @return the settings
	 */
	public EngineSettings withCapacity(long newKvTokens, int newSlots) {
		return new EngineSettings(this.prefillTokensPerSecond, this.chunkTokens, this.stepMillis, newKvTokens, newSlots,
				this.coldStartMillis, this.coldStartSlots, this.restartMillis, this.maxCachedPrefixes,
				this.isFencingTokenChecked);
	}

}
