package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;
import java.util.TreeSet;

import org.poplarloom.core.TeamId;

/**
 * The queued requests of one service that compete with each other: its short prompts and
 * calls, or its long prompts.
 * <p>
 * Requests that can still be in time come first, by priority, then by virtual time of the
 * team, then by rank; then late requests, by client timeout. Overdue long prompts are
 * kept apart. A change of one request costs the logarithm of the number of requests; a
 * dispatch costs in addition the number of teams, since virtual times change with each
 * grant. This class is not thread-safe; its home's lock guards it.
 */
final class Lane {

	/**
	 * Least rate at which long prompts are served if there are several endpoints, in
	 * milliseconds of engine time per millisecond and endpoint: overdue ones go first,
	 * and one endpoint after another is kept for them.
	 */
	private static final double OVERDUE_RATE = 0.5;

	private final String name;

	private final TeamShares shares;

	private final boolean isLong;

	private final DrainRate drainRate;

	/** Late requests are served with what is left by those that are in time. */
	private final DrainRate lateRate;

	private final Map<TeamId, TeamQueue> inTime = new HashMap<>();

	private final TreeSet<Waiting> late = new TreeSet<>(Waiting.BY_TIMEOUT);

	private final TreeSet<Waiting> overdue = new TreeSet<>(Waiting.BY_TIMEOUT);

	private final TreeSet<Waiting> changes = new TreeSet<>(Waiting.BY_NEXT_CHANGE);

	private double lateMillis;

	private double overdueMillis;

	private int size;

	Lane(String name, TeamShares shares, boolean isLong, long startMillis) {
		this.name = name;
		this.isLong = isLong;
		this.shares = shares;
		this.drainRate = new DrainRate(startMillis);
		this.lateRate = new DrainRate(startMillis);
	}

	void startAt(long nowMillis) {
		this.drainRate.startAt(nowMillis);
		this.lateRate.startAt(nowMillis);
	}

	String name() {
		return this.name;
	}

	int size() {
		return this.size;
	}

	void advanceRates(int endpoints, long nowMillis) {
		this.drainRate.advance(this.size > 0, endpoints, nowMillis);
		this.lateRate.advance(!this.late.isEmpty(), endpoints, nowMillis);
	}

	/**
	 * Records that a request is granted.
	 * @param waiting the request if it is in the lane, null if it was granted at once
	 * @param engineMillis its engine time in milliseconds
	 */
	void recordGrant(Waiting waiting, double engineMillis) {
		if (this.size > 0) {
			this.drainRate.recordGrant(engineMillis);
		}
		if (waiting != null && waiting.place() == Waiting.Place.LATE) {
			this.lateRate.recordGrant(engineMillis);
		}
	}

	/**
	 * Returns the rate at which the lane is served.
	 * @param endpoints the number of endpoints that serve it
	 * @return milliseconds of engine time per millisecond, more than 0
	 */
	double rate(int endpoints) {
		double rate = this.drainRate.rate(endpoints);
		return (this.isLong && endpoints > 1) ? Math.max(OVERDUE_RATE * endpoints, rate) : rate;
	}

	void add(Waiting waiting, long nowMillis) {
		waiting.advance(nowMillis);
		insert(waiting);
		this.size++;
	}

	private void insert(Waiting waiting) {
		switch (waiting.place()) {
			case IN_TIME -> this.inTime.computeIfAbsent(waiting.team(), (key) -> new TeamQueue()).add(waiting);
			case LATE -> {
				this.late.add(waiting);
				this.lateMillis += waiting.engineMillis();
			}
			case OVERDUE -> {
				this.overdue.add(waiting);
				this.overdueMillis += waiting.engineMillis();
			}
			default -> throw new IllegalStateException("unknown place " + waiting.place());
		}
		this.changes.add(waiting);
	}

	void remove(Waiting waiting) {
		take(waiting);
		this.size--;
	}

	private void take(Waiting waiting) {
		this.changes.remove(waiting);
		switch (waiting.place()) {
			case IN_TIME -> this.inTime.computeIfPresent(waiting.team(), (key, queue) -> {
				queue.remove(waiting);
				return queue.isEmpty() ? null : queue;
			});
			case LATE -> this.lateMillis -= this.late.remove(waiting) ? waiting.engineMillis() : 0;
			case OVERDUE -> this.overdueMillis -= this.overdue.remove(waiting) ? waiting.engineMillis() : 0;
			default -> throw new IllegalStateException("unknown place " + waiting.place());
		}
	}

