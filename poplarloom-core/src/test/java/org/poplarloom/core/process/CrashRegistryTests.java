package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;

/**
 * Tests for {@link CrashRegistry}. They guard against requests that crash one engine
 * after another, and against requests that are refused after a single crash because it
 * was counted twice.
 */
public class CrashRegistryTests {

	private static final EndpointId FIRST = EndpointId.of("e1");

	private static final EndpointId SECOND = EndpointId.of("e2");

	private final CrashRegistry registry = CrashRegistry.of(1_000);

	@Test
	public void secondCrashQuarantinesUntilTheEntryExpires() {
		CrashRegistry fresh = CrashRegistry.of(1_000);
		fresh.recordCrash("f", FIRST, "1", 0);
		fresh.recordCrash("f", FIRST, "1", 1);
		Assert.assertEquals(fresh.status("f", 2), CrashRegistry.Status.SUSPECT);
		fresh.recordCrash("f", SECOND, "1", 3);
		Assert.assertEquals(fresh.status("f", 4), CrashRegistry.Status.QUARANTINED);
		Assert.assertEquals(fresh.status("f", 1_003), CrashRegistry.Status.CLEAR);
	}

	@Test
	public void mergedCrashesOfDifferentInstancesAddUp() {
		CrashRegistry other = CrashRegistry.of(1_000);
		this.registry.recordCrash("g", FIRST, "1", 0);
		other.recordCrash("g", SECOND, "1", 0);
		this.registry.merge(other.entries(), 0);
		Assert.assertEquals(this.registry.status("g", 1), CrashRegistry.Status.QUARANTINED);
	}

	@Test
	public void sameCrashMergedTwiceCountsOnce() {
		CrashRegistry other = CrashRegistry.of(1_000);
		List<CrashRegistry.Crash> updates = List.of(other.recordCrash("h", FIRST, "1", 0));
		this.registry.recordCrash("h", FIRST, "1", 0);
		this.registry.merge(updates, 0);
		this.registry.merge(updates, 0);
		Assert.assertEquals(this.registry.status("h", 1), CrashRegistry.Status.SUSPECT);
	}

	@Test
	public void suspectThatCompletesIsCleared() {
		this.registry.recordCrash("i", FIRST, "1", 0);
		Assert.assertTrue(this.registry.recordSurvivor(List.of("i"), 1));
		Assert.assertEquals(this.registry.status("i", 1), CrashRegistry.Status.CLEAR);
	}

	@Test
	public void quarantineSaysTheTimeThatIsLeft() {
		CrashRegistry fresh = CrashRegistry.of(1_000);
		fresh.recordCrash("j", FIRST, "1", 0);
		Assert.assertEquals(fresh.quarantineMillis("j", 10), 0);
		fresh.recordCrash("j", SECOND, "1", 100);
		Assert.assertEquals(fresh.quarantineMillis("j", 100), 1_000);
		Assert.assertEquals(fresh.quarantineMillis("j", 900), 200);
		Assert.assertEquals(fresh.quarantineMillis("j", 1_200), 0);
	}

	@Test
	public void aSurvivorEndsTheQuarantineAndOnlyLaterCrashesCount() {
		CrashRegistry fresh = CrashRegistry.of(1_000);
		fresh.recordCrash("k", FIRST, "1", 50);
		fresh.recordCrash("k", SECOND, "1", 100);
		Assert.assertFalse(fresh.recordSurvivor(List.of("k"), 49));
		Assert.assertTrue(fresh.recordSurvivor(List.of("k"), 101));
		Assert.assertEquals(fresh.status("k", 102), CrashRegistry.Status.CLEAR);
		fresh.recordCrash("k", FIRST, "2", 200);
		Assert.assertEquals(fresh.status("k", 201), CrashRegistry.Status.SUSPECT);
	}

	@Test
	public void anInstanceThatServedTheRequestAppealsOnce() {
		CrashRegistry witness = CrashRegistry.of(1_000);
		witness.recordSurvivor(List.of("l"), 150);
		this.registry.recordCrash("l", FIRST, "1", 0);
		this.registry.recordCrash("l", SECOND, "1", 100);
		List<CrashRegistry.Crash> verdict = this.registry.entries();
		Assert.assertTrue(witness.merge(verdict, 160));
		Assert.assertFalse(witness.merge(verdict, 161));
		Assert.assertFalse(this.registry.merge(witness.entries(), 170));
		Assert.assertEquals(this.registry.status("l", 170), CrashRegistry.Status.CLEAR);
		this.registry.merge(verdict, 180);
		Assert.assertEquals(this.registry.status("l", 180), CrashRegistry.Status.CLEAR);
	}

	/**
	 * Guards against instances that keep different entries because gossip reached them in
	 * another order.
	 */
	@Test
	public void entriesAreMergedInAnyOrderWithTheSameResult() {
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			List<CrashRegistry.Crash> updates = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				CrashRegistry source = CrashRegistry.of(1_000);
				for (int j = random.nextInt(4); j >= 0; j--) {
					source.recordCrash("m", EndpointId.of("e" + random.nextInt(6)), "1", random.nextInt(1_000));
				}
				if (random.nextInt(4) == 0) {
					source.recordSurvivor(List.of("m"), random.nextInt(500));
				}
				updates.addAll(source.entries());
			}
			CrashRegistry inOrder = CrashRegistry.of(1_000);
			updates.forEach((update) -> inOrder.merge(List.of(update), 1_000));
			Collections.shuffle(updates, random);
			CrashRegistry shuffled = CrashRegistry.of(1_000);
			updates.forEach((update) -> shuffled.merge(List.of(update), 1_000));
			shuffled.merge(updates, 1_000);
			Assert.assertEquals(shuffled.entries(), inOrder.entries(), "seed " + seed);
		}
	}

	@Test
	public void whatIsServedHundredsOfTimesIsNotQuarantinedByCrashesOfOneOutage() {
		CrashRegistry fresh = CrashRegistry.of(600_000);
		for (int i = 0; i < 300; i++) {
			fresh.recordSurvivor(List.of("n"), i);
		}
		for (int i = 0; i < 100; i++) {
			fresh.recordCrash("n", EndpointId.of("e" + i), "1", 1_000 + 5 * i);
		}
		Assert.assertEquals(fresh.status("n", 2_000), CrashRegistry.Status.SUSPECT);
	}

}
