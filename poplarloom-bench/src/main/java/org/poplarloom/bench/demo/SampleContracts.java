package org.poplarloom.bench.demo;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.poplarloom.core.TeamId;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.ServiceTerms;
import org.poplarloom.entry.request.Fingerprint;

/**
 * Contracts for the demo, tests and experiments.
 * <p>
 * This class has no state and is thread-safe.
 */
public final class SampleContracts {

	/** The API key of team {@code brindley}. */
	public static final String BRINDLEY_KEY = "brindley-key";

	/** The API key of team {@code rota}. */
	public static final String ROTA_KEY = "rota-key";

	private SampleContracts() {
	}

	/**
	 * Returns contracts with high limits, of two teams with different owners.
	 * @return the contracts
	 */
	public static List<Contract> withHighLimits() {
		return List.of(contract("brindley", "ashwell", BRINDLEY_KEY), contract("rota", "cazo-norte", ROTA_KEY));
	}

	/**
	 * Returns a contract with high limits.
	 * @param team the team
	 * @param owner the owner whom the team's usage is billed to
	 * @param key the team's API key
	 * @return the contract
	 */
	public static Contract contract(String team, String owner, String key) {
		return new Contract(TeamId.of(team), owner, List.of(Fingerprint.ofKey(key)), 20_000, 100_000_000, 50_000,
				500_000_000, 1_100_000, 600, 20, Set.of(LocalSystem.MODEL),
				Map.of(LocalSystem.SERVICE, new ServiceTerms(false, 86_400)));
	}

}
