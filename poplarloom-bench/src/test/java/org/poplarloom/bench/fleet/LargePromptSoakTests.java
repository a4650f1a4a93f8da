package org.poplarloom.bench.fleet;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link LargePromptSoak}, at a small size.
 * <p>
 * Guards against memory that stays reserved on engines after crashes, timeouts and
 * stopped instances, and against answers that end as if complete although tokens are
 * missing.
 */
public class LargePromptSoakTests {

	private static final long SEED = 5;

	@Test
	public void soakReleasesAllMemoryAndTruncatesNoAnswerUndetected() {
		LargePromptSoak soak = new LargePromptSoak(40, SEED);
		soak.run();
		Assert.assertEquals(soak.kvTokensHeldAtEnd(), 0, "seed " + SEED);
		Assert.assertEquals(soak.undetectedTruncations(), 0, "seed " + SEED);
		Assert.assertTrue(soak.completed() > 0, "seed " + SEED);
	}

}
