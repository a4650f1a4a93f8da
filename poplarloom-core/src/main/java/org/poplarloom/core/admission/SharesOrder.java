package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.GrantRequest;

/**
 * Orders queued requests by priority and by the teams' shares of the engine time.
 * <p>
 * Requests of different services do not compete, so each service has its own shares and
 * lanes. Overdue long prompts of all services come first, then the lanes of short
 * prompts, then those of long ones. A repeated request keeps its position. This class is
 * not thread-safe; its home's lock guards it.
 */
public final class SharesOrder implements QueueOrder {

	private final Capacity capacity;

	private long startMillis;

	private final Map<String, ServiceLanes> services = new LinkedHashMap<>();

	private final Map<String, Waiting> byKey = new HashMap<>();

	private final TreeSet<Waiting> byLatestUsefulStart = new TreeSet<>(Waiting.BY_LATEST_USEFUL_START);

	private final Map<TeamId, Integer> waitingByTeam = new HashMap<>();

	private long longTokens;

	private long nextSequence;

	/**
	 * Creates an empty queue.
	 * @param capacity what the home's endpoints can do
	 * @param startMillis the time from which on requests are granted, in milliseconds;
	 * the time until then does not count for the rate of service
	 */
	public SharesOrder(Capacity capacity, long startMillis) {
		this.capacity = capacity;
		this.startMillis = startMillis;
	}

	/**
	 * Sets the time from which on requests are granted, if it is earlier than expected.
	 * @param nowMillis the time in milliseconds
	 */
	void startAt(long nowMillis) {
		this.startMillis = Math.min(this.startMillis, nowMillis);
		lanes().forEach((lane) -> lane.startAt(nowMillis));
	}

	@Override
	public void add(InstanceId holder, GrantRequest request, long nowMillis) {
		add(holder, request, Long.MAX_VALUE, nowMillis);
	}

	/**
	 * Queues a request at a position that was promised to it.
	 * @param holder the instance that would hold the grant
	 * @param request the request; if it is queued, it keeps its position
	 * @param rankMillis the promised position, {@link Long#MAX_VALUE} if there is none
	 * @param nowMillis the time in milliseconds
	 */
	void add(InstanceId holder, GrantRequest request, long rankMillis, long nowMillis) {
		Waiting previous = this.byKey.get(request.key());
		long sequence = (previous != null) ? previous.queued().sequence() : this.nextSequence++;
		long rank = (previous != null) ? Math.min(previous.rankMillis(), rankMillis) : rankMillis;
		Lane lane = lane(request);
		updateRate(lane, request, nowMillis);
		Waiting waiting = new Waiting(new QueuedRequest(holder, request, sequence), rank, this.capacity);
		// Entered before the previous one leaves, so that the team does not count as one
		// that returns after a pause.
		service(request).shares.enter(request.team(), nowMillis);
		if (previous != null) {
			waiting.setRule(previous.rule());
			remove(request.key());
		}
		this.byKey.put(request.key(), waiting);
		this.byLatestUsefulStart.add(waiting);
		lane.add(waiting, nowMillis);
		this.waitingByTeam.merge(request.team(), 1, Integer::sum);
		this.longTokens += request.lengthClass().isLong() ? request.promptTokens() : 0;
	}

	@Override
	public boolean remove(String key) {
		Waiting waiting = this.byKey.remove(key);
		if (waiting == null) {
			return false;
		}
		GrantRequest request = waiting.request();
		this.byLatestUsefulStart.remove(waiting);
		lane(request).remove(waiting);
		service(request).shares.leave(request.team());
		this.waitingByTeam.computeIfPresent(request.team(), (team, count) -> (count > 1) ? count - 1 : null);
		this.longTokens -= request.lengthClass().isLong() ? request.promptTokens() : 0;
		return true;
	}

	@Override
	public boolean isFirst(GrantRequest request, long nowMillis) {
		return isFirst(request, Long.MAX_VALUE, nowMillis);
	}

	/**
	 * Returns whether a request with a promised position would be dispatched before all
	 * queued ones that compete with it.
	 * @param request the request
	 * @param rankMillis the promised position, {@link Long#MAX_VALUE} if there is none
	 * @param nowMillis the time in milliseconds
	 * @return true if it may be granted at once
	 */
	boolean isFirst(GrantRequest request, long rankMillis, long nowMillis) {
		Lane lane = lane(request);
		Waiting queued = this.byKey.get(request.key());
		if (lane.size() == ((queued != null) ? 1 : 0)) {
			return true;
		}
		lane.advance(nowMillis);
		if (queued != null) {
			Iterator<QueuedRequest> overdue = lane.overdueOrder();
			Iterator<QueuedRequest> order = overdue.hasNext() ? overdue : lane.dispatchOrder();
			return order.next().request().key().equals(request.key());
		}
		return lane.isFirst(waiting(request, rankMillis, nowMillis));
	}

