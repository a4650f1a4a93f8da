package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ConfigurationKeeper;

/**
 * Chooses the home that a request asks for a grant.
 * <p>
 * A home in the local zone goes first unless it is crowded; among the others, the less
 * loaded of two random ones. Zones that were taken out are never chosen. This class is
 * thread-safe.
 */
public final class HomeSelector {

	private static final double CROWDED_UTILIZATION = 0.8;

	private final Settings settings;

	private final MembershipTable membership;

	private final ConfigurationKeeper keeper;

	private final Clock clock;

	public HomeSelector(Settings settings, MembershipTable membership, ConfigurationKeeper keeper, Clock clock) {
		this.settings = settings;
		this.membership = membership;
		this.keeper = keeper;
		this.clock = clock;
	}

	/**
	 * Chooses a home.
	 * @param refused shards that have refused the request
	 * @return the home, or empty if none is left
	 */
	public Optional<ShardStatus> choose(Set<ShardId> refused) {
		List<ShardStatus> candidates = candidates();
		candidates.removeIf((status) -> refused.contains(status.shard()));
		List<ShardStatus> local = candidates.stream().filter(this::isLocal).toList();
		Random random = ThreadLocalRandom.current();
		Optional<ShardStatus> nearest = lessLoaded(local, random);
		if (nearest.isPresent() && nearest.get().summary().utilization() < CROWDED_UTILIZATION) {
			return nearest;
		}
		Optional<ShardStatus> other = lessLoaded(candidates.stream().filter((status) -> !isLocal(status)).toList(),
				random);
		boolean isOtherBetter = other.isPresent()
				&& (nearest.isEmpty() || other.get().summary().utilization() < nearest.get().summary().utilization());
		return isOtherBetter ? other : nearest;
	}

	/**
	 * Chooses the home that expects to start a request soonest.
	 * @param refused shards that have refused the request
	 * @param delays what homes expect, in milliseconds
	 * @return the home, or empty if none is left
	 */
	public Optional<ShardStatus> least(Set<ShardId> refused, Map<ShardId, Long> delays) {
		return candidates().stream()
			.filter((status) -> !refused.contains(status.shard()))
			.min(Comparator.comparingLong((ShardStatus status) -> delays.getOrDefault(status.shard(), Long.MAX_VALUE)));
	}

	private boolean isLocal(ShardStatus status) {
		return status.shard().zone().equals(this.settings.zone());
	}

	private static Optional<ShardStatus> lessLoaded(List<ShardStatus> candidates, Random random) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		ShardStatus first = candidates.get(random.nextInt(candidates.size()));
		ShardStatus second = candidates.get(random.nextInt(candidates.size()));
		return Optional.of((second.summary().utilization() < first.summary().utilization()) ? second : first);
	}

	/**
	 * Returns the homes of all shards that take new work.
	 * @return the homes, those of the local zone first
	 */
	public List<ShardStatus> nearestFirst() {
		List<ShardStatus> homes = candidates();
		homes.sort(Comparator.comparing((ShardStatus status) -> !isLocal(status)));
		return homes;
	}

	private List<ShardStatus> candidates() {
		long now = this.clock.nowMillis();
		ConfigurationState state = this.keeper.state();
		List<ShardStatus> candidates = new ArrayList<>();
		for (ShardStatus status : this.membership.liveShards(now)) {
			if (!isLocal(status) && !state.isZoneOut(status.shard().zone()) && status.summary().endpoints() > 0) {
				candidates.add(status);
			}
		}
		if (!state.isZoneOut(this.settings.zone())) {
			addLocal(candidates, now);
		}
		return candidates;
	}

	private void addLocal(List<ShardStatus> candidates, long now) {
		for (int index = 0; index < this.settings.shardsPerZone(); index++) {
			ShardId shard = new ShardId(this.settings.zone(), index);
			Optional<Member> home = this.membership.home(shard, now);
			home.ifPresent((member) -> candidates
				.add(new ShardStatus(shard, member.id(), member.address(), now, summary(shard, now))));
		}
	}

	private HomeSummary summary(ShardId shard, long now) {
		return this.membership.liveShards(now)
			.stream()
			.filter((status) -> status.shard().equals(shard))
			.map(ShardStatus::summary)
			.findFirst()
			.orElse(new HomeSummary(1, 1, 0, 0, false));
	}

	/**
	 * Finds the present home of a shard.
	 * @param shard the shard
	 * @return the home, or empty if none is known
	 */
	public Optional<ShardStatus> current(ShardId shard) {
		AvailabilityZone zone = shard.zone();
		long now = this.clock.nowMillis();
		if (zone.equals(this.settings.zone())) {
			return this.membership.home(shard, now)
				.map((member) -> new ShardStatus(shard, member.id(), member.address(), now, HomeSummary.UNKNOWN));
		}
		return this.membership.liveShards(now).stream().filter((status) -> status.shard().equals(shard)).findFirst();
	}

}
