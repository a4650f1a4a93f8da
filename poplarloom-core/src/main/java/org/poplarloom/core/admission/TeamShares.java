package org.poplarloom.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.poplarloom.core.TeamId;

/**
 * The teams' shares of the engine time of one service: weighted max-min fairness by
 * virtual time.
 * <p>
 * A team's virtual time advances by the expected engine time of each of its granted
 * requests, divided by the team's weight; the team with the lowest virtual time goes
 * first. A team that returns after a pause starts at the lowest virtual time in use, so
 * that a pause earns no credit. A team whose requests cannot be placed earns a limited
 * credit only. This class is not thread-safe; its home's lock guards it.
 */
public final class TeamShares {

	/** Weights where the configuration gives none. */
	public static final ToDoubleFunction<TeamId> EQUAL_WEIGHTS = (team) -> 1;

	/**
	 * Time after which a team without requests is forgotten, in milliseconds. A home
	 * compares teams over about this time.
	 */
	private static final long MAX_PAUSE_MILLIS = 10_000;

	/**
	 * The largest advantage of a waiting team, in milliseconds of engine time: 5% of one
	 * engine's time in 10 s.
	 */
	private static final double MAX_CREDIT_MILLIS = 500;

	private final ToDoubleFunction<TeamId> weights;

	private final Map<TeamId, State> states = new HashMap<>();

	/** The highest virtual time at which a team was granted a request. */
	private double currentMillis;

	public TeamShares(ToDoubleFunction<TeamId> weights) {
		this.weights = weights;
	}

	/**
	 * Records that a request of a team is queued.
	 * @param team the team
	 * @param nowMillis the time in milliseconds
	 */
	void enter(TeamId team, long nowMillis) {
		State state = this.states.computeIfAbsent(team, (key) -> new State(this.currentMillis));
		if (state.waiting == 0) {
			state.virtualMillis = Math.max(state.virtualMillis, lowestInUse());
		}
		state.waiting++;
		state.lastUseMillis = nowMillis;
	}

	/**
	 * Records that a queued request of a team was granted, refused or removed.
	 * @param team the team
	 */
	void leave(TeamId team) {
		State state = this.states.get(team);
		if (state != null && state.waiting > 0) {
			state.waiting--;
		}
	}

	private double lowestInUse() {
		double lowest = Double.POSITIVE_INFINITY;
		for (State state : this.states.values()) {
			if (state.waiting > 0) {
				lowest = Math.min(lowest, state.virtualMillis);
			}
		}
		return (lowest == Double.POSITIVE_INFINITY) ? this.currentMillis : lowest;
	}

	/**
	 * Returns the virtual time of a team.
	 * @param team the team
	 * @return the time in milliseconds of engine time; for a team without queued
	 * requests, the time at which it would start
	 */
	public double virtualMillis(TeamId team) {
		State state = this.states.get(team);
		if (state == null) {
			return lowestInUse();
		}
		return (state.waiting > 0) ? state.virtualMillis : Math.max(state.virtualMillis, lowestInUse());
	}

	double weight(TeamId team) {
		return this.weights.applyAsDouble(team);
	}

	/**
	 * Charges a team for a request that it was granted while requests were waiting.
	 * @param team the team
	 * @param engineMillis the expected engine time in milliseconds
	 * @param nowMillis the time in milliseconds
	 */
	public void charge(TeamId team, double engineMillis, long nowMillis) {
		double start = Math.max(virtualMillis(team), lowestOfOthers(team) - MAX_CREDIT_MILLIS);
		this.currentMillis = Math.max(this.currentMillis, start);
		State state = this.states.computeIfAbsent(team, (key) -> new State(start));
		state.virtualMillis = start + engineMillis / weight(team);
		state.lastUseMillis = nowMillis;
	}

	private double lowestOfOthers(TeamId team) {
		double lowest = Double.POSITIVE_INFINITY;
		for (Map.Entry<TeamId, State> entry : this.states.entrySet()) {
			if (entry.getValue().waiting > 0 && !entry.getKey().equals(team)) {
				lowest = Math.min(lowest, entry.getValue().virtualMillis);
			}
		}
		return (lowest == Double.POSITIVE_INFINITY) ? 0 : lowest;
	}

	/**
	 * Returns engine time to a team that was charged for it and has not used it.
	 * @param team the team
	 * @param engineMillis the engine time in milliseconds
	 */
	public void refund(TeamId team, double engineMillis) {
		State state = this.states.get(team);
		if (state != null) {
			state.virtualMillis -= engineMillis / weight(team);
		}
	}

	/**
	 * Forgets the teams that have had no request for some time.
	 * @param nowMillis the time in milliseconds
	 */
	void forgetPaused(long nowMillis) {
		this.states.values()
			.removeIf((state) -> state.waiting == 0 && nowMillis - state.lastUseMillis >= MAX_PAUSE_MILLIS);
	}

	/**
	 * The virtual time of one team and the number of its queued requests.
	 */
	private static final class State {

		private double virtualMillis;

		private int waiting;

		private long lastUseMillis;

		State(double virtualMillis) {
			this.virtualMillis = virtualMillis;
		}

	}

}