	/**
	 * Moves requests that have become late or overdue.
	 * @param nowMillis the time in milliseconds
	 */
	void advance(long nowMillis) {
		while (!this.changes.isEmpty() && this.changes.first().nextChangeMillis() < nowMillis) {
			Waiting waiting = this.changes.first();
			if (waiting.place() == Waiting.Place.IN_TIME) {
				waiting.setRule(reasonFor(waiting));
			}
			take(waiting);
			waiting.advance(nowMillis);
			insert(waiting);
		}
	}

	private AdmissionRule reasonFor(Waiting waiting) {
		double virtualMillis = this.shares.virtualMillis(waiting.team());
		boolean isShareUsedUp = false;
		for (Map.Entry<TeamId, TeamQueue> entry : this.inTime.entrySet()) {
			Waiting first = entry.getValue().first();
			if (first.priority() < waiting.priority()) {
				return AdmissionRule.HIGHER_PRIORITY_AHEAD;
			}
			isShareUsedUp |= !entry.getKey().equals(waiting.team()) && first.priority() == waiting.priority()
					&& this.shares.virtualMillis(entry.getKey()) < virtualMillis;
		}
		if (isShareUsedUp) {
			return AdmissionRule.OTHER_TEAMS_AHEAD;
		}
		return (this.inTime.get(waiting.team()).first() != waiting) ? AdmissionRule.OWN_REQUESTS_AHEAD
				: AdmissionRule.NO_ROOM;
	}

