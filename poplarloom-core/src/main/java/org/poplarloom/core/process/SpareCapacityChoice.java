package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import org.poplarloom.core.InstanceId;

/**
 * Chooses homes in proportion to the spare capacity that they are estimated to have, so
 * that many instances with the same old information do not all choose the same home.
 * <p>
 * The load of a home is its last status, plus what it has granted to this instance since
 * and less what has ended, plus the same change for each other instance of the zone. The
 * older the status, the closer the utilization is taken to the mean of all homes, and so
 * the choice to shares by capacity. The local zone is preferred until its utilization
 * reaches 70%; above that, a share of the requests that grows with the excess goes to
 * less utilized zones, until the utilization is below 60%. Long prompts stay in the local
 * zone while its home can be chosen. This class is thread-safe; one lock guards its
 * tables and no other lock is taken while it is held.
 */
public final class SpareCapacityChoice implements HomeChoice {

	/** Utilization of the local zone from which on other zones get requests. */
	static final double SPILL_UTILIZATION = 0.7;

	/** Utilization of the local zone below which it gets all requests again. */
	static final double RETURN_UTILIZATION = 0.6;

	/**
	 * The largest share of requests that leaves the zone. The rest uses the slots that
	 * become free before the next status arrives.
	 */
	private static final double MAX_REMOTE_SHARE = 0.85;

	/**
	 * Difference of utilization below which no request leaves the zone, since bytes
	 * between zones are billed and older statuses are less exact.
	 */
	private static final double MIN_DIFFERENCE = 0.1;

	/** Age at which a status counts by 1/e, in milliseconds. */
	private static final double TRUST_MILLIS = 4_000;

	/**
	 * Time after a change of home in which the load is taken to be at least the previous
	 * one, in milliseconds: until then the holders of grants have not all announced them.
	 */
	private static final long NEW_HOME_MILLIS = 2_000;

	/**
	 * The estimate for the other instances is limited to this fraction of the slots. It
	 * is this instance's own change times their number, so it varies much.
	 */
	private static final double MAX_OTHERS_FRACTION = 0.25;

	/**
	 * Time over which the own change is averaged to estimate that of the others, in
	 * milliseconds.
	 */
	private static final long RATE_MILLIS = 4_000;

	/** Smallest spare fraction, so that a full home is chosen only rarely. */
	private static final double MIN_SPARE = 0.02;

	private final IntSupplier instances;

	private final Map<ShardId, Known> knownHomes = new HashMap<>();

	private boolean spilling;

	/**
	 * Creates the choice.
	 * @param instances supplies the number of live instances of the zone, including this
	 * one
	 */
	public SpareCapacityChoice(IntSupplier instances) {
		this.instances = instances;
	}

	@Override
	public synchronized Optional<ShardStatus> choose(List<HomeCandidate> candidates, boolean isLong,
			RandomGenerator random, long nowMillis) {
		List<LoadEstimate> estimates = estimates(candidates, nowMillis);
		List<LoadEstimate> local = estimates.stream().filter(LoadEstimate::isLocal).toList();
		List<LoadEstimate> remote = estimates.stream().filter((estimate) -> !estimate.isLocal()).toList();
		if (local.isEmpty()) {
			return inProportion(remote, random);
		}
		double utilization = meanUtilization(local);
		this.spilling = utilization >= (this.spilling ? RETURN_UTILIZATION : SPILL_UTILIZATION);
		if (isLong || !this.spilling) {
			return inProportion(local, random);
		}
		List<LoadEstimate> lessUtilized = remote.stream()
			.filter((estimate) -> estimate.utilization() < utilization - MIN_DIFFERENCE)
			.toList();
		double remoteShare = Math.min(MAX_REMOTE_SHARE, (utilization - RETURN_UTILIZATION) / (1 - RETURN_UTILIZATION));
		boolean isRemote = !lessUtilized.isEmpty() && random.nextDouble() < remoteShare;
		return inProportion(isRemote ? lessUtilized : local, random);
	}

	private static Optional<ShardStatus> inProportion(List<LoadEstimate> estimates, RandomGenerator random) {
		if (estimates.size() <= 1) {
			return estimates.stream().findFirst().map(LoadEstimate::status);
		}
		double remaining = random.nextDouble() * estimates.stream().mapToDouble(LoadEstimate::weight).sum();
		for (LoadEstimate estimate : estimates) {
			remaining -= estimate.weight();
			if (remaining < 0) {
				return Optional.of(estimate.status());
			}
		}
		return Optional.of(estimates.get(estimates.size() - 1).status());
	}

