package org.poplarloom.core.process;

/**
 * Limits a team's retries to a percentage of its requests.
 * <p>
 * The balance is never negative and never above its maximum. This class is thread-safe;
 * its own lock guards it.
 */
public final class RetryBudget {

	private static final double MAX_BALANCE = 10;

	private static final double PERCENT = 100.0;

	private double balance = 1;

	/**
	 * Adds the fraction of a retry that one new request earns.
	 * @param percent the retries allowed per 100 requests
	 */
	public synchronized void earn(double percent) {
		this.balance = Math.min(MAX_BALANCE, this.balance + percent / PERCENT);
	}

	/**
	 * Spends one retry if the budget covers it.
	 * @return true if the retry is allowed
	 */
	public synchronized boolean trySpend() {
		if (this.balance < 1) {
			return false;
		}
		this.balance -= 1;
		return true;
	}

}