	/**
	 * Returns whether a request would be dispatched before all requests of the lane.
	 * @param waiting the request, which is not in the lane
	 * @return false if one of them comes before it
	 */
	boolean isFirst(Waiting waiting) {
		if (!this.overdue.isEmpty()) {
			return false;
		}
		if (waiting.place() != Waiting.Place.IN_TIME) {
			return this.inTime.isEmpty()
					&& (this.late.isEmpty() || Waiting.BY_TIMEOUT.compare(waiting, this.late.first()) < 0);
		}
		double virtualMillis = this.shares.virtualMillis(waiting.team());
		for (Map.Entry<TeamId, TeamQueue> entry : this.inTime.entrySet()) {
			Waiting other = entry.getValue().first();
			boolean isOwn = entry.getKey().equals(waiting.team());
			boolean isBefore = isOwn ? Waiting.BY_RANK.compare(waiting, other) < 0
					: waiting.priority() < other.priority() || (waiting.priority() == other.priority()
							&& virtualMillis < this.shares.virtualMillis(entry.getKey()));
			if (!isBefore) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Estimates the engine time of the requests that would be served before another one.
	 * @param waiting the request; if it is in the lane, it is not counted
	 * @return the engine time ahead
	 */
	Ahead aheadOf(Waiting waiting) {
		TeamQueue own = this.inTime.get(waiting.team());
		double ownMillis = (own != null) ? own.millisBefore(waiting) : 0;
		double start = this.shares.virtualMillis(waiting.team());
		double finish = start + (ownMillis + waiting.engineMillis()) / this.shares.weight(waiting.team());
		double higherMillis = this.overdueMillis;
		double otherMillis = 0;
		for (Map.Entry<TeamId, TeamQueue> entry : this.inTime.entrySet()) {
			if (!entry.getKey().equals(waiting.team())) {
				TeamQueue queue = entry.getValue();
				higherMillis += queue.millisAbove(waiting.priority());
				double lead = (finish - this.shares.virtualMillis(entry.getKey())) * this.shares.weight(entry.getKey());
				otherMillis += Math.min(queue.millisAt(waiting.priority()), Math.max(0, lead));
			}
		}
		return new Ahead(Math.max(0, ownMillis), Math.max(0, higherMillis), otherMillis);
	}

	/**
	 * Estimates how long a request would wait if it is late.
	 * @param waiting the request; if it is in the lane, it is not counted
	 * @param endpoints the number of endpoints that serve the lane
	 * @param nowMillis the time in milliseconds
	 * @return milliseconds from 0
	 */
	double lateWaitMillis(Waiting waiting, int endpoints, long nowMillis) {
		double earlier = 0;
		if (!this.late.isEmpty() && Waiting.BY_TIMEOUT.compare(this.late.last(), waiting) < 0) {
			earlier = this.lateMillis;
		}
		else {
			for (Waiting other : this.late.headSet(waiting)) {
				earlier += other.engineMillis();
			}
		}
		double inTimeMillis = inTimeMillis();
		TeamQueue own = this.inTime.get(waiting.team());
		if (own != null && own.contains(waiting)) {
			inTimeMillis -= waiting.engineMillis();
		}
		return lateWaitMillis(waiting, new LateAhead(inTimeMillis, earlier), endpoints, nowMillis);
	}

	private double inTimeMillis() {
		double sum = 0;
		for (TeamQueue queue : this.inTime.values()) {
			sum += queue.totalMillis();
		}
		return sum;
	}

	// A late short request waits for all that can be in time, and gets the rate of late
	// ones. A late long prompt becomes overdue and then goes first.
	private double lateWaitMillis(Waiting waiting, LateAhead ahead, int endpoints, long nowMillis) {
		double overdue = Math.max(0, this.overdueMillis);
		double earlier = Math.max(0, ahead.lateMillis());
		double inTime = Math.max(0, ahead.inTimeMillis());
		if (!this.isLong) {
			return (overdue + inTime) / rate(endpoints) + earlier / this.lateRate.rate(endpoints);
		}
		double afterInTime = (overdue + inTime + earlier) / rate(endpoints);
		double onceOverdue = Math.max(waiting.overdueMillis() - nowMillis, (overdue + earlier) / rate(endpoints));
		return Math.min(afterInTime, onceOverdue);
	}

	Iterator<QueuedRequest> overdueOrder() {
		return new ArrayList<>(this.overdue).stream().map(Waiting::queued).iterator();
	}

	Iterator<QueuedRequest> dispatchOrder() {
		return new DispatchIterator();
	}

	/**
	 * Finds the requests that cannot be served before their client timeouts at the
	 * present rate, in the order in which they would be served.
	 * @param endpoints the number of endpoints that serve the lane
	 * @param nowMillis the time in milliseconds
	 * @return the requests
	 */
	List<Waiting> unreachable(int endpoints, long nowMillis) {
		List<Waiting> unreachable = new ArrayList<>();
		TreeSet<Waiting> afterwards = new TreeSet<>(Waiting.BY_TIMEOUT);
		afterwards.addAll(this.late);
		double inTimeMillis = 0;
		for (Waiting waiting : inSimulatedOrder()) {
			double waitMillis = (this.overdueMillis + inTimeMillis) / rate(endpoints);
			if (nowMillis + waitMillis <= waiting.latestStartMillis()) {
				inTimeMillis += waiting.engineMillis();
			}
			else {
				afterwards.add(waiting);
			}
		}
		double earlier = 0;
		for (Waiting waiting : afterwards) {
			double waitMillis = lateWaitMillis(waiting, new LateAhead(inTimeMillis, earlier), endpoints, nowMillis);
			if (nowMillis + waitMillis <= waiting.latestUsefulStartMillis()) {
				earlier += waiting.engineMillis();
			}
			else {
				unreachable.add(waiting);
			}
		}
		return unreachable;
	}

	/**
	 * Finds the late requests at the end of the lane that cannot be served before their
	 * client timeouts at the present rate.
	 * @param endpoints the number of endpoints that serve the lane
	 * @param nowMillis the time in milliseconds
	 * @return the requests
	 */
	List<Waiting> hopeless(int endpoints, long nowMillis) {
		if (this.late.isEmpty()) {
			return List.of();
		}
		List<Waiting> hopeless = new ArrayList<>();
		double inTimeMillis = inTimeMillis();
		double earlier = this.lateMillis;
		for (Waiting waiting : this.late.descendingSet()) {
			earlier -= waiting.engineMillis();
			double waitMillis = lateWaitMillis(waiting, new LateAhead(inTimeMillis, earlier), endpoints, nowMillis);
			if (nowMillis + waitMillis <= waiting.latestUsefulStartMillis()) {
				break;
			}
			hopeless.add(waiting);
		}
		return hopeless;
	}

	/**
	 * Returns one of the requests.
	 * @return a request, or null if the lane is empty
	 */
	Waiting any() {
		return this.changes.isEmpty() ? null : this.changes.first();
	}

	List<Waiting> all() {
		return new ArrayList<>(this.changes);
	}

	private List<Waiting> inSimulatedOrder() {
		List<Waiting> ordered = new ArrayList<>(this.size);
		PriorityQueue<Head> heads = new PriorityQueue<>(Head.ORDER);
		this.inTime
			.forEach((team, queue) -> heads.add(new Head(queue, queue.first(), this.shares.virtualMillis(team))));
		while (!heads.isEmpty()) {
			Head head = heads.poll();
			ordered.add(head.waiting());
			Waiting next = head.queue().after(head.waiting());
			if (next != null) {
				double virtualMillis = head.virtualMillis()
						+ head.waiting().engineMillis() / this.shares.weight(next.team());
				heads.add(new Head(head.queue(), next, virtualMillis));
			}
		}
		return ordered;
	}

	/**
	 * The engine time that is served before a request, in milliseconds.
	 *
	 * @param ownMillis that of requests of the same team
	 * @param higherMillis that of overdue prompts and of other teams' requests with a
	 * higher priority
	 * @param otherMillis that of other teams' requests with the same priority
	 */
	record Ahead(double ownMillis, double higherMillis, double otherMillis) {

		double totalMillis() {
			return this.ownMillis + this.higherMillis + this.otherMillis;
		}

		AdmissionRule rule() {
			if (this.higherMillis >= Math.max(this.ownMillis, this.otherMillis)) {
				return AdmissionRule.HIGHER_PRIORITY_AHEAD;
			}
			return (this.ownMillis >= this.otherMillis) ? AdmissionRule.OWN_REQUESTS_AHEAD
					: AdmissionRule.OTHER_TEAMS_AHEAD;
		}

	}

	/**
	 * The engine time that is served before a late request, in milliseconds.
	 *
	 * @param inTimeMillis that of requests that can be in time
	 * @param lateMillis that of late requests with earlier client timeouts
	 */
	private record LateAhead(double inTimeMillis, double lateMillis) {
	}

	/**
	 * The next request of a team and the virtual time by which it is ordered.
	 */
	private record Head(TeamQueue queue, Waiting waiting, double virtualMillis) {

		private static final Comparator<Head> ORDER = Comparator.comparingInt((Head head) -> head.waiting.priority())
			.thenComparingDouble(Head::virtualMillis)
			.thenComparing(Head::waiting, Waiting.BY_RANK);

	}

	/**
	 * Iterates over the lane, with the virtual times at the moment of each step: that of
	 * a team changes when the request that was returned last has been granted.
	 */
	private final class DispatchIterator implements Iterator<QueuedRequest> {

		private final PriorityQueue<Head> heads = new PriorityQueue<>(Head.ORDER);

		private Head returned;

		private Waiting lastLate;

		DispatchIterator() {
			Lane.this.inTime.forEach((team, queue) -> push(queue, queue.first()));
		}

		private void push(TeamQueue queue, Waiting waiting) {
			if (waiting != null) {
				this.heads.add(new Head(queue, waiting, Lane.this.shares.virtualMillis(waiting.team())));
			}
		}

		@Override
		public boolean hasNext() {
			pushAfterReturned();
			return !this.heads.isEmpty() || nextLate() != null;
		}

		private void pushAfterReturned() {
			if (this.returned != null) {
				push(this.returned.queue(), this.returned.queue().after(this.returned.waiting()));
				this.returned = null;
			}
		}

		private Waiting nextLate() {
			if (this.lastLate != null) {
				return Lane.this.late.higher(this.lastLate);
			}
			return Lane.this.late.isEmpty() ? null : Lane.this.late.first();
		}

		@Override
		public QueuedRequest next() {
			pushAfterReturned();
			if (!this.heads.isEmpty()) {
				this.returned = this.heads.poll();
				return this.returned.waiting().queued();
			}
			Waiting next = nextLate();
			if (next == null) {
				throw new NoSuchElementException();
			}
			this.lastLate = next;
			return next.queued();
		}

	}

}
