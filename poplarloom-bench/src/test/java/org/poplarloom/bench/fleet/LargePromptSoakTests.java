package org.poplarloom.bench.fleet;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link LargePromptSoak}, at a small size.
 */
public class LargePromptSoakTests {

	private static final long SEED = 5;

	@Test
	public void enginesGetAllMemoryBackAndNoHalfAnswerLooksWhole() {
		LargePromptSoak soak = new LargePromptSoak(40, SEED);
		soak.run();
		Assert.assertEquals(soak.heldAtEnd(), 0, "seed " + SEED);
		Assert.assertEquals(soak.halfLookingWhole(), 0, "seed " + SEED);
		Assert.assertTrue(soak.whole() > 0, "seed " + SEED);
	}

}
