package org.poplarloom.core.version;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.process.EngineModel;
import org.poplarloom.core.request.PartsWanted;

/**
 * Tests for {@link PrefillPlan}.
 * <p>
 * Guard against plans that miss the first-token target, exceed the KV cache of the
 * engines or block many engines for a prompt that is late anyway.
 */
public class PrefillPlanTests {

	private static final RoutingTable.Service MODEL = new RoutingTable.Service("m", 11, 405_000, 36,
			new EngineModel(1.31, 0.0013, 0.00213, 154, 0.162, 34));

	private static final long TARGET_MILLIS = 3_000;

	private static final long CLIENT_TIMEOUT_MILLIS = 12_000;

	private static PrefillPlan plan(long promptTokens) {
		return PrefillPlan.of(MODEL, promptTokens, 1_000).orElseThrow();
	}

	@Test
	public void shortPromptsAndPlainServicesNeedNoPlan() {
		Assert.assertTrue(PrefillPlan.of(MODEL, 5_000, 100).isEmpty());
		Assert.assertTrue(PrefillPlan.of(new RoutingTable.Service("app", 0, 0, 0, null), 100_000, 1).isEmpty());
	}

	@Test
	public void partsArePrefilledBeforeTheTarget() {
		for (long tokens = 40_000; tokens < 700_000; tokens += 20_000) {
			PartsWanted prefill = plan(tokens).inTime(TARGET_MILLIS);
			if (prefill != null) {
				Assert.assertTrue(prefill.partMillis() <= TARGET_MILLIS, tokens + " tokens take " + prefill);
				Assert.assertTrue(prefill.most() <= PartsWanted.LARGEST_COUNT, tokens + " tokens need " + prefill);
			}
		}
	}

	@Test
	public void partsHoldTheCompletePrompt() {
		for (long tokens = 40_000; tokens < 700_000; tokens += 20_000) {
			PartsWanted prefill = plan(tokens).inTime(TARGET_MILLIS);
			if (prefill != null) {
				Assert.assertTrue(prefill.partKvTokens() * prefill.fewest() >= tokens,
						tokens + " tokens in " + prefill);
				Assert.assertTrue(prefill.partKvTokens() <= MODEL.kvTokens(), tokens + " tokens in " + prefill);
			}
		}
	}

	@Test
	public void promptLargerThanOneKvCacheIsDivided() {
		Assert.assertFalse(plan(300_000).isTooLargeForOne());
		Assert.assertTrue(plan(434_037).isTooLargeForOne());
		Assert.assertTrue(plan(434_037).late(CLIENT_TIMEOUT_MILLIS).fewest() >= 2);
	}

	@Test
	public void promptThatNeedsTooMuchEngineTimeIsNotPlannedLate() {
		Assert.assertNotNull(plan(486_454).late(CLIENT_TIMEOUT_MILLIS));
		Assert.assertNull(plan(868_848).late(CLIENT_TIMEOUT_MILLIS));
	}

	@Test
	public void moreEnginesThanTheMinimumAreRequested() {
		PartsWanted prefill = plan(486_454).inTime(TARGET_MILLIS);
		Assert.assertTrue(prefill.most() > prefill.fewest(), prefill.toString());
		Assert.assertTrue(prefill.most() <= PartsWanted.LARGEST_COUNT, prefill.toString());
	}

	@Test
	public void noRemainingTimeYieldsNoPlan() {
		Assert.assertNull(plan(200_000).inTime(0));
		Assert.assertNull(plan(200_000).late(0));
	}

}
