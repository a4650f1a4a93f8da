package org.poplarloom.standin.http;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What an engine has run since its start, by the account that each call named.
 * <p>
 * Totals only grow until they are cleared. This class is thread-safe.
 */
final class EngineAccounts {

	private final Map<String, AccountTotals> totals = new HashMap<>();

	synchronized void count(String account, long promptTokens, long answerTokens) {
		this.totals.merge(account, new AccountTotals(account, 1, promptTokens, answerTokens), AccountTotals::plus);
	}

	synchronized void clear() {
		this.totals.clear();
	}

	synchronized Usage report(String bootId) {
		return new Usage(bootId, List.copyOf(this.totals.values()));
	}

	/**
	 * The totals of all accounts since a start.
	 *
	 * @param bootId the start
	 * @param accounts the totals
	 */
	record Usage(String bootId, Collection<AccountTotals> accounts) {
	}

	/**
	 * The totals of an account.
	 *
	 * @param account the account that calls named
	 * @param requests the number of answers
	 * @param promptTokens their prompt tokens
	 * @param answerTokens their answer tokens
	 */
	record AccountTotals(String account, long requests, long promptTokens, long answerTokens) {

		AccountTotals plus(AccountTotals other) {
			return new AccountTotals(this.account, this.requests + other.requests,
					this.promptTokens + other.promptTokens, this.answerTokens + other.answerTokens);
		}

	}

}
