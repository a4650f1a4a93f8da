package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Requests that wait for an endpoint, in the order in which they may leave.
 * <p>
 * Within a class the earliest deadline goes first, or the earliest arrival if the queue
 * is not classed. This class is not thread-safe; its home's lock guards it.
 */
final class GrantQueue {

	private static final Comparator<Waiting> BY_DEADLINE = Comparator
		.comparingLong((Waiting waiting) -> waiting.request().deadlineMillis())
		.thenComparingLong(Waiting::sequence);

	private final TreeSet<Waiting> shorts;

	private final TreeSet<Waiting> longs;

	private final Map<String, Waiting> byKey = new HashMap<>();

	private final boolean isClassed;

	private long longTokens;

	private long nextSequence;

	GrantQueue(boolean isClassed) {
		this.isClassed = isClassed;
		Comparator<Waiting> order = isClassed ? BY_DEADLINE : Comparator.comparingLong(Waiting::sequence);
		this.shorts = new TreeSet<>(order);
		this.longs = new TreeSet<>(order);
	}

	void add(InstanceId holder, GrantRequest request) {
		Waiting waiting = new Waiting(holder, request, this.nextSequence++);
		Waiting previous = this.byKey.put(request.key(), waiting);
		if (previous != null) {
			drop(previous);
		}
		line(request).add(waiting);
		this.longTokens += request.lengthClass().isLong() ? request.promptTokens() : 0;
	}

	boolean remove(String key) {
		Waiting waiting = this.byKey.remove(key);
		if (waiting != null) {
			drop(waiting);
		}
		return waiting != null;
	}

	private void drop(Waiting waiting) {
		line(waiting.request()).remove(waiting);
		this.longTokens -= waiting.request().lengthClass().isLong() ? waiting.request().promptTokens() : 0;
	}

	private TreeSet<Waiting> line(GrantRequest request) {
		return (this.isClassed && request.lengthClass().isLong()) ? this.longs : this.shorts;
	}

	/**
	 * Returns the waiting requests of both classes, short prompts first.
	 * @return one list per class, each in order
	 */
	List<List<Waiting>> lines() {
		return List.of(new ArrayList<>(this.shorts), new ArrayList<>(this.longs));
	}

	List<Waiting> all() {
		return new ArrayList<>(this.byKey.values());
	}

	boolean isLineEmpty(GrantRequest request) {
		return line(request).isEmpty();
	}

	int size() {
		return this.byKey.size();
	}

	long longTokens() {
		return this.longTokens;
	}

	/**
	 * A request in the queue.
	 */
	record Waiting(InstanceId holder, GrantRequest request, long sequence) {
	}

}
