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
 * Within a class the requests that can still start in time go before those that are late
 * anyway, and then the earliest deadline goes first; if the queue is not classed, the
 * earliest arrival does. So under overload some answers are late and not all. This class
 * is not thread-safe; its home's lock guards it.
 */
final class GrantQueue {

	/** An engine takes about a pass and the reading of a short prompt to start. */
	private static final long START_MILLIS = 100;

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
	 * @param nowMillis the time in milliseconds
	 * @return one list per class, each in order
	 */
	List<List<Waiting>> lines(long nowMillis) {
		return List.of(inOrder(this.shorts, nowMillis), inOrder(this.longs, nowMillis));
	}

	private List<Waiting> inOrder(TreeSet<Waiting> line, long nowMillis) {
		if (!this.isClassed) {
			return new ArrayList<>(line);
		}
		List<Waiting> ordered = new ArrayList<>(line.size());
		List<Waiting> late = new ArrayList<>();
		for (Waiting waiting : line) {
			(startsInTime(waiting.request(), nowMillis) ? ordered : late).add(waiting);
		}
		ordered.addAll(late);
		return ordered;
	}

	private static boolean startsInTime(GrantRequest request, long nowMillis) {
		return nowMillis + START_MILLIS <= request.pace().targetMillis();
	}

	List<Waiting> all() {
		return new ArrayList<>(this.byKey.values());
	}

	/**
	 * Says whether a request that has just come is the first of its class.
	 * @param request the request
	 * @param nowMillis the time in milliseconds
	 * @return true if all that wait in its class are late anyway and it is not
	 */
	boolean isFirst(GrantRequest request, long nowMillis) {
		TreeSet<Waiting> line = line(request);
		if (line.isEmpty()) {
			return true;
		}
		return this.isClassed && startsInTime(request, nowMillis)
				&& line.stream().noneMatch((waiting) -> startsInTime(waiting.request(), nowMillis));
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
