package org.poplarloom.core.process;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link HarmCriterion}.
 */
public class HarmCriterionTests {

	@Test
	public void whatWasServedMoreOftenNeedsMoreCrashesWithinBounds() {
		Assert.assertEquals(HarmCriterion.requiredCrashes(0), 2);
		Assert.assertEquals(HarmCriterion.requiredCrashes(1), 5);
		Assert.assertEquals(HarmCriterion.requiredCrashes(20), 5);
		Assert.assertEquals(HarmCriterion.requiredCrashes(60), 15);
		Assert.assertEquals(HarmCriterion.requiredCrashes(1_000_000), 20);
	}

	@Test
	public void whatWasServedMoreOftenIsHeldBackForAShorterTime() {
		Assert.assertEquals(HarmCriterion.holdMillis(3, 0, 600_000), 600_000);
		Assert.assertEquals(HarmCriterion.holdMillis(5, 5, 600_000), 300_000);
		Assert.assertEquals(HarmCriterion.holdMillis(20, 100_000, 600_000), 5_000);
		Assert.assertEquals(HarmCriterion.holdMillis(2, 0, 1_000), 1_000);
	}

}
