package org.poplarloom.core.version;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.poplarloom.core.TeamId;

/**
 * The contract with one team, from which every limit on the team follows.
 * <p>
 * All numbers are positive, except the retry budget, which may be 0. This class is
 * immutable and thread-safe.
 *
 * @param team the team
 * @param owner the fleet owner that pays for the team's use
 * @param keyHashes lower-case hexadecimal SHA-256 hashes of the team's keys
 * @param requestsPerSecond the maximum request rate
 * @param tokensPerSecond the maximum rate of prompt and answer tokens
 * @param requestsInFlight the maximum number of concurrent requests
 * @param tokensInFlight the maximum number of prompt and answer tokens of concurrent
 * requests
 * @param longestPromptTokens the maximum prompt length in tokens
 * @param longestAnswerSeconds the maximum duration of one request in seconds
 * @param retryBudgetPercent the number of retries allowed per 100 requests
 * @param models the models that may be used
 * @param services the plain services that may be called
 */
public record Contract(TeamId team, String owner, List<String> keyHashes, double requestsPerSecond,
		double tokensPerSecond, long requestsInFlight, long tokensInFlight, long longestPromptTokens,
		long longestAnswerSeconds, double retryBudgetPercent, Set<String> models, Map<String, ServiceTerms> services) {

	public Contract {
		keyHashes = List.copyOf(keyHashes);
		models = Set.copyOf(models);
		services = Map.copyOf(services);
	}

}