	private Waiting waiting(GrantRequest request, long rankMillis, long nowMillis) {
		Waiting queued = this.byKey.get(request.key());
		if (queued != null) {
			return queued;
		}
		Waiting waiting = new Waiting(new QueuedRequest(null, request, this.nextSequence), rankMillis, this.capacity);
		waiting.advance(nowMillis);
		return waiting;
	}

	@Override
	public List<Iterator<QueuedRequest>> dispatchOrder(long nowMillis) {
		List<Iterator<QueuedRequest>> order = new ArrayList<>();
		this.services.values().forEach((service) -> {
			service.shortLane.advance(nowMillis);
			service.longLane.advance(nowMillis);
			order.add(service.longLane.overdueOrder());
		});
		this.services.values().forEach((service) -> order.add(service.shortLane.dispatchOrder()));
		this.services.values().forEach((service) -> order.add(service.longLane.dispatchOrder()));
		return order;
	}

	/**
	 * Records that a request is granted; called before it is removed from the queue. Its
	 * team is charged for it only if requests of the service wait.
	 * @param request the request
	 * @param engineMillis its expected engine time in milliseconds
	 * @param nowMillis the time in milliseconds
	 * @return whether the team was charged
	 */
	boolean recordGrant(GrantRequest request, double engineMillis, long nowMillis) {
		ServiceLanes service = service(request);
		Lane lane = lane(request);
		updateRate(lane, request, nowMillis);
		lane.recordGrant(this.byKey.get(request.key()), engineMillis);
		boolean isCharged = service.size() > 0;
		if (isCharged) {
			service.shares.charge(request.team(), engineMillis, nowMillis);
		}
		return isCharged;
	}

	void refund(GrantRequest request, double engineMillis) {
		service(request).shares.refund(request.team(), engineMillis);
	}

	/**
	 * Estimates when a request could start, given the whole queue ahead of it.
	 * @param request the request, queued or not
	 * @param rankMillis the promised position, {@link Long#MAX_VALUE} if there is none
	 * @param nowMillis the time in milliseconds
	 * @return the estimate
	 */
	Estimate estimate(GrantRequest request, long rankMillis, long nowMillis) {
		Lane lane = lane(request);
		updateRate(lane, request, nowMillis);
		lane.advance(nowMillis);
		Waiting waiting = waiting(request, rankMillis, nowMillis);
		int endpoints = this.capacity.endpoints(request);
		double rate = lane.rate(endpoints);
		long settling = Math.max(0, this.startMillis - nowMillis);
		Lane.Ahead ahead = lane.aheadOf(waiting);
		double waitMillis = settling + ahead.totalMillis() / rate;
		if (waiting.place() == Waiting.Place.OVERDUE) {
			return new Estimate(waiting, settling, settling, rate, AdmissionRule.NONE);
		}
		if (waiting.place() == Waiting.Place.IN_TIME && nowMillis + waitMillis <= waiting.latestStartMillis()) {
			return new Estimate(waiting, waitMillis, waitMillis, rate, AdmissionRule.NONE);
		}
		double lateWaitMillis = settling + lane.lateWaitMillis(waiting, endpoints, nowMillis);
		if (nowMillis + lateWaitMillis <= waiting.latestUsefulStartMillis()) {
			return new Estimate(waiting, lateWaitMillis, waitMillis, rate, AdmissionRule.NONE);
		}
		boolean isServedInTimeOrder = waiting.place() == Waiting.Place.IN_TIME && waitMillis > 0;
		AdmissionRule rule = isServedInTimeOrder ? ahead.rule() : AdmissionRule.LATE_REQUESTS_AHEAD;
		return new Estimate(waiting, lateWaitMillis, waitMillis, rate, rule);
	}

	private void updateRate(Lane lane, GrantRequest request, long nowMillis) {
		lane.advanceRates(this.capacity.endpoints(request), nowMillis);
	}

