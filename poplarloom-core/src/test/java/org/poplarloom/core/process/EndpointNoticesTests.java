package org.poplarloom.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;

/**
 * Tests of {@link EndpointNotices}.
 */
public class EndpointNoticesTests {

	private static final EndpointId FIRST = EndpointId.of("i-1");

	private static final EndpointId SECOND = EndpointId.of("i-2");

	private EndpointNotices notices;

	@BeforeMethod
	public void createNotices() {
		this.notices = new EndpointNotices();
	}

	@Test
	public void onlyANewLifetimeEndsLeaving() {
		Assert.assertTrue(this.notices.recordLeaving(FIRST, "1", 0));
		Assert.assertFalse(this.notices.recordLeaving(FIRST, "1", 1));
		Assert.assertFalse(this.notices.mayUse(FIRST, "1", 3_000_000));
		Assert.assertEquals(this.notices.unusable(5), Set.of(FIRST));
		this.notices.forgetOtherLifetimes(FIRST, "1");
		Assert.assertFalse(this.notices.mayUse(FIRST, "1", 10));
		Assert.assertTrue(this.notices.mayUse(FIRST, "2", 10));
		this.notices.forgetOtherLifetimes(FIRST, "2");
		Assert.assertEquals(this.notices.unusable(10), Set.of());
	}

	@Test
	public void anEndpointThatBacksOffGetsNothingUntilTheEndAndThenMoreStepByStep() {
		this.notices.recordBackOff(FIRST, "1", 2_000, 1_000);
		this.notices.recordBackOff(FIRST, "1", 500, 1_100);
		Assert.assertFalse(this.notices.mayUse(FIRST, "1", 2_999));
		Assert.assertEquals(this.notices.unusable(2_999), Set.of(FIRST));
		Assert.assertTrue(this.notices.mayUse(FIRST, "2", 2_999));
		int sent = 0;
		for (long now = 3_000; now < 3_000 + EndpointNotices.RAMP_MILLIS; now += 10) {
			while (this.notices.mayUse(FIRST, "1", now)) {
				this.notices.recordUse(FIRST);
				sent++;
			}
			Assert.assertEquals(sent, 1 << (now - 3_000) / EndpointNotices.RAMP_STEP_MILLIS);
		}
		this.notices.recordUse(FIRST);
		Assert.assertTrue(this.notices.mayUse(FIRST, "1", 3_000 + EndpointNotices.RAMP_MILLIS));
	}

	@Test
	public void theBackOffOfAServiceIsTheShortestOfItsEndpoints() {
		EndpointNotices service = new EndpointNotices();
		Assert.assertFalse(service.hasBackOffs(0));
		service.recordBackOff(FIRST, "1", 2_000, 0);
		Assert.assertTrue(service.hasBackOffs(2_999));
		Assert.assertEquals(service.remainingBackOffMillis(List.of(FIRST, SECOND), 100), OptionalLong.empty());
		service.recordBackOff(SECOND, "1", 900, 0);
		Assert.assertEquals(service.remainingBackOffMillis(List.of(FIRST, SECOND), 100), OptionalLong.of(800));
		Assert.assertEquals(service.remainingBackOffMillis(List.of(FIRST, SECOND), 900), OptionalLong.empty());
		Assert.assertEquals(service.remainingBackOffMillis(List.of(), 100), OptionalLong.empty());
		Assert.assertFalse(service.hasBackOffs(3_000));
	}

	@Test(expectedExceptions = IllegalArgumentException.class)
	public void aBackOffWithoutDurationIsRejected() {
		new EndpointNotices().recordBackOff(FIRST, "1", 0, 0);
	}

	/**
	 * Guards against requests to endpoints that have said that they leave or want none:
	 * hundreds of endpoints in virtual time, of which a share leaves and refuses at any
	 * moment.
	 */
	@Test
	public void noEndpointGetsARequestAgainstItsNotice() {
		long seeds = Long.getLong("poplarloom.soak.seeds", 3);
		for (long seed = 1; seed <= seeds; seed++) {
			playSeed(seed);
		}
	}

	private static void playSeed(long seed) {
		Random random = new Random(seed);
		EndpointNotices soak = new EndpointNotices();
		Map<EndpointId, Integer> lifetimes = new HashMap<>();
		Map<EndpointId, Long> leftMillis = new HashMap<>();
		Map<EndpointId, Long> backOffEnds = new HashMap<>();
		int served = 0;
		for (long now = 0; now < 20_000; now++) {
			EndpointId endpoint = EndpointId.of("i-" + random.nextInt(300));
			String bootId = String.valueOf(lifetimes.computeIfAbsent(endpoint, (key) -> 1));
			if (!soak.unusable(now).contains(endpoint) && soak.mayUse(endpoint, bootId, now)) {
				Assert.assertFalse(leftMillis.containsKey(endpoint), "seed " + seed + ", " + now + " ms: leaving");
				Assert.assertTrue(backOffEnds.getOrDefault(endpoint, 0L) <= now, "seed " + seed + ", " + now + " ms");
				soak.recordUse(endpoint);
				served++;
				int kind = random.nextInt(20);
				if (kind == 0) {
					soak.recordLeaving(endpoint, bootId, now);
					leftMillis.put(endpoint, now);
				}
				else if (kind < 4) {
					long duration = 1 + random.nextInt(4_000);
					soak.recordBackOff(endpoint, bootId, duration, now);
					backOffEnds.put(endpoint, now + duration);
				}
			}
			else if (leftMillis.containsKey(endpoint) && now - leftMillis.get(endpoint) > 3_000) {
				leftMillis.remove(endpoint);
				backOffEnds.remove(endpoint);
				soak.forgetOtherLifetimes(endpoint, String.valueOf(lifetimes.merge(endpoint, 1, Integer::sum)));
			}
		}
		Assert.assertTrue(served > 3_000, "seed " + seed + ": only " + served + " requests were sent");
	}

}
