package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Orders queued requests by deadline.
 * <p>
 * With length classes, long prompts have a queue of their own. Within each queue,
 * requests that can still start in time go before those that will miss their target
 * anyway, and among these the earliest deadline goes first; so under overload only some
 * answers are late instead of all. Without length classes there is one queue, first come,
 * first served. This class is not thread-safe; its home's lock guards it.
 */
public final class DeadlineOrder implements QueueOrder {

	/**
	 * Time that an engine needs to start an answer: about one pass and the prefill of a
	 * short prompt.
	 */
	private static final long ENGINE_START_MILLIS = 100;

	private static final Comparator<QueuedRequest> BY_DEADLINE = Comparator
		.comparingLong((QueuedRequest queued) -> queued.request().deadlineMillis())
		.thenComparingLong(QueuedRequest::sequence);

	private final TreeSet<QueuedRequest> mainQueue;

	private final TreeSet<QueuedRequest> longQueue;

	private final Map<String, QueuedRequest> byKey = new HashMap<>();

	private final boolean hasLengthClasses;

	private long longTokens;

	private long nextSequence;

	/**
	 * Creates an empty queue.
	 * @param hasLengthClasses whether long prompts have a queue of their own and earlier
	 * deadlines go first; false for first come, first served
	 */
	public DeadlineOrder(boolean hasLengthClasses) {
		this.hasLengthClasses = hasLengthClasses;
		Comparator<QueuedRequest> order = hasLengthClasses ? BY_DEADLINE
				: Comparator.comparingLong(QueuedRequest::sequence);
		this.mainQueue = new TreeSet<>(order);
		this.longQueue = new TreeSet<>(order);
	}

	@Override
	public void add(InstanceId holder, GrantRequest request, long nowMillis) {
		QueuedRequest queued = new QueuedRequest(holder, request, this.nextSequence++);
		QueuedRequest previous = this.byKey.put(request.key(), queued);
		if (previous != null) {
			removeFromQueue(previous);
		}
		queueFor(request).add(queued);
		this.longTokens += request.lengthClass().isLong() ? request.promptTokens() : 0;
	}

	@Override
	public boolean remove(String key) {
		QueuedRequest queued = this.byKey.remove(key);
		if (queued != null) {
			removeFromQueue(queued);
		}
		return queued != null;
	}

	private void removeFromQueue(QueuedRequest queued) {
		queueFor(queued.request()).remove(queued);
		this.longTokens -= queued.request().lengthClass().isLong() ? queued.request().promptTokens() : 0;
	}

	private TreeSet<QueuedRequest> queueFor(GrantRequest request) {
		return (this.hasLengthClasses && request.lengthClass().isLong()) ? this.longQueue : this.mainQueue;
	}

	// The long prompts come last.
	@Override
	public List<Iterator<QueuedRequest>> dispatchOrder(long nowMillis) {
		return List.of(inDispatchOrder(this.mainQueue, nowMillis).iterator(),
				inDispatchOrder(this.longQueue, nowMillis).iterator());
	}

	private List<QueuedRequest> inDispatchOrder(TreeSet<QueuedRequest> queue, long nowMillis) {
		if (!this.hasLengthClasses) {
			return new ArrayList<>(queue);
		}
		List<QueuedRequest> ordered = new ArrayList<>(queue.size());
		List<QueuedRequest> late = new ArrayList<>();
		for (QueuedRequest queued : queue) {
			(canStartInTime(queued.request(), nowMillis) ? ordered : late).add(queued);
		}
		ordered.addAll(late);
		return ordered;
	}

	private static boolean canStartInTime(GrantRequest request, long nowMillis) {
		return nowMillis + ENGINE_START_MILLIS <= request.latencyTarget().firstTokenTargetMillis();
	}

	@Override
	public List<QueuedRequest> all() {
		return new ArrayList<>(this.byKey.values());
	}

	@Override
	public boolean isFirst(GrantRequest request, long nowMillis) {
		TreeSet<QueuedRequest> queue = queueFor(request);
		if (queue.isEmpty()) {
			return true;
		}
		return this.hasLengthClasses && canStartInTime(request, nowMillis)
				&& queue.stream().noneMatch((queued) -> canStartInTime(queued.request(), nowMillis));
	}

	@Override
	public int size() {
		return this.byKey.size();
	}

	@Override
	public long longTokens() {
		return this.longTokens;
	}

}
