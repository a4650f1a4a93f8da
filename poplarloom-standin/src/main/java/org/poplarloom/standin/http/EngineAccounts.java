package org.poplarloom.standin.http;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The usage that an engine has counted for each account since its start.
 * <p>
 * The totals never decrease until they are cleared. This class is thread-safe.
 */
final class EngineAccounts {

	private final Map<String, AccountTotals> totalsByAccount = new HashMap<>();

	synchronized void add(String account, long promptTokens, long answerTokens) {
		this.totalsByAccount.merge(account, new AccountTotals(account, 1, promptTokens, answerTokens),
				AccountTotals::plus);
	}

	synchronized void clear() {
		this.totalsByAccount.clear();
	}

	synchronized Usage report(String bootId) {
		return new Usage(bootId, List.copyOf(this.totalsByAccount.values()));
	}

	/**
	 * The totals of all accounts since the start of an engine.
	 *
	 * @param bootId the id of the engine's start
	 * @param accounts the totals of each account
	 */
	record Usage(String bootId, Collection<AccountTotals> accounts) {
	}

	/**
	 * The totals of an account.
	 *
	 * @param account the account that the requests name, empty for those without one
	 * @param requests the number of completed requests
	 * @param promptTokens the number of their prompt tokens
	 * @param answerTokens the number of their answer tokens
	 */
	record AccountTotals(String account, long requests, long promptTokens, long answerTokens) {

		AccountTotals plus(AccountTotals other) {
			return new AccountTotals(this.account, this.requests + other.requests,
					this.promptTokens + other.promptTokens, this.answerTokens + other.answerTokens);
		}

	}

}
