package org.poplarloom.entry.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.entry.version.ActiveRouting;
import org.poplarloom.port.EndpointEntry;

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

	@Test
	public void eachChangeOfAnEntryIsReportedOnce() {
		PublishedEntries entries = new PublishedEntries(new ActiveRouting(), Clock.steady());
		EndpointEntry ready = entry("i-1", false);
		Assert.assertTrue(entries.update(List.of(ready, entry("i-2", false))));
		Assert.assertFalse(entries.update(List.of(ready)));
		Assert.assertTrue(entries.update(List.of(entry("i-1", true))));
		Assert.assertFalse(entries.mayServe(EndpointId.of("i-1")));
		Assert.assertTrue(entries.mayServe(EndpointId.of("i-2")));
	}

	@Test
	public void theLastOfSeveralEntriesOfAnEndpointHolds() {
		PublishedEntries entries = new PublishedEntries(new ActiveRouting(), Clock.steady());
		Assert.assertTrue(entries.update(List.of(entry("i-1", true), entry("i-1", false))));
		Assert.assertTrue(entries.mayServe(EndpointId.of("i-1")));
	}

	@Test
	public void anEndpointThatOnlyTheHomeKnowsMayServeButOneThatIsGoneMayNot() {
		PublishedEntries entries = new PublishedEntries(new ActiveRouting(), () -> 1_000);
		Assert.assertTrue(entries.mayServe(EndpointId.of("i-1")));
		entries.update(List.of(entry("i-1", false)));
		entries.remove("i-1", 1_000);
		Assert.assertFalse(entries.mayServe(EndpointId.of("i-1")));
		entries.update(List.of(entry("i-1", false)));
		Assert.assertTrue(entries.mayServe(EndpointId.of("i-1")));
	}

	/**
	 * Guards against an endpoint that becomes cold again and is noticed at the next poll
	 * only.
	 */
	@Test
	public void anEndpointThatBecomesColdIsReportedOnce() {
		PublishedEntries entries = new PublishedEntries(new ActiveRouting(), () -> 1_000);
		entries.update(List.of(entry("i-1", false)));
		Assert.assertTrue(entries.update(List.of(coldEntry("i-1", 3_000))));
		Assert.assertFalse(entries.update(List.of(coldEntry("i-1", 2_000))));
		EndpointReport report = Mono.from(entries.report("10.0.0.1:80")).block();
		Assert.assertEquals(report.coldPeriod().endMillis(), 3_000);
		Assert.assertFalse(entries.update(List.of(entry("i-1", false))));
		Assert.assertEquals(Mono.from(entries.report("10.0.0.1:80")).block().coldPeriod().endMillis(), 0);
	}

	private static EndpointEntry coldEntry(String id, long coldMillis) {
		return new EndpointEntry(EndpointId.of(id), "model", "10.0.0.1:80", AvailabilityZone.of("norte-a"), 4, false,
				coldMillis, 1, 2);
	}

	private static EndpointEntry entry(String id, boolean isDraining) {
		return new EndpointEntry(EndpointId.of(id), "model", "10.0.0.1:80", AvailabilityZone.of("norte-a"), 4,
				isDraining, 0, 1, 1);
	}

}
