package org.poplarloom.core.process;

/**
 * Allows a team a number of retries in proportion to its requests.
 * <p>
 * The balance is never negative and never above the reserve limit. This class is
 * thread-safe; its own lock guards it.
 */
public final class RetryBudget {

	private static final double RESERVE_LIMIT = 10;

	private static final double PERCENT = 100.0;

	private double balance = 1;

	/**
	 * Earns a part of a retry for one new request.
	 * @param percent retries per 100 requests
	 */
	public synchronized void earn(double percent) {
		this.balance = Math.min(RESERVE_LIMIT, this.balance + percent / PERCENT);
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
