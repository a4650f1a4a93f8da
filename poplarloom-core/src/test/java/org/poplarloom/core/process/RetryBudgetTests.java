package org.poplarloom.core.process;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the shares of a common reserve, with the numbers of instances and the reserves of
 * the users' deployments.
 */
public class RetryBudgetTests {

	@DataProvider
	public static Object[][] deployments() {
		return new Object[][] { { 13, 217 }, { 15, 219 }, { 18, 234 }, { 95, 260 }, { 111, 343 }, { 113, 347 },
				{ 134, 389 } };
	}

	@Test(dataProvider = "deployments")
	public void allInstancesTogetherStayWithinTheReserve(int instances, int reserve) {
		Assert.assertTrue(spendAll(instances, reserve, instances) <= reserve);
	}

	@Test(dataProvider = "deployments")
	public void allInstancesTogetherStayWithinTheReserveAfterAllHaveRestarted(int instances, int reserve) {
		int spent = spendAll(instances, reserve, instances) + spendAll(instances, reserve, instances);
		Assert.assertTrue(spent <= reserve, spent + " retries");
	}

	@Test
	public void fewRequestsAreRetriedFromTheReserve() {
		RetryBudget budget = RetryBudget.shared(219, () -> 15);
		Assert.assertEquals(IntStream.range(0, 7).filter((retry) -> budget.trySpend()).count(), 7);
	}

	@Test
	public void shareShrinksWhenInstancesJoin() {
		AtomicInteger instances = new AtomicInteger(1);
		RetryBudget budget = RetryBudget.shared(200, instances::get);
		instances.set(100);
		Assert.assertTrue(budget.trySpend());
		Assert.assertFalse(budget.trySpend());
	}

	@Test
	public void requestsEarnRetries() {
		RetryBudget budget = RetryBudget.local();
		Assert.assertTrue(budget.trySpend());
		Assert.assertFalse(budget.trySpend());
		IntStream.range(0, 5).forEach((request) -> budget.earn(20));
		Assert.assertTrue(budget.trySpend());
	}

	private static int spendAll(int instances, int reserve, int known) {
		int spent = 0;
		for (int i = 0; i < instances; i++) {
			RetryBudget budget = RetryBudget.shared(reserve, () -> known);
			while (budget.trySpend()) {
				spent++;
			}
		}
		return spent;
	}

}
