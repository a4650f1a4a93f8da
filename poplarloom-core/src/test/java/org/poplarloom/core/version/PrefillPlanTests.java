package org.poplarloom.core.version;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.process.EngineModel;
import org.poplarloom.core.request.PartsWanted;

/**
 * Tests for {@link PrefillPlan}.
 */
public class PrefillPlanTests {

	private static final RoutingTable.Service MODEL = new RoutingTable.Service("m", 11, 405_000, 36,
			new EngineModel(1.31, 0.0013, 0.00213, 154, 0.162, 34));

	private static final long TARGET_MILLIS = 3_000;

	private static final long PATIENCE_MILLIS = 12_000;

	private static PrefillPlan plan(long promptTokens) {
		return PrefillPlan.of(MODEL, promptTokens, 1_000).orElseThrow();
	}

	@Test
	public void shortPromptsAndPlainServicesNeedNoPlan() {
		Assert.assertTrue(PrefillPlan.of(MODEL, 5_000, 100).isEmpty());
		Assert.assertTrue(PrefillPlan.of(new RoutingTable.Service("app", 0, 0, 0, null), 100_000, 1).isEmpty());
	}

	@Test
	public void partsAreReadBeforeTheTarget() {
		for (long tokens = 40_000; tokens < 700_000; tokens += 20_000) {
			PartsWanted wanted = plan(tokens).inTime(TARGET_MILLIS);
			if (wanted != null) {
				Assert.assertTrue(wanted.partMillis() <= TARGET_MILLIS, tokens + " tokens take " + wanted);
				Assert.assertTrue(wanted.most() <= PartsWanted.LARGEST_COUNT, tokens + " tokens need " + wanted);
			}
		}
	}

	@Test
	public void partsHoldTheWholePrompt() {
		for (long tokens = 40_000; tokens < 700_000; tokens += 20_000) {
			PartsWanted wanted = plan(tokens).inTime(TARGET_MILLIS);
			if (wanted != null) {
				Assert.assertTrue(wanted.partKvTokens() * wanted.fewest() >= tokens, tokens + " tokens in " + wanted);
				Assert.assertTrue(wanted.partKvTokens() <= MODEL.kvTokens(), tokens + " tokens in " + wanted);
			}
		}
	}

	@Test
	public void aPromptBeyondOneEnginesMemoryIsDivided() {
		Assert.assertFalse(plan(300_000).isTooLargeForOne());
		Assert.assertTrue(plan(434_037).isTooLargeForOne());
		Assert.assertTrue(plan(434_037).late(PATIENCE_MILLIS).fewest() >= 2);
	}

	@Test
	public void aPromptThatWouldBlockManyEnginesIsNotServedLate() {
		Assert.assertNotNull(plan(486_454).late(PATIENCE_MILLIS));
		Assert.assertNull(plan(868_848).late(PATIENCE_MILLIS));
	}

	@Test
	public void idleEnginesBeyondTheFewestAreUsed() {
		PartsWanted wanted = plan(486_454).inTime(TARGET_MILLIS);
		Assert.assertTrue(wanted.most() > wanted.fewest(), wanted.toString());
		Assert.assertTrue(wanted.most() <= PartsWanted.LARGEST_COUNT, wanted.toString());
	}

	@Test
	public void nothingIsPlannedWithoutTime() {
		Assert.assertNull(plan(200_000).inTime(0));
		Assert.assertNull(plan(200_000).late(0));
	}

}
