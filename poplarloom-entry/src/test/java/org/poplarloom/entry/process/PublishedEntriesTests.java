package org.poplarloom.entry.process;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link PublishedEntries}.
 */
public class PublishedEntriesTests {

	private static final long REGAINED_MILLIS = 23_843;

	@Test
	public void anEntryThatLeavesAfterTheStoreIsBackIsGoneInTime() {
		long readMillis = 24_850;
		long goneMillis = readMillis + PublishedEntries.removalDelayMillis(REGAINED_MILLIS, readMillis);
		Assert.assertTrue(goneMillis - 24_648 <= 2_000, "gone at " + goneMillis);
	}

	@Test
	public void anEntryThatLapsedWhileTheStoreWasAwayHasTwoSecondsToComeBack() {
		Assert.assertTrue(PublishedEntries.removalDelayMillis(REGAINED_MILLIS, REGAINED_MILLIS) >= 2_000);
	}

	@Test
	public void withoutAnOutageARemovalCountsAtOnce() {
		Assert.assertEquals(PublishedEntries.removalDelayMillis(0, REGAINED_MILLIS), 0);
	}

}
