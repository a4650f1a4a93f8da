package org.poplarloom.core.admission;

import java.util.Comparator;

import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;

/**
 * A request in a {@link Lane} with the points in time at which its place in the lane
 * changes.
 * <p>
 * A request is in time until its latest start and late after that. A late long prompt
 * becomes overdue at half of the time between its latency target and its client timeout.
 * After the latest useful start, it cannot be served before its client timeout. This
 * class is not thread-safe; its home's lock guards it.
 */
final class Waiting {

	/** Requests of a team that are in time. */
	static final Comparator<Waiting> BY_RANK = Comparator.comparingInt(Waiting::priority)
		.thenComparingLong((waiting) -> waiting.rankMillis)
		.thenComparingLong((waiting) -> waiting.queued.sequence());

	static final Comparator<Waiting> BY_TIMEOUT = Comparator
		.comparingLong((Waiting waiting) -> waiting.target().firstTokenDeadlineMillis())
		.thenComparingLong((waiting) -> waiting.queued.sequence());

	static final Comparator<Waiting> BY_LATEST_USEFUL_START = Comparator
		.comparingLong((Waiting waiting) -> waiting.latestUsefulStartMillis)
		.thenComparingLong((waiting) -> waiting.queued.sequence());

	static final Comparator<Waiting> BY_NEXT_CHANGE = Comparator
		.comparingLong((Waiting waiting) -> waiting.nextChangeMillis)
		.thenComparingLong((waiting) -> waiting.queued.sequence());

	/**
	 * Time that an engine needs to start an answer: about one pass. The prefill is
	 * counted separately.
	 */
	private static final long ENGINE_START_MILLIS = 60;

	private final QueuedRequest queued;

	private final long rankMillis;

	private final double engineMillis;

	private final long latestStartMillis;

	private final long overdueMillis;

	private final long latestUsefulStartMillis;

	private Place place = Place.IN_TIME;

	private long nextChangeMillis;

	private AdmissionRule rule = AdmissionRule.NONE;

	Waiting(QueuedRequest queued, long rankMillis, Capacity capacity) {
		this.queued = queued;
		this.engineMillis = capacity.engineMillis(queued.request());
		LatencyTarget target = queued.request().latencyTarget();
		long firstTokenMillis = (long) capacity.firstTokenMillis(queued.request());
		this.latestStartMillis = target.firstTokenTargetMillis() - firstTokenMillis - ENGINE_START_MILLIS;
		this.latestUsefulStartMillis = target.firstTokenDeadlineMillis() - firstTokenMillis;
		this.overdueMillis = target.firstTokenTargetMillis()
				+ (target.firstTokenDeadlineMillis() - target.firstTokenTargetMillis()) / 2;
		this.rankMillis = Math.min(rankMillis, this.latestStartMillis);
		this.nextChangeMillis = this.latestStartMillis;
	}

	/**
	 * Moves the request to the place that it has at a given time.
	 * @param nowMillis the time in milliseconds
	 */
	void advance(long nowMillis) {
		boolean isLong = request().lengthClass().isLong();
		if (nowMillis <= this.latestStartMillis) {
			this.place = Place.IN_TIME;
			this.nextChangeMillis = this.latestStartMillis;
		}
		else if (isLong && nowMillis > this.overdueMillis) {
			this.place = Place.OVERDUE;
			this.nextChangeMillis = Long.MAX_VALUE;
		}
		else {
			this.place = Place.LATE;
			this.nextChangeMillis = isLong ? this.overdueMillis : Long.MAX_VALUE;
		}
	}

	GrantRequest request() {
		return this.queued.request();
	}

	QueuedRequest queued() {
		return this.queued;
	}

	TeamId team() {
		return request().team();
	}

	int priority() {
		return request().priority();
	}

	LatencyTarget target() {
		return request().latencyTarget();
	}

	Place place() {
		return this.place;
	}

	long rankMillis() {
		return this.rankMillis;
	}

	double engineMillis() {
		return this.engineMillis;
	}

	long latestStartMillis() {
		return this.latestStartMillis;
	}

	long latestUsefulStartMillis() {
		return this.latestUsefulStartMillis;
	}

	long nextChangeMillis() {
		return this.nextChangeMillis;
	}

	AdmissionRule rule() {
		return this.rule;
	}

	void setRule(AdmissionRule rule) {
		this.rule = rule;
	}

	/**
	 * The part of a lane in which a request waits.
	 */
	enum Place {

		/** It can still be in time. */
		IN_TIME,
		/** It has missed its latency target, but not its client timeout. */
		LATE,
		/** It is a long prompt that has been late for so long that it goes first. */
		OVERDUE

	}

}
