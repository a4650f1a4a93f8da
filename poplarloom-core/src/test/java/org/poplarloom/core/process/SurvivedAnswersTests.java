package org.poplarloom.core.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link SurvivedAnswers}.
 */
public class SurvivedAnswersTests {

	private final SurvivedAnswers answers = new SurvivedAnswers();

	@Test
	public void remembersTheLatestBeginOfEachCause() {
		this.answers.record(List.of("a", "b"), 10);
		this.answers.record(List.of("a"), 30);
		this.answers.record(List.of("a"), 20);
		Assert.assertEquals(this.answers.lastBeginMillis("a").getAsLong(), 30);
		Assert.assertEquals(this.answers.lastBeginMillis("b").getAsLong(), 10);
		Assert.assertTrue(this.answers.lastBeginMillis("c").isEmpty());
	}

	@Test
	public void forgetsTheLeastRecentlyUsedPartsFirst() {
		this.answers.record(List.of("kept"), 1);
		for (int i = 0; i < 30_000; i++) {
			this.answers.record(List.of("part-" + i), i);
			this.answers.record(List.of("kept"), 1);
		}
		Assert.assertTrue(this.answers.lastBeginMillis("kept").isPresent());
		Assert.assertTrue(this.answers.lastBeginMillis("part-0").isEmpty());
	}

	@Test
	public void countsTheAnswersOfTheLastMinutes() {
		SurvivedAnswers counted = new SurvivedAnswers();
		for (int i = 0; i < 300; i++) {
			counted.record(List.of("a"), 1_000 * i);
		}
		Assert.assertEquals(counted.count("a", 300_000), 300);
		Assert.assertEquals(counted.count("a", 599_999), 300);
		Assert.assertEquals(counted.count("a", 600_000), 0);
		Assert.assertEquals(counted.count("b", 300_000), 0);
	}

}