	/**
	 * Estimates the present load of homes.
	 * @param candidates the homes
	 * @param nowMillis the time in milliseconds, by a clock that does not jump
	 * @return one estimate per home in the same order
	 */
	public synchronized List<LoadEstimate> estimates(List<HomeCandidate> candidates, long nowMillis) {
		double load = 0;
		double slots = 0;
		for (HomeCandidate candidate : candidates) {
			load += load(candidate, nowMillis);
			slots += slots(candidate);
		}
		double mean = (slots > 0) ? load / slots : 0;
		List<LoadEstimate> estimates = new ArrayList<>();
		for (HomeCandidate candidate : candidates) {
			double trust = Math.exp(-candidate.ageMillis() / TRUST_MILLIS);
			double utilization = trust * load(candidate, nowMillis) / slots(candidate) + (1 - trust) * mean;
			estimates.add(new LoadEstimate(candidate.status(), candidate.isLocal(), candidate.ageMillis(),
					slots(candidate), utilization));
		}
		return estimates;
	}

	private static int slots(HomeCandidate candidate) {
		return Math.max(1, candidate.status().summary().slots());
	}

	private static double meanUtilization(List<LoadEstimate> estimates) {
		double slots = estimates.stream().mapToDouble(LoadEstimate::slots).sum();
		return estimates.stream().mapToDouble((estimate) -> estimate.utilization() * estimate.slots()).sum() / slots;
	}

	private double load(HomeCandidate candidate, long nowMillis) {
		Known known = known(candidate.status().shard(), nowMillis);
		HomeSummary summary = candidate.status().summary();
		double reported = known.observe(candidate.status().home(), summary.running() + summary.queued(), nowMillis);
		double own = known.grants.netWithin(candidate.ageMillis(), nowMillis);
		double ownPerMilli = (double) known.grants.netWithin(RATE_MILLIS, nowMillis) / RATE_MILLIS;
		double limit = MAX_OTHERS_FRACTION * slots(candidate);
		double others = (this.instances.getAsInt() - 1) * ownPerMilli * candidate.ageMillis();
		return Math.max(0, reported + own + Math.max(-limit, Math.min(limit, others)));
	}

	private Known known(ShardId shard, long nowMillis) {
		return this.knownHomes.computeIfAbsent(shard, (key) -> new Known(nowMillis));
	}

	@Override
	public synchronized void recordGranted(ShardId shard, int endpoints, long nowMillis) {
		known(shard, nowMillis).grants.add(endpoints, nowMillis);
	}

	@Override
	public synchronized void recordEnded(ShardId shard, int endpoints, long nowMillis) {
		known(shard, nowMillis).grants.add(-endpoints, nowMillis);
	}

	/**
	 * Returns whether requests go to other zones because of the utilization of the local
	 * one.
	 * @return true from 70% until the utilization is below 60%
	 */
	public synchronized boolean isSpilling() {
		return this.spilling;
	}

	/**
	 * The estimated load of a home. This class is immutable and thread-safe.
	 *
	 * @param status the last status of the home
	 * @param isLocal whether the home is in the zone of this instance
	 * @param ageMillis the age of the status in milliseconds
	 * @param slots the requests that the endpoints may run at one time, at least 1
	 * @param utilization the estimated running and queued requests as a fraction of the
	 * slots, from 0
	 */
	public record LoadEstimate(ShardStatus status, boolean isLocal, long ageMillis, int slots, double utilization) {

		/**
		 * Returns the requests that the home is estimated to be able to start now.
		 * @return a number from 0
		 */
		public double spareSlots() {
			return Math.max(0, 1 - this.utilization) * this.slots;
		}

		private double weight() {
			return Math.max(MIN_SPARE, 1 - this.utilization) * this.slots;
		}

	}

	/**
	 * What this instance has observed of one shard. The lock of the choice guards it.
	 */
	private static final class Known {

		private final RecentGrants grants;

		private InstanceId home;

		private long changedMillis;

		private boolean replaced;

		private double loadBefore;

		private double lastLoad;

		Known(long nowMillis) {
			this.grants = new RecentGrants(nowMillis);
		}

		double observe(InstanceId newHome, double load, long nowMillis) {
			if (!newHome.equals(this.home)) {
				this.replaced = this.home != null;
				this.loadBefore = this.lastLoad;
				this.home = newHome;
				this.changedMillis = nowMillis;
			}
			this.replaced &= nowMillis - this.changedMillis < NEW_HOME_MILLIS;
			this.lastLoad = this.replaced ? Math.max(load, this.loadBefore) : load;
			return this.lastLoad;
		}

	}

}