	/**
	 * Finds the queued requests that cannot be served before their client timeouts any
	 * more, whatever the queue.
	 * @param nowMillis the time in milliseconds
	 * @return the requests
	 */
	List<Waiting> expired(long nowMillis) {
		List<Waiting> expired = new ArrayList<>();
		for (Waiting waiting : this.byLatestUsefulStart) {
			if (waiting.latestUsefulStartMillis() >= nowMillis) {
				break;
			}
			expired.add(waiting);
		}
		return expired;
	}

	/**
	 * Finds the late requests that cannot be served before their client timeouts at the
	 * present rate, since requests that can be in time come first.
	 * @param nowMillis the time in milliseconds
	 * @return the requests
	 */
	List<Waiting> hopeless(long nowMillis) {
		List<Waiting> hopeless = new ArrayList<>();
		for (Lane lane : lanes()) {
			lane.advance(nowMillis);
			Waiting any = lane.any();
			if (any != null) {
				updateRate(lane, any.request(), nowMillis);
				hopeless.addAll(lane.hopeless(this.capacity.endpoints(any.request()), nowMillis));
			}
		}
		return hopeless;
	}

	private List<Lane> lanes() {
		List<Lane> lanes = new ArrayList<>();
		this.services.values().forEach((service) -> {
			lanes.add(service.shortLane);
			lanes.add(service.longLane);
		});
		return lanes;
	}

	/**
	 * Finds the queued requests that cannot be served before their client timeouts at the
	 * present rate and with the present endpoints.
	 * @param nowMillis the time in milliseconds
	 * @return the requests
	 */
	List<Waiting> unreachable(long nowMillis) {
		List<Waiting> unreachable = new ArrayList<>();
		for (Lane lane : lanes()) {
			lane.advance(nowMillis);
			Waiting any = lane.any();
			if (any != null) {
				updateRate(lane, any.request(), nowMillis);
				int endpoints = this.capacity.endpoints(any.request());
				unreachable.addAll((endpoints > 0) ? lane.unreachable(endpoints, nowMillis) : lane.all());
			}
		}
		return unreachable;
	}

	void forgetPausedTeams(long nowMillis) {
		this.services.values().forEach((service) -> service.shares.forgetPaused(nowMillis));
	}

	@Override
	public boolean isOverdue(String key) {
		Waiting waiting = this.byKey.get(key);
		return waiting != null && waiting.place() == Waiting.Place.OVERDUE;
	}

	/**
	 * Finds a queued request.
	 * @param key its key
	 * @return the request, or null if it is not queued
	 */
	Waiting find(String key) {
		return this.byKey.get(key);
	}

	String laneName(GrantRequest request) {
		return lane(request).name();
	}

	Map<TeamId, Integer> waitingByTeam() {
		return this.waitingByTeam;
	}

	@Override
	public List<QueuedRequest> all() {
		return this.byKey.values().stream().map(Waiting::queued).toList();
	}

	@Override
	public int size() {
		return this.byKey.size();
	}

	@Override
	public long longTokens() {
		return this.longTokens;
	}

	private ServiceLanes service(GrantRequest request) {
		return this.services.computeIfAbsent(request.model(), (name) -> new ServiceLanes(name, this.startMillis));
	}

	private Lane lane(GrantRequest request) {
		ServiceLanes service = service(request);
		return request.lengthClass().isLong() ? service.longLane : service.shortLane;
	}

	/**
	 * An estimate of when a request could start.
	 *
	 * @param waiting the request
	 * @param waitMillis the time until its start in milliseconds
	 * @param returnMillis the time after which it could start at the position that it has
	 * now, if its caller returned then, in milliseconds
	 * @param rate the rate at which its queue is served, in milliseconds of engine time
	 * per millisecond
	 * @param rule the rule by which it cannot start before its client timeout, or
	 * {@link AdmissionRule#NONE} if it can
	 */
	record Estimate(Waiting waiting, double waitMillis, double returnMillis, double rate, AdmissionRule rule) {
	}

	/**
	 * The shares and lanes of one service.
	 */
	private static final class ServiceLanes {

		private final TeamShares shares = new TeamShares(TeamShares.EQUAL_WEIGHTS);

		private final Lane shortLane;

		private final Lane longLane;

		ServiceLanes(String name, long startMillis) {
			this.shortLane = new Lane(name + "/short", this.shares, false, startMillis);
			this.longLane = new Lane(name + "/long", this.shares, true, startMillis);
		}

		int size() {
			return this.shortLane.size() + this.longLane.size();
		}

	}

}
