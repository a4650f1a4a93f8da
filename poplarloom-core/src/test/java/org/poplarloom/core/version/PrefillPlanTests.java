package org.poplarloom.core.version;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.process.EngineModel;
import org.poplarloom.core.request.ParallelPrefill;

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
			ParallelPrefill prefill = plan(tokens).withinTarget(TARGET_MILLIS);
			if (prefill != null) {
				Assert.assertTrue(prefill.partMillis() <= TARGET_MILLIS, tokens + " tokens take " + prefill);
				Assert.assertTrue(prefill.maxParts() <= ParallelPrefill.MAX_PARTS, tokens + " tokens need " + prefill);
			}
		}
	}

	@Test
	public void partsHoldTheCompletePrompt() {
		for (long tokens = 40_000; tokens < 700_000; tokens += 20_000) {
			ParallelPrefill prefill = plan(tokens).withinTarget(TARGET_MILLIS);
			if (prefill != null) {
				Assert.assertTrue(prefill.partKvTokens() * prefill.minParts() >= tokens,
						tokens + " tokens in " + prefill);
				Assert.assertTrue(prefill.partKvTokens() <= MODEL.kvTokens(), tokens + " tokens in " + prefill);
			}
		}
	}

	@Test
	public void promptLargerThanOneKvCacheIsDivided() {
		Assert.assertFalse(plan(300_000).isTooLargeForOneEngine());
		Assert.assertTrue(plan(434_037).isTooLargeForOneEngine());
		Assert.assertTrue(plan(434_037).withinClientTimeout(CLIENT_TIMEOUT_MILLIS).minParts() >= 2);
	}

	@Test
	public void promptThatNeedsTooMuchEngineTimeIsNotPlannedLate() {
		Assert.assertNotNull(plan(486_454).withinClientTimeout(CLIENT_TIMEOUT_MILLIS));
		Assert.assertNull(plan(868_848).withinClientTimeout(CLIENT_TIMEOUT_MILLIS));
	}

	@Test
	public void moreEnginesThanTheMinimumAreRequested() {
		ParallelPrefill prefill = plan(486_454).withinTarget(TARGET_MILLIS);
		Assert.assertTrue(prefill.maxParts() > prefill.minParts(), prefill.toString());
		Assert.assertTrue(prefill.maxParts() <= ParallelPrefill.MAX_PARTS, prefill.toString());
	}

	@Test
	public void noRemainingTimeYieldsNoPlan() {
		Assert.assertNull(plan(200_000).withinTarget(0));
		Assert.assertNull(plan(200_000).withinClientTimeout(0));
	}

}
