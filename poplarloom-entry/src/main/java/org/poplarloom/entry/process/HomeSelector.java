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
import org.poplarloom.entry.version.ActiveConfiguration;
import org.poplarloom.port.InstanceListPort.ListedInstance;

/**
 * Chooses the home to which a request for a grant is sent. A home is the instance that
 * grants the endpoints of one shard.
 * <p>
 * The candidates are the less loaded of two random homes in the local zone and the less
 * loaded of two random homes in the other zones. The local one is chosen unless its
 * utilization is at least 0.8 and that of the remote one is lower. Homes in zones that
 * are out are never chosen. This class is thread-safe.
 */
public final class HomeSelector {

	private static final double BUSY_UTILIZATION = 0.8;

	private final Settings settings;

	private final MembershipTable membership;

	private final ActiveConfiguration activeConfiguration;

	private final EndpointDirectory directory;

	private final Clock clock;

	public HomeSelector(Settings settings, MembershipTable membership, ActiveConfiguration activeConfiguration,
			EndpointDirectory directory, Clock clock) {
		this.directory = directory;
		this.settings = settings;
		this.membership = membership;
		this.activeConfiguration = activeConfiguration;
		this.clock = clock;
	}

	/**
	 * Chooses a home by zone and utilization.
	 * @param excluded shards that must not be chosen
	 * @return the home, or empty if none is left
	 */
	public Optional<ShardStatus> choose(Set<ShardId> excluded) {
		List<ShardStatus> candidates = candidates();
		candidates.removeIf((status) -> excluded.contains(status.shard()));
		List<ShardStatus> localCandidates = candidates.stream().filter(this::isLocal).toList();
		Random random = ThreadLocalRandom.current();
		Optional<ShardStatus> local = lessLoadedOfTwo(localCandidates, random);
		if (local.isPresent() && local.get().summary().utilization() < BUSY_UTILIZATION) {
			return local;
		}
		Optional<ShardStatus> remote = lessLoadedOfTwo(
				candidates.stream().filter((status) -> !isLocal(status)).toList(), random);
		boolean isRemoteLessLoaded = remote.isPresent()
				&& (local.isEmpty() || remote.get().summary().utilization() < local.get().summary().utilization());
		return isRemoteLessLoaded ? remote : local;
	}

	/**
	 * Chooses the home with the shortest expected delay.
	 * @param excluded shards that must not be chosen
	 * @param delays the delay that each home expects until it starts the request, in
	 * milliseconds; a shard without an entry comes last
	 * @return the home, or empty if none is left
	 */
	public Optional<ShardStatus> shortestDelay(Set<ShardId> excluded, Map<ShardId, Long> delays) {
		return candidates().stream()
			.filter((status) -> !excluded.contains(status.shard()))
			.min(Comparator.comparingLong((ShardStatus status) -> delays.getOrDefault(status.shard(), Long.MAX_VALUE)));
	}

	private boolean isLocal(ShardStatus status) {
		return status.shard().zone().equals(this.settings.zone());
	}

	private static Optional<ShardStatus> lessLoadedOfTwo(List<ShardStatus> candidates, Random random) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		ShardStatus first = candidates.get(random.nextInt(candidates.size()));
		ShardStatus second = candidates.get(random.nextInt(candidates.size()));
		return Optional.of((second.summary().utilization() < first.summary().utilization()) ? second : first);
	}

	/**
	 * Returns all homes that can be chosen.
	 * @return the homes, those of the local zone first
	 */
	public List<ShardStatus> nearestFirst() {
		List<ShardStatus> homes = candidates();
		homes.sort(Comparator.comparing((ShardStatus status) -> !isLocal(status)));
		return homes;
	}

	private List<ShardStatus> candidates() {
		long now = this.clock.nowMillis();
		ConfigurationState state = this.activeConfiguration.state();
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
	 * Returns whether every zone that has endpoints and is not out has had a home since
	 * this instance started; until then a refusal by all known homes is not final.
	 * @return false if this instance has not heard of the homes of a zone yet
	 */
	public boolean hasHeardOfAllZones() {
		ConfigurationState state = this.activeConfiguration.state();
		Set<AvailabilityZone> heardOf = this.membership.zonesWithShards();
		return this.directory.listed()
			.stream()
			.filter((entry) -> entry.kind().equals(ListedInstance.ENGINE) && !entry.isLeaving())
			.map((entry) -> AvailabilityZone.of(entry.zone()))
			.allMatch((zone) -> heardOf.contains(zone) || state.isZoneOut(zone));
	}

	/**
	 * Finds the current home of a shard.
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
