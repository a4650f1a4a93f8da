package org.poplarloom.core.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.poplarloom.core.TeamId;

/**
 * What a home has promised to callers whose requests it refused: the time at which they
 * could be served, and the position in the queue that they keep when they return.
 * <p>
 * A promise is used once. Several callers may send the same request, so there may be
 * several promises with one fingerprint; the number of each fingerprint is limited, so
 * that one popular request does not displace those of others. A promise expires some time
 * after its time. At most {@link #MAX_PROMISES} are kept; then the team with the most
 * promises loses its oldest one. This class is not thread-safe; its home's lock guards
 * it.
 */
public final class Promises {

	/** The maximum number of promises. */
	public static final int MAX_PROMISES = 10_000;

	/** Time after which an unused promise expires, in milliseconds. */
	public static final long EXPIRY_MILLIS = 10_000;

	private static final int MAX_PER_FINGERPRINT = 100;

	private static final long NO_FINGERPRINT = 0;

	/**
	 * A caller that has not returned this long after its time is not expected, in
	 * milliseconds.
	 */
	private static final long MAX_DELAY_MILLIS = 500;

	private static final Comparator<Promise> BY_TIME = Comparator.comparingLong(Promise::timeMillis)
		.thenComparingLong(Promise::sequence);

	private final Map<Long, Deque<Promise>> byFingerprint = new HashMap<>();

	private final TreeSet<Promise> byTime = new TreeSet<>(BY_TIME);

	private final TreeSet<Promise> expected = new TreeSet<>(BY_TIME);

	private final Map<TeamId, TreeSet<Promise>> byTeam = new HashMap<>();

	private final Map<String, Double> expectedMillis = new HashMap<>();

	private long nextSequence;

	/**
	 * Records a promise; one for a request without a fingerprint is not kept.
	 * @param fingerprint the hash of the request's path, key and body, 0 for none
	 * @param team the team that the request is charged to
	 * @param queue the name of the queue in which the request would wait
	 * @param rankMillis the position that the caller keeps: the latest start at which the
	 * refused request was in time, in milliseconds
	 * @param engineMillis the expected engine time of the request in milliseconds
	 * @param timeMillis when the request could be served, in milliseconds
	 */
	public void record(long fingerprint, TeamId team, String queue, long rankMillis, double engineMillis,
			long timeMillis) {
		if (fingerprint == NO_FINGERPRINT) {
			return;
		}
		Deque<Promise> same = this.byFingerprint.computeIfAbsent(fingerprint, (key) -> new ArrayDeque<>());
		if (same.size() >= MAX_PER_FINGERPRINT) {
			return;
		}
		Promise promise = new Promise(fingerprint, team, queue, rankMillis, engineMillis, timeMillis,
				this.nextSequence++);
		same.addLast(promise);
		this.byTime.add(promise);
		this.expected.add(promise);
		this.byTeam.computeIfAbsent(team, (key) -> new TreeSet<>(BY_TIME)).add(promise);
		this.expectedMillis.merge(queue, engineMillis, Double::sum);
		if (this.byTime.size() > MAX_PROMISES) {
			removeOneOfLargestTeam();
		}
	}

	private void removeOneOfLargestTeam() {
		this.byTeam.values()
			.stream()
			.max(Comparator.comparingInt(TreeSet::size))
			.ifPresent((promises) -> remove(promises.first()));
	}

	/**
	 * Finds the oldest promise for a request without using it.
	 * @param fingerprint the hash of the request's path, key and body
	 * @param nowMillis the time in milliseconds
	 * @return the promise, or null if there is none
	 */
	public Promise find(long fingerprint, long nowMillis) {
		expire(nowMillis);
		Deque<Promise> same = this.byFingerprint.get(fingerprint);
		return (same != null) ? same.peekFirst() : null;
	}

	/**
	 * Removes a promise that its caller has used.
	 * @param promise the promise; null or one that has expired is ignored
	 */
	public void use(Promise promise) {
		if (promise != null && this.byTime.contains(promise)) {
			remove(promise);
		}
	}

	/**
	 * Returns the engine time of the callers that are expected to return to a queue.
	 * @param queue the name of the queue
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from 0
	 */
	public double expectedMillis(String queue, long nowMillis) {
		expire(nowMillis);
		return Math.max(0, this.expectedMillis.getOrDefault(queue, 0.0));
	}

	/**
	 * Returns the number of promises.
	 * @return the number, from 0 to {@link #MAX_PROMISES}
	 */
	public int size() {
		return this.byTime.size();
	}

	private void expire(long nowMillis) {
		while (!this.expected.isEmpty() && this.expected.first().timeMillis() + MAX_DELAY_MILLIS < nowMillis) {
			stopExpecting(this.expected.first());
		}
		while (!this.byTime.isEmpty() && this.byTime.first().timeMillis() + EXPIRY_MILLIS <= nowMillis) {
			remove(this.byTime.first());
		}
	}

	private void stopExpecting(Promise promise) {
		if (this.expected.remove(promise)) {
			this.expectedMillis.computeIfPresent(promise.queue(), (key, sum) -> {
				double rest = sum - promise.engineMillis();
				return (rest > 0) ? rest : null;
			});
		}
	}

	private void remove(Promise promise) {
		stopExpecting(promise);
		this.byTime.remove(promise);
		this.byTeam.computeIfPresent(promise.team(), (key, promises) -> {
			promises.remove(promise);
			return promises.isEmpty() ? null : promises;
		});
		this.byFingerprint.computeIfPresent(promise.fingerprint(), (key, promises) -> {
			promises.remove(promise);
			return promises.isEmpty() ? null : promises;
		});
	}

	/**
	 * A promise to one caller.
	 *
	 * @param fingerprint the hash of the request's path, key and body
	 * @param team the team that the request is charged to
	 * @param queue the name of the queue in which the request would wait
	 * @param rankMillis the latest start at which the refused request was in time, in
	 * milliseconds
	 * @param engineMillis the expected engine time of the request in milliseconds
	 * @param timeMillis when the request could be served, in milliseconds
	 * @param sequence the number of promises made before it
	 */
	public record Promise(long fingerprint, TeamId team, String queue, long rankMillis, double engineMillis,
			long timeMillis, long sequence) {
	}

}
