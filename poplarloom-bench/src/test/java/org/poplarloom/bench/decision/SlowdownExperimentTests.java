package org.poplarloom.bench.decision;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.process.AdaptivePlacement;

/**
 * Tests for {@link SlowdownExperiment}, in virtual time.
 */
public class SlowdownExperimentTests {

	private static final double LARGEST_SLOWDOWN = 1.3;

	private static final double SMALLEST_LONG_SHARE = 0.9;

	@Test
	public void shortPromptsKeepTheirTimeToFirstTokenBesideLongOnes() {
		for (long seed = 1; seed <= 2; seed++) {
			double large = new SlowdownExperiment(20, 0.8, 200, seed).ratio(new AdaptivePlacement());
			Assert.assertTrue(large <= LARGEST_SLOWDOWN, "seed " + seed + ": " + large);
		}
	}

	@Test
	public void longPromptsKeepTheirThroughput() {
		SlowdownExperiment experiment = new SlowdownExperiment(20, 0.8, 200, 3);
		double share = experiment.longShare(new AdaptivePlacement());
		Assert.assertTrue(share >= SMALLEST_LONG_SHARE, "share " + share);
	}

}
