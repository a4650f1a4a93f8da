package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.process.HomeCandidate;
import org.poplarloom.core.process.HomeChoice;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.LessLoadedOfTwo;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.SpareCapacityChoice;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.version.ActiveConfiguration;
import org.poplarloom.port.InstanceListPort.ListedInstance;

/**
 * Chooses the home to which a request for a grant is sent. A home is the instance that
 * grants the endpoints of one shard.
 * <p>
 * The choice is {@link LessLoadedOfTwo}, or {@link SpareCapacityChoice} while load is
 * spread. Homes in zones that are out are never chosen. This class is thread-safe.
 */
public final class HomeSelector {

	/**
	 * Age of a status that was never received, in milliseconds: the utilization is then
	 * taken to be the mean.
	 */
	private static final long UNKNOWN_AGE_MILLIS = 60_000;

	private final Settings settings;

	private final MembershipTable membership;

	private final ActiveConfiguration activeConfiguration;

	private final EndpointDirectory directory;

	private final Clock clock;

	private final LoadSpread spread;

	private final HomeChoice lessLoadedOfTwo = new LessLoadedOfTwo();

	private final SpareCapacityChoice spareCapacity;

	public HomeSelector(Settings settings, MembershipTable membership, ActiveConfiguration activeConfiguration,
			EndpointDirectory directory, Clock clock, LoadSpread spread) {
		this.spread = spread;
		this.spareCapacity = new SpareCapacityChoice(spread::instances);
		this.directory = directory;
		this.settings = settings;
		this.membership = membership;
		this.activeConfiguration = activeConfiguration;
		this.clock = clock;
	}

	/**
	 * Chooses a home by zone and utilization.
	 * @param excluded shards that must not be chosen
	 * @param request the request
	 * @return the home, or empty if none is left
	 */
	public Optional<ShardStatus> choose(Set<ShardId> excluded, GrantRequest request) {
		List<ShardStatus> statuses = candidates();
		statuses.removeIf((status) -> excluded.contains(status.shard()));
		boolean isSpread = this.spread.isActive();
		long now = this.clock.nowMillis();
		Map<ShardId, Long> ages = isSpread ? this.membership.statusAges(now) : Map.of();
		HomeChoice choice = isSpread ? this.spareCapacity : this.lessLoadedOfTwo;
		Optional<ShardStatus> chosen = choice.choose(homeCandidates(statuses, ages), request.lengthClass().isLong(),
				ThreadLocalRandom.current(), now);
		chosen.ifPresent((status) -> this.spread.recordChoice(isLocal(status)));
		return chosen;
	}

	private List<HomeCandidate> homeCandidates(List<ShardStatus> statuses, Map<ShardId, Long> ages) {
		return statuses.stream()
			.map((status) -> new HomeCandidate(status, isLocal(status),
					ages.getOrDefault(status.shard(), UNKNOWN_AGE_MILLIS)))
			.toList();
	}

	/**
	 * Returns the estimated load of the homes that can be chosen.
	 * @return one estimate per home; empty while load is not spread
	 */
	public List<SpareCapacityChoice.LoadEstimate> estimates() {
		if (!this.spread.isActive()) {
			return List.of();
		}
		long now = this.clock.nowMillis();
		return this.spareCapacity.estimates(homeCandidates(candidates(), this.membership.statusAges(now)), now);
	}

	/**
	 * Returns whether requests go to other zones because the local one is utilized.
	 * @return true if load is spread and a part of the requests leaves the zone
	 */
	public boolean isSpilling() {
		return this.spread.isActive() && this.spareCapacity.isSpilling();
	}

	/**
	 * Records that a home has granted endpoints to this instance.
	 * @param shard the shard of the home
	 * @param endpoints the number of endpoints
	 */
	public void recordGranted(ShardId shard, int endpoints) {
		if (this.spread.isEnabled()) {
			this.spareCapacity.recordGranted(shard, endpoints, this.clock.nowMillis());
		}
	}

	/**
	 * Records that this instance has released endpoints that a home had granted.
	 * @param shard the shard of the home
	 * @param endpoints the number of endpoints
	 */
	public void recordEnded(ShardId shard, int endpoints) {
		if (this.spread.isEnabled()) {
			this.spareCapacity.recordEnded(shard, endpoints, this.clock.nowMillis());
		}
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
