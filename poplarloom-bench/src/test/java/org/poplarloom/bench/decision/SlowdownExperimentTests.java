package org.poplarloom.bench.decision;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.process.AdaptivePlacement;

/**
 * Tests for {@link SlowdownExperiment}, in virtual time.
 * <p>
 * They guard against a change of {@link AdaptivePlacement} that lets long prefills delay
 * short prompts on the same engines, or that protects short prompts by holding back long
 * ones.
 */
public class SlowdownExperimentTests {

	private static final double MAX_SLOWDOWN = 1.3;

	private static final double MIN_LONG_THROUGHPUT_RATIO = 0.9;

	@Test
	public void longPromptsRaiseP95FirstTokenOfShortPromptsByAtMost30Percent() {
		for (long seed = 1; seed <= 2; seed++) {
			double slowdown = new SlowdownExperiment(20, 0.8, 200, seed).slowdown(new AdaptivePlacement());
			Assert.assertTrue(slowdown <= MAX_SLOWDOWN, "seed " + seed + ": " + slowdown);
		}
	}

	@Test
	public void longPromptThroughputIsAtLeast90PercentOfFirstComeFirstServed() {
		SlowdownExperiment experiment = new SlowdownExperiment(20, 0.8, 200, 3);
		double ratio = experiment.longThroughputRatio(new AdaptivePlacement());
		Assert.assertTrue(ratio >= MIN_LONG_THROUGHPUT_RATIO, "ratio " + ratio);
	}

}
