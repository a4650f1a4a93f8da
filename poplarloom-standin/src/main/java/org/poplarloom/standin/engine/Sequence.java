package org.poplarloom.standin.engine;

/**
 * One request inside an engine.
 * <p>
 * Produced tokens only grow. This class is not thread-safe; its engine guards it.
 */
public final class Sequence {

	private final String id;

	private final int priority;

	private final long promptTokens;

	private final long answerTokens;

	private final long prefixHash;

	private long kvTokens;

	private long remainingPrefill;

	private long produced;

	private boolean admitted;

	private boolean segment;

	private Sequence(String id, int priority, long promptTokens, long answerTokens, long prefixHash) {
		this.id = id;
		this.priority = priority;
		this.promptTokens = promptTokens;
		this.answerTokens = answerTokens;
		this.prefixHash = prefixHash;
		this.remainingPrefill = promptTokens;
		this.kvTokens = promptTokens + answerTokens;
	}

	/**
	 * Returns a sequence that has not started.
	 * @param id the identity within the engine
	 * @param priority higher runs first
	 * @param promptTokens the prompt length in tokens
	 * @param answerTokens the answer length in tokens
	 * @param prefixHash the hash of the leading block, 0 for none
	 * @return the sequence
	 */
	public static Sequence of(String id, int priority, long promptTokens, long answerTokens, long prefixHash) {
		return new Sequence(id, priority, promptTokens, answerTokens, prefixHash);
	}

	/**
	 * Sets the memory that the sequence takes.
	 * @param tokens the reserved size of the KV cache in tokens
	 * @return this sequence
	 */
	public Sequence withKvTokens(long tokens) {
		this.kvTokens = tokens;
		return this;
	}

	/**
	 * Makes the sequence a part of a larger prompt: it is prefilled, signals that with
	 * one token and then only holds its memory.
	 * @return this sequence
	 */
	public Sequence asSegment() {
		this.segment = true;
		return this;
	}

	/**
	 * Says whether the sequence only holds memory.
	 * @return true for a segment that is prefilled
	 */
	public boolean isParked() {
		return this.segment && this.produced > 0;
	}

	boolean isSegment() {
		return this.segment;
	}

	/**
	 * Skips answer tokens that an earlier attempt has produced; they are prefilled.
	 * @param tokens the number of tokens to skip
	 * @return this sequence
	 */
	public Sequence resumeFrom(long tokens) {
		this.produced = Math.min(tokens, this.answerTokens - 1);
		this.remainingPrefill += this.produced;
		return this;
	}

	/**
	 * Returns the identity within the engine.
	 * @return the identity
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
		return this.admitted;
	}

	void admit(long cachedTokens) {
		this.admitted = true;
		this.remainingPrefill = Math.max(1, this.remainingPrefill - cachedTokens);
	}

	boolean isPrefilling() {
		return this.admitted && this.remainingPrefill > 0;
	}

	long prefill(long budget) {
		long done = Math.min(budget, this.remainingPrefill);
		this.remainingPrefill -= done;
		return done;
	}

	void produce() {
		this.produced++;
	}

	/**
	 * Returns the number of answer tokens so far.
	 * @return tokens
	 */
	public long produced() {
		return this.produced;
	}

	/**
	 * Says whether the whole answer was produced.
	 * @return true if nothing remains
	 */
	public boolean isFinished() {
		return this.produced >= this.answerTokens;
	}

}
