package org.poplarloom.core.admission;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.TeamId;

/**
 * Tests for {@link Promises}: memory that grows with refused requests, and callers of one
 * team or with one popular request that displace the promises of others.
 */
public class PromisesTests {

	private static final TeamId TEAM = TeamId.of("rota");

	private static final TeamId OTHER = TeamId.of("gijon");

	private final Promises promises = new Promises();

	private void record(long fingerprint, TeamId team, long timeMillis) {
		this.promises.record(fingerprint, team, "lane", 100, 30, timeMillis);
	}

	@Test
	public void promiseIsUsedOnceAndExpires10SecondsAfterItsTime() {
		Promises kept = new Promises();
		kept.record(7, TEAM, "lane", 100, 30, 1_000);
		Assert.assertEquals(kept.find(7, 10_999).rankMillis(), 100);
		Assert.assertNull(kept.find(7, 11_000));
		kept.record(7, TEAM, "lane", 100, 30, 20_000);
		kept.use(kept.find(7, 20_000));
		Assert.assertNull(kept.find(7, 20_000));
	}

	@Test
	public void requestWithoutAFingerprintIsNotKept() {
		Promises kept = new Promises();
		kept.record(0, TEAM, "lane", 100, 30, 1_000);
		Assert.assertEquals(kept.size(), 0);
	}

	@Test
	public void callersAreExpectedUntilShortlyAfterTheirTime() {
		Promises kept = new Promises();
		kept.record(1, TEAM, "lane", 100, 30, 1_000);
		kept.record(2, TEAM, "lane", 100, 40, 5_000);
		Assert.assertEquals(kept.expectedMillis("lane", 1_500), 70.0);
		Assert.assertEquals(kept.expectedMillis("lane", 1_501), 40.0);
		Assert.assertEquals(kept.expectedMillis("other", 0), 0.0);
	}

	@Test
	public void teamWithTheMostPromisesLosesItsOldestWhenThereAre10000() {
		record(1, OTHER, 1);
		for (int i = 2; i < 2 * Promises.MAX_PROMISES; i++) {
			record(i, TEAM, 2);
		}
		Assert.assertEquals(this.promises.size(), Promises.MAX_PROMISES);
		Assert.assertNotNull(this.promises.find(1, 2));
		Assert.assertNull(this.promises.find(2, 2));
	}

	@Test
	public void popularRequestHasAtMost100Promises() {
		Promises kept = new Promises();
		for (int i = 0; i < 1_000; i++) {
			kept.record(9, TEAM, "lane", i, 30, 1_000);
		}
		Assert.assertEquals(kept.size(), 100);
	}

}
