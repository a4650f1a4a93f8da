package org.poplarloom.standin.engine;

/**
 * The prefill and decode of one request in an engine.
 * <p>
 * The number of generated tokens never decreases. This class is not thread-safe; once
 * submitted to an engine, it is changed only under the lock that guards the engine.
 */
public final class Sequence {

	private final String id;

	private final int priority;

	private final long promptTokens;

	private final long answerTokens;

	private final long prefixHash;

	private long kvTokens;

	private long remainingPrefillTokens;

	private long generatedTokens;

	private boolean isAdmitted;

	private boolean isSegment;

	private Sequence(String id, int priority, long promptTokens, long answerTokens, long prefixHash) {
		this.id = id;
		this.priority = priority;
		this.promptTokens = promptTokens;
		this.answerTokens = answerTokens;
		this.prefixHash = prefixHash;
		this.remainingPrefillTokens = promptTokens;
		this.kvTokens = promptTokens + answerTokens;
	}

	/**
	 * Creates a sequence that is not yet admitted.
	 * @param id the id within the engine
	 * @param priority sequences of a higher priority are processed first
	 * @param promptTokens the prompt length in tokens
	 * @param answerTokens the answer length in tokens
	 * @param prefixHash the hash of the first block of the prompt, 0 if it has none
	 * @return the sequence
	 */
	public static Sequence of(String id, int priority, long promptTokens, long answerTokens, long prefixHash) {
		return new Sequence(id, priority, promptTokens, answerTokens, prefixHash);
	}

	/**
	 * Sets the memory that is reserved for the sequence.
	 * @param tokens the memory of the KV cache in tokens
	 * @return this sequence
	 */
	public Sequence withKvTokens(long tokens) {
		this.kvTokens = tokens;
		return this;
	}

	/**
	 * Makes the sequence a segment of a larger prompt: after prefill it generates one
	 * token as a signal, and then keeps only its memory.
	 * @return this sequence
	 */
	public Sequence asSegment() {
		this.isSegment = true;
		return this;
	}

	/**
	 * Returns whether the sequence is a prefilled segment, which only keeps its memory.
	 * @return true for a segment after prefill
	 */
	public boolean isPrefilledSegment() {
		return this.isSegment && this.generatedTokens > 0;
	}

	boolean isSegment() {
		return this.isSegment;
	}

	/**
	 * Skips answer tokens that an earlier attempt has generated; they are prefilled with
	 * the prompt.
	 * @param tokens the number of tokens to skip
	 * @return this sequence
	 */
	public Sequence resumeFrom(long tokens) {
		this.generatedTokens = Math.min(tokens, this.answerTokens - 1);
		this.remainingPrefillTokens += this.generatedTokens;
		return this;
	}

	/**
	 * Returns the id within the engine.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	int priority() {
		return this.priority;
	}

	/**
	 * Returns the prompt length.
	 * @return tokens
	 */
	public long promptTokens() {
		return this.promptTokens;
	}

	long kvTokens() {
		return this.kvTokens;
	}

	long prefixHash() {
		return this.prefixHash;
	}

	boolean isAdmitted() {
		return this.isAdmitted;
	}

	void admit(long cachedTokens) {
		this.isAdmitted = true;
		this.remainingPrefillTokens = Math.max(1, this.remainingPrefillTokens - cachedTokens);
	}

	boolean isPrefilling() {
		return this.isAdmitted && this.remainingPrefillTokens > 0;
	}

	long prefill(long maxTokens) {
		long prefilled = Math.min(maxTokens, this.remainingPrefillTokens);
		this.remainingPrefillTokens -= prefilled;
		return prefilled;
	}

	void generateToken() {
		this.generatedTokens++;
	}

	/**
	 * Returns the number of answer tokens generated or skipped so far.
	 * @return tokens
	 */
	public long generatedTokens() {
		return this.generatedTokens;
	}

	/**
	 * Returns whether the complete answer was generated.
	 * @return true if no token remains
	 */
	public boolean isFinished() {
		return this.generatedTokens >= this.answerTokens;
	}

}
