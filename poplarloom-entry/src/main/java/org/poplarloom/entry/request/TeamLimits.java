package org.poplarloom.entry.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.RetryBudget;
import org.poplarloom.core.process.TeamLimiter;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.core.version.Contract;
import org.poplarloom.entry.process.Node;

/**
 * The admission limiters and retry budgets of all teams at this instance.
 * <p>
 * Each limiter applies this instance's equal share of the contract's limits. This class
 * is thread-safe.
 */
public final class TeamLimits {

	private final Node node;

	private final Map<TeamId, TeamLimiter> limiters = new ConcurrentHashMap<>();

	private final Map<TeamId, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

	private volatile double share = 1;

	public TeamLimits(Node node) {
		this.node = node;
		node.activeConfiguration().addListener(this::apply);
	}

	private void apply(ConfigurationState state) {
		long now = this.node.clock().nowMillis();
		this.limiters.forEach((team, limiter) -> state.configuration()
			.contract(team)
			.ifPresent((contract) -> limiter.update(contract, this.share, now)));
	}

	/**
	 * Adapts this instance's share of all limits to the number of live instances.
	 */
	public void updateShare() {
		double newShare = 1.0 / Math.max(1, this.node.instances().all().size());
		if (newShare != this.share) {
			this.share = newShare;
			apply(this.node.activeConfiguration().state());
		}
	}

	/**
	 * Returns the limiter of a team and creates it at the first use.
	 * @param contract the team's contract
	 * @return the limiter
	 */
	public TeamLimiter limiter(Contract contract) {
		return this.limiters.computeIfAbsent(contract.team(),
				(team) -> TeamLimiter.of(contract, this.share, this.node.clock().nowMillis()));
	}

	/**
	 * Returns the retry budget of a team and creates it at the first use.
	 * @param team the team
	 * @return the budget
	 */
	public RetryBudget retryBudget(TeamId team) {
		return this.retryBudgets.computeIfAbsent(team, (key) -> RetryBudget.local());
	}

}
