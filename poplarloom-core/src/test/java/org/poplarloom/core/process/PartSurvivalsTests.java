package org.poplarloom.core.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link PartSurvivals}.
 */
public class PartSurvivalsTests {

	private final PartSurvivals survivals = new PartSurvivals();

	@Test
	public void remembersTheLatestBeginOfEachPart() {
		this.survivals.record(List.of("a", "b"), 10);
		this.survivals.record(List.of("a"), 30);
		this.survivals.record(List.of("a"), 20);
		Assert.assertEquals(this.survivals.lastBeginMillis("a").getAsLong(), 30);
		Assert.assertEquals(this.survivals.lastBeginMillis("b").getAsLong(), 10);
		Assert.assertTrue(this.survivals.lastBeginMillis("c").isEmpty());
	}

	@Test
	public void forgetsTheLeastRecentlyUsedPartsFirst() {
		this.survivals.record(List.of("kept"), 1);
		for (int i = 0; i < 30_000; i++) {
			this.survivals.record(List.of("part-" + i), i);
			this.survivals.record(List.of("kept"), 1);
		}
		Assert.assertTrue(this.survivals.lastBeginMillis("kept").isPresent());
		Assert.assertTrue(this.survivals.lastBeginMillis("part-0").isEmpty());
	}

}
