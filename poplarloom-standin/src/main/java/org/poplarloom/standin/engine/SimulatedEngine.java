package org.poplarloom.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates an engine with continuous batching, chunked prefill, priorities and a prefix
 * cache.
 * <p>
 * Each step prefills up to one chunk, in the order of priority and arrival, and generates
 * one token for every sequence whose prompt is prefilled. The reserved memory never
 * exceeds the KV cache. This class is not thread-safe.
 */
public final class SimulatedEngine {

	private static final double MILLIS_PER_SECOND = 1000.0;

	private static final int PREFIX_BLOCK_TOKENS = 1_024;

	private static final Comparator<Sequence> BY_PRIORITY = Comparator.comparingInt(Sequence::priority).reversed();

	private final EngineSettings settings;

	private final Map<String, Sequence> sequences = new LinkedHashMap<>();

	private final Map<Long, Boolean> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);

	private long usedKvTokens;

	private long startedMillis;

	private int bootCount = 1;

	private long prefilledTokens;

	private SimulatedEngine(EngineSettings settings, long startedMillis) {
		this.settings = settings;
		this.startedMillis = startedMillis;
	}

	/**
	 * Creates an engine that has just started.
	 * @param settings the speed and limits
	 * @param nowMillis the current time in milliseconds
	 * @return the engine
	 */
	public static SimulatedEngine startingAt(EngineSettings settings, long nowMillis) {
		return new SimulatedEngine(settings, nowMillis);
	}

	/**
	 * Adds a sequence, which waits until it is admitted.
	 * @param sequence the sequence
	 * @param nowMillis the current time in milliseconds
	 * @return false if the load crashes the engine, which is possible during a cold start
	 */
	public boolean submit(Sequence sequence, long nowMillis) {
		this.sequences.put(sequence.id(), sequence);
		boolean isColdStart = nowMillis - this.startedMillis < this.settings.coldStartMillis();
		return !isColdStart || this.sequences.size() <= this.settings.coldStartSlots();
	}

	/**
	 * Removes a sequence and frees its memory.
	 * @param id the id of the sequence
	 * @return true if the engine had the sequence
	 */
	public boolean cancel(String id) {
		Sequence sequence = this.sequences.remove(id);
		if (sequence != null && sequence.isAdmitted()) {
			this.usedKvTokens -= sequence.kvTokens();
		}
		return sequence != null;
	}

	/**
	 * Restarts the engine without its sequences and cached prefixes.
	 * @param nowMillis when the new process starts, in milliseconds
	 */
	public void restart(long nowMillis) {
		this.sequences.clear();
		this.cachedPrefixes.clear();
		this.usedKvTokens = 0;
		this.startedMillis = nowMillis;
		this.bootCount++;
	}

	/**
	 * Runs one step of prefill and decode.
	 * @return the tokens generated and the duration of the step
	 */
	public Step step() {
		admitSequences();
		long remainingChunkTokens = this.settings.chunkTokens();
		List<Sequence> generated = new ArrayList<>();
		for (Sequence sequence : byPriority()) {
			if (sequence.isPrefilling()) {
				remainingChunkTokens -= sequence.prefill(remainingChunkTokens);
			}
			if (sequence.isAdmitted() && !sequence.isPrefilling() && !sequence.isPrefilledSegment()) {
				generated.add(sequence);
			}
		}
		long prefilledInStep = this.settings.chunkTokens() - remainingChunkTokens;
		generated.forEach(Sequence::generateToken);
		generated.stream()
			.filter((sequence) -> sequence.isFinished() && !sequence.isSegment())
			.forEach((sequence) -> cancel(sequence.id()));
		this.prefilledTokens += prefilledInStep;
		boolean isIdle = prefilledInStep == 0 && generated.isEmpty();
		double prefillMillis = prefilledInStep / this.settings.prefillTokensPerSecond() * MILLIS_PER_SECOND;
		return new Step(isIdle ? 0 : this.settings.stepMillis() + prefillMillis, generated);
	}

	private List<Sequence> byPriority() {
		List<Sequence> sorted = new ArrayList<>(this.sequences.values());
		sorted.sort(BY_PRIORITY);
		return sorted;
	}

	private void admitSequences() {
		int admittedCount = (int) this.sequences.values().stream().filter(Sequence::isAdmitted).count();
		if (admittedCount == this.sequences.size()) {
			return;
		}
		for (Sequence sequence : byPriority()) {
			boolean fits = this.usedKvTokens + sequence.kvTokens() <= this.settings.kvTokens();
			if (!sequence.isAdmitted() && fits && admittedCount < this.settings.slots()) {
				this.usedKvTokens += sequence.kvTokens();
				sequence.admit(cachedTokens(sequence.prefixHash()));
				admittedCount++;
			}
		}
	}

	private long cachedTokens(long prefixHash) {
		if (prefixHash == 0) {
			return 0;
		}
		boolean isCached = this.cachedPrefixes.put(prefixHash, Boolean.TRUE) != null;
		if (this.cachedPrefixes.size() > this.settings.maxCachedPrefixes()) {
			this.cachedPrefixes.remove(this.cachedPrefixes.keySet().iterator().next());
		}
		return isCached ? PREFIX_BLOCK_TOKENS : 0;
	}

	/**
	 * Returns the prefilled segments, which other engines can import.
	 * @return their ids
	 */
	public List<String> prefilledSegments() {
		return this.sequences.values().stream().filter(Sequence::isPrefilledSegment).map(Sequence::id).toList();
	}

	/**
	 * Returns whether a segment is prefilled and still in memory.
	 * @param id the id of the segment
	 * @return true if other engines can import it
	 */
	public boolean isPrefilledSegment(String id) {
		Sequence sequence = this.sequences.get(id);
		return sequence != null && sequence.isPrefilledSegment();
	}

	/**
	 * Returns the number of sequences, admitted or waiting.
	 * @return a number from 0
	 */
	public int size() {
		return this.sequences.size();
	}

	/**
	 * Returns the reserved memory of the KV cache.
	 * @return tokens
	 */
	public long usedKvTokens() {
		return this.usedKvTokens;
	}

	/**
	 * Returns how many times the engine has started.
	 * @return a number from 1
	 */
	public int bootCount() {
		return this.bootCount;
	}

	/**
	 * Returns when the engine last started.
	 * @return the time in milliseconds
	 */
	public long startedMillis() {
		return this.startedMillis;
	}

	/**
	 * Returns the number of tokens prefilled since this object was created.
	 * @return tokens
	 */
	public long prefilledTokens() {
		return this.prefilledTokens;
	}

	/**
	 * Returns the speed and limits.
	 * @return the settings
	 */
	public EngineSettings settings() {
		return this.settings;
	}

	/**
	 * The result of one step.
	 *
	 * @param millis the duration in milliseconds, 0 if there was no work
	 * @param generated the sequences for which one token was generated
	 */
	public record Step(double millis, List<Sequence> generated) {
	}

}
