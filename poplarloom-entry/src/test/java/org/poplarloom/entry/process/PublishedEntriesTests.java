package org.poplarloom.entry.process;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests for {@link PublishedEntries}.
 * <p>
 * After an outage of the store, an endpoint whose entry lapsed during the outage must not
 * be removed before it can publish it again, but one that stops shortly after the outage
 * must be removed within 2 s. In the case tested here, the outage ended at 23.843 s, the
 * endpoint stopped at 24.648 s and the removal of its entry was read at 24.850 s.
 */
public class PublishedEntriesTests {

	private static final long RECOVERED_MILLIS = 23_843;

	@Test
	public void anEndpointThatStopsAfterAnOutageIsRemovedWithinTwoSeconds() {
		long readMillis = 24_850;
		long removalMillis = readMillis + PublishedEntries.removalDelayMillis(RECOVERED_MILLIS, readMillis);
		Assert.assertTrue(removalMillis - 24_648 <= 2_000, "removed at " + removalMillis);
	}

	@Test
	public void anEntryThatLapsedDuringAnOutageHasTwoSecondsToBePublishedAgain() {
		Assert.assertTrue(PublishedEntries.removalDelayMillis(RECOVERED_MILLIS, RECOVERED_MILLIS) >= 2_000);
	}

	@Test
	public void withoutAnOutageAnEndpointIsRemovedAtOnce() {
		Assert.assertEquals(PublishedEntries.removalDelayMillis(0, RECOVERED_MILLIS), 0);
	}

}
