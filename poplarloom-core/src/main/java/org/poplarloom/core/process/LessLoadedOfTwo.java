package org.poplarloom.core.process;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two random homes in the local zone or the less loaded of two
 * random homes in the other zones.
 * <p>
 * The local one is chosen unless its utilization is at least 0.8 and that of the remote
 * one is lower. The age of the statuses is ignored. This class has no state and is
 * thread-safe.
 */
public final class LessLoadedOfTwo implements HomeChoice {

	private static final double BUSY_UTILIZATION = 0.8;

	@Override
	public Optional<ShardStatus> choose(List<HomeCandidate> candidates, boolean isLong, RandomGenerator random,
			long nowMillis) {
		Optional<ShardStatus> local = lessLoadedOfTwo(candidates.stream().filter(HomeCandidate::isLocal).toList(),
				random);
		if (local.isPresent() && local.get().summary().utilization() < BUSY_UTILIZATION) {
			return local;
		}
		Optional<ShardStatus> remote = lessLoadedOfTwo(
				candidates.stream().filter((candidate) -> !candidate.isLocal()).toList(), random);
		boolean isRemoteLessLoaded = remote.isPresent()
				&& (local.isEmpty() || remote.get().summary().utilization() < local.get().summary().utilization());
		return isRemoteLessLoaded ? remote : local;
	}

	private static Optional<ShardStatus> lessLoadedOfTwo(List<HomeCandidate> candidates, RandomGenerator random) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		ShardStatus first = candidates.get(random.nextInt(candidates.size())).status();
		ShardStatus second = candidates.get(random.nextInt(candidates.size())).status();
		return Optional.of((second.summary().utilization() < first.summary().utilization()) ? second : first);
	}

}
