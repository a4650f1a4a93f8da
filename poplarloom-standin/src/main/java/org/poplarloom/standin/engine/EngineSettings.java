package org.poplarloom.standin.engine;

/**
 * The costs and limits of an engine.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param prefillTokensPerSecond the prefill rate
 * @param chunkTokens the most prompt tokens prefilled in one step
 * @param stepMillis the time of a step without prefill
 * @param kvTokens the size of the KV cache
 * @param slots the most sequences at one time
 * @param coldMillis how long after its start the engine bears only light load
 * @param coldSlots the most sequences that it bears in that time
 * @param restartMillis how long a crashed engine takes to start
 * @param cachedPrefixes the number of prompt prefixes that stay cached
 * @param checksFence whether orders and requests with an old fence number are refused
 */
public record EngineSettings(double prefillTokensPerSecond, int chunkTokens, double stepMillis, long kvTokens,
		int slots, long coldMillis, int coldSlots, long restartMillis, int cachedPrefixes, boolean checksFence) {

	/** An engine of medium size. */
	public static final EngineSettings DEFAULT = new EngineSettings(20_000, 1_024, 15, 450_000, 64, 8_000, 4, 2_000, 64,
			true);

	/**
	 * Returns the prefill rate with the time that each step takes besides.
	 * @return tokens a second when every step prefills a whole chunk
	 */
	public double sustainedTokensPerSecond() {
		double chunkMillis = this.chunkTokens / this.prefillTokensPerSecond * 1_000 + this.stepMillis;
		return this.chunkTokens / chunkMillis * 1_000;
	}

	/**
	 * Returns the settings with other rates.
	 * @param newPrefillTokensPerSecond the prefill rate
	 * @param newChunkTokens the most prompt tokens prefilled in one step
	 * @param newStepMillis the time of a step without prefill
	 * @return the settings
	 */
	public EngineSettings withRates(double newPrefillTokensPerSecond, int newChunkTokens, double newStepMillis) {
		return new EngineSettings(newPrefillTokensPerSecond, newChunkTokens, newStepMillis, this.kvTokens, this.slots,
				this.coldMillis, this.coldSlots, this.restartMillis, this.cachedPrefixes, this.checksFence);
	}

	/**
	 * Returns the settings with another cold start.
	 * @param newColdMillis how long the engine bears only light load
	 * @param newColdSlots the most sequences that it bears in that time
	 * @param newRestartMillis how long a crashed engine takes to start
	 * @return the settings
	 */
	public EngineSettings withColdStart(long newColdMillis, int newColdSlots, long newRestartMillis) {
		return new EngineSettings(this.prefillTokensPerSecond, this.chunkTokens, this.stepMillis, this.kvTokens,
				this.slots, newColdMillis, newColdSlots, newRestartMillis, this.cachedPrefixes, this.checksFence);
	}

	/**
	 * Returns the settings with another memory size.
	 * @param newKvTokens the size of the KV cache
	 * @param newSlots the most sequences at one time
	 * @return the settings
	 */
	public EngineSettings withCapacity(long newKvTokens, int newSlots) {
		return new EngineSettings(this.prefillTokensPerSecond, this.chunkTokens, this.stepMillis, newKvTokens, newSlots,
				this.coldMillis, this.coldSlots, this.restartMillis, this.cachedPrefixes, this.checksFence);
	}

}
