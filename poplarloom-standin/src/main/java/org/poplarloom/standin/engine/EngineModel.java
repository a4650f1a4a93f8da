package org.poplarloom.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine with continuous batching, chunked prefill, priorities and a prefix cache.
 * <p>
 * Each step prefills up to one chunk, in the order of priority and arrival, and produces
 * one token of every sequence whose prompt is prefilled. Memory in use never exceeds the
 * KV cache. This class is not thread-safe.
 */
public final class EngineModel {

	private static final double MILLIS_PER_SECOND = 1000.0;

	private static final int PREFIX_BLOCK_TOKENS = 1_024;

	private static final Comparator<Sequence> BY_PRIORITY = Comparator.comparingInt(Sequence::priority).reversed();

	private final EngineSettings settings;

	private final Map<String, Sequence> sequences = new LinkedHashMap<>();

	private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	private long usedKvTokens;

	private long startedMillis;

	private int boots = 1;

	private long prefilledTokens;

	private EngineModel(EngineSettings settings, long startedMillis) {
		this.settings = settings;
		this.startedMillis = startedMillis;
	}

	/**
	 * Returns an engine that starts now.
	 * @param settings the costs and limits
	 * @param nowMillis the time in milliseconds
	 * @return the engine
	 */
	public static EngineModel startingAt(EngineSettings settings, long nowMillis) {
		return new EngineModel(settings, nowMillis);
	}

	/**
	 * Adds a sequence.
	 * @param sequence the sequence
	 * @param nowMillis the time in milliseconds
	 * @return false if the engine is cold and crashes from the load
	 */
	public boolean submit(Sequence sequence, long nowMillis) {
		this.sequences.put(sequence.id(), sequence);
		boolean isCold = nowMillis - this.startedMillis < this.settings.coldMillis();
		return !isCold || this.sequences.size() <= this.settings.coldSlots();
	}

	/**
	 * Ends a sequence and frees its memory.
	 * @param id the identity of the sequence
	 * @return true if it was there
	 */
	public boolean cancel(String id) {
		Sequence sequence = this.sequences.remove(id);
		if (sequence != null && sequence.isAdmitted()) {
			this.usedKvTokens -= sequence.kvTokens();
		}
		return sequence != null;
	}

	/**
	 * Loses everything and starts again.
	 * @param nowMillis when the new process starts, in milliseconds
	 */
	public void restart(long nowMillis) {
		this.sequences.clear();
		this.prefixes.clear();
		this.usedKvTokens = 0;
		this.startedMillis = nowMillis;
		this.boots++;
	}

	/**
	 * Does one step of work.
	 * @return what was done and how long it takes; nothing is done if there is no work
	 */
	public Step step() {
		admitWaiting();
		long budget = this.settings.chunkTokens();
		List<Sequence> produced = new ArrayList<>();
		for (Sequence sequence : byPriority()) {
			if (sequence.isPrefilling()) {
				budget -= sequence.prefill(budget);
			}
			if (sequence.isAdmitted() && !sequence.isPrefilling() && !sequence.isParked()) {
				produced.add(sequence);
			}
		}
		long prefilled = this.settings.chunkTokens() - budget;
		produced.forEach(Sequence::produce);
		produced.stream()
			.filter((sequence) -> sequence.isFinished() && !sequence.isSegment())
			.forEach((sequence) -> cancel(sequence.id()));
		this.prefilledTokens += prefilled;
		boolean isIdle = prefilled == 0 && produced.isEmpty();
		double prefillMillis = prefilled / this.settings.prefillTokensPerSecond() * MILLIS_PER_SECOND;
		return new Step(isIdle ? 0 : this.settings.stepMillis() + prefillMillis, produced);
	}

	private List<Sequence> byPriority() {
		List<Sequence> ordered = new ArrayList<>(this.sequences.values());
		ordered.sort(BY_PRIORITY);
		return ordered;
	}

	private void admitWaiting() {
		int admitted = (int) this.sequences.values().stream().filter(Sequence::isAdmitted).count();
		if (admitted == this.sequences.size()) {
			return;
		}
		for (Sequence sequence : byPriority()) {
			boolean fits = this.usedKvTokens + sequence.kvTokens() <= this.settings.kvTokens();
			if (!sequence.isAdmitted() && fits && admitted < this.settings.slots()) {
				this.usedKvTokens += sequence.kvTokens();
				sequence.admit(cachedTokens(sequence.prefixHash()));
				admitted++;
			}
		}
	}

	private long cachedTokens(long prefixHash) {
		if (prefixHash == 0) {
			return 0;
		}
		boolean isCached = this.prefixes.put(prefixHash, Boolean.TRUE) != null;
		if (this.prefixes.size() > this.settings.cachedPrefixes()) {
			this.prefixes.remove(this.prefixes.keySet().iterator().next());
		}
		return isCached ? PREFIX_BLOCK_TOKENS : 0;
	}

	/**
	 * Returns the segments that only hold memory.
	 * @return their identities
	 */
	public List<String> parked() {
		return this.sequences.values().stream().filter(Sequence::isParked).map(Sequence::id).toList();
	}

	/**
	 * Says whether a segment is prefilled and held.
	 * @param id the identity of the segment
	 * @return true if it can be exported
	 */
	public boolean isParked(String id) {
		Sequence sequence = this.sequences.get(id);
		return sequence != null && sequence.isParked();
	}

	/**
	 * Returns the number of sequences.
	 * @return a number from 0
	 */
	public int size() {
		return this.sequences.size();
	}

	/**
	 * Returns the memory in use.
	 * @return tokens
	 */
	public long usedKvTokens() {
		return this.usedKvTokens;
	}

	/**
	 * Returns how often the engine has started.
	 * @return a number from 1
	 */
	public int boots() {
		return this.boots;
	}

	/**
	 * Returns when the engine started last.
	 * @return the time in milliseconds
	 */
	public long startedMillis() {
		return this.startedMillis;
	}

	/**
	 * Returns the prompt tokens prefilled since the model was made.
	 * @return tokens
	 */
	public long prefilledTokens() {
		return this.prefilledTokens;
	}

	/**
	 * Returns the costs and limits.
	 * @return the settings
	 */
	public EngineSettings settings() {
		return this.settings;
	}

	/**
	 * The result of one step.
	 *
	 * @param millis how long the step takes, 0 if there was no work
	 * @param produced sequences that have one more token at the end of the step
	 */
	public record Step(double millis, List<Sequence> produced) {
	}

}
