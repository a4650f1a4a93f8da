package org.poplarloom.core.admission;

import java.util.TreeSet;

import org.poplarloom.core.request.GrantRequest;

/**
 * The requests of one team in a {@link Lane} that can still be in time, by priority and
 * rank, with their engine time for each priority.
 * <p>
 * This class is not thread-safe; its home's lock guards it.
 */
final class TeamQueue {

	private final TreeSet<Waiting> requests = new TreeSet<>(Waiting.BY_RANK);

	private final double[] engineMillis = new double[GrantRequest.LOWEST_PRIORITY + 1];

	void add(Waiting waiting) {
		if (this.requests.add(waiting)) {
			this.engineMillis[waiting.priority()] += waiting.engineMillis();
		}
	}

	void remove(Waiting waiting) {
		if (this.requests.remove(waiting)) {
			this.engineMillis[waiting.priority()] -= waiting.engineMillis();
		}
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	boolean contains(Waiting waiting) {
		return this.requests.contains(waiting);
	}

	Waiting first() {
		return this.requests.first();
	}

	/**
	 * Returns the request after another one.
	 * @param waiting the other one, which may have been removed
	 * @return the next request, or null
	 */
	Waiting after(Waiting waiting) {
		return this.requests.higher(waiting);
	}

	/**
	 * Returns the engine time of the requests with a higher priority.
	 * @param priority the priority
	 * @return milliseconds
	 */
	double millisAbove(int priority) {
		double sum = 0;
		for (int i = 0; i < priority; i++) {
			sum += Math.max(0, this.engineMillis[i]);
		}
		return sum;
	}

	double millisAt(int priority) {
		return Math.max(0, this.engineMillis[priority]);
	}

	double totalMillis() {
		return millisAbove(this.engineMillis.length);
	}

	/**
	 * Returns the engine time of the requests that come before another one.
	 * @param waiting the other one, which need not be in the queue
	 * @return milliseconds
	 */
	double millisBefore(Waiting waiting) {
		if (this.requests.isEmpty()) {
			return 0;
		}
		if (Waiting.BY_RANK.compare(this.requests.last(), waiting) < 0) {
			return totalMillis();
		}
		double sum = 0;
		for (Waiting earlier : this.requests.headSet(waiting)) {
			sum += earlier.engineMillis();
		}
		return sum;
	}

}
