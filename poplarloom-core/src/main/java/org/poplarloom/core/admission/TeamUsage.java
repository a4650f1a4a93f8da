package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.TeamId;

/**
 * What a team has received from a home since the home took over, and what it waits for.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param team the team
 * @param servedMillis the expected engine time of the requests that were served, in
 * milliseconds
 * @param waiting the number of queued requests
 * @param refused the number of requests refused because they could not be served in time
 */
public record TeamUsage(TeamId team, double servedMillis, int waiting, long refused) {

	/** The maximum number of teams in metrics; the others are counted as one. */
	public static final int MAX_REPORTED_TEAMS = 50;

	/** The name under which teams beyond the maximum number are reported. */
	public static final TeamId OTHER_TEAMS = TeamId.of("other-teams");

	/**
	 * Adds up the figures of each team and limits their number.
	 * @param usages the figures, several for a team if it has used several homes
	 * @return at most {@link #MAX_REPORTED_TEAMS} teams, those with the most engine time
	 * first; the others as {@link #OTHER_TEAMS}
	 */
	public static List<TeamUsage> summarize(Collection<TeamUsage> usages) {
		Map<TeamId, TeamUsage> byTeam = new HashMap<>();
		usages.forEach((usage) -> byTeam.merge(usage.team(), usage, TeamUsage::plus));
		TeamUsage others = byTeam.remove(OTHER_TEAMS);
		List<TeamUsage> sorted = new ArrayList<>(byTeam.values());
		sorted.sort(Comparator.comparingDouble(TeamUsage::servedMillis).reversed().thenComparing(TeamUsage::team));
		int reported = (sorted.size() + ((others != null) ? 1 : 0) <= MAX_REPORTED_TEAMS) ? sorted.size()
				: MAX_REPORTED_TEAMS - 1;
		List<TeamUsage> summary = new ArrayList<>(sorted.subList(0, reported));
		for (TeamUsage usage : sorted.subList(reported, sorted.size())) {
			others = (others != null) ? others.plus(usage) : usage.asOther();
		}
		if (others != null) {
			summary.add(others);
		}
		return summary;
	}

	private TeamUsage plus(TeamUsage usage) {
		return new TeamUsage(this.team, this.servedMillis + usage.servedMillis, this.waiting + usage.waiting,
				this.refused + usage.refused);
	}

	private TeamUsage asOther() {
		return new TeamUsage(OTHER_TEAMS, this.servedMillis, this.waiting, this.refused);
	}

}
