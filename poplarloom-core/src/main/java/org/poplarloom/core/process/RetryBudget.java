package org.poplarloom.core.process;

import java.util.function.DoubleSupplier;

/**
 * Limits retries to a percentage of the requests and a reserve.
 * <p>
 * The balance is never negative and never above its maximum. This class is thread-safe;
 * its own lock guards it.
 */
public final class RetryBudget {

	private static final double DEFAULT_MAX_BALANCE = 10;

	private static final double PERCENT = 100.0;

	/**
	 * Fraction of the common reserve that the instances have together; the rest is for
	 * instances that restart with a full share.
	 */
	private static final double SHARED_FRACTION = 0.5;

	private final DoubleSupplier maxBalance;

	private double balance;

	private RetryBudget(double balance, DoubleSupplier maxBalance) {
		this.balance = balance;
		this.maxBalance = maxBalance;
	}

	/**
	 * Returns the budget of one instance on its own, which starts with a single retry.
	 * @return the budget
	 */
	public static RetryBudget local() {
		return new RetryBudget(1, () -> DEFAULT_MAX_BALANCE);
	}

	/**
	 * Returns an instance's share of a reserve that all instances have in common; it
	 * starts full.
	 * @param reserve the retries that all instances may have in reserve together
	 * @param instances supplies the number of instances that share it, at least 1
	 * @return the budget, whose maximum is at least one retry
	 */
	public static RetryBudget shared(double reserve, DoubleSupplier instances) {
		DoubleSupplier share = () -> Math.max(1, reserve * SHARED_FRACTION / instances.getAsDouble());
		return new RetryBudget(share.getAsDouble(), share);
	}

	/**
	 * Adds the fraction of a retry that one new request earns.
	 * @param percent the retries allowed per 100 requests
	 */
	public synchronized void earn(double percent) {
		this.balance = Math.min(this.maxBalance.getAsDouble(), this.balance + percent / PERCENT);
	}

	/**
	 * Spends one retry if the budget covers it.
	 * @return true if the retry is allowed
	 */
	public synchronized boolean trySpend() {
		this.balance = Math.min(this.maxBalance.getAsDouble(), this.balance);
		if (this.balance < 1) {
			return false;
		}
		this.balance -= 1;
		return true;
	}

}
