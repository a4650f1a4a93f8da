package org.poplarloom.core.process;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses one of several homes for a request by what is known of their load.
 * <p>
 * Implementations are thread-safe.
 */
public interface HomeChoice {

	/**
	 * Chooses a home.
	 * @param candidates the homes that can be chosen
	 * @param isLong whether the request has a long prompt, which is expensive to send to
	 * another zone
	 * @param random the source of random numbers
	 * @param nowMillis the time in milliseconds, by a clock that does not jump
	 * @return the home, or empty if there is no candidate
	 */
	Optional<ShardStatus> choose(List<HomeCandidate> candidates, boolean isLong, RandomGenerator random,
			long nowMillis);

	/**
	 * Records that a home has granted endpoints to this instance.
	 * @param shard the shard of the home
	 * @param endpoints the number of endpoints
	 * @param nowMillis the time in milliseconds, by a clock that does not jump
	 */
	default void recordGranted(ShardId shard, int endpoints, long nowMillis) {
	}

	/**
	 * Records that this instance has released endpoints that a home had granted.
	 * @param shard the shard of the home
	 * @param endpoints the number of endpoints
	 * @param nowMillis the time in milliseconds, by a clock that does not jump
	 */
	default void recordEnded(ShardId shard, int endpoints, long nowMillis) {
	}

}
