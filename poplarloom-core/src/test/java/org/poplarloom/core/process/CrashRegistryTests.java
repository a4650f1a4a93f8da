package org.poplarloom.core.process;

import java.util.List;

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
		this.registry.merge(other.entries());
		Assert.assertEquals(this.registry.status("g", 1), CrashRegistry.Status.QUARANTINED);
	}

	@Test
	public void sameCrashMergedTwiceCountsOnce() {
		CrashRegistry other = CrashRegistry.of(1_000);
		List<CrashRegistry.Crash> updates = List.of(other.recordCrash("h", FIRST, "1", 0));
		this.registry.recordCrash("h", FIRST, "1", 0);
		this.registry.merge(updates);
		this.registry.merge(updates);
		Assert.assertEquals(this.registry.status("h", 1), CrashRegistry.Status.SUSPECT);
	}

	@Test
	public void suspectThatCompletesIsCleared() {
		this.registry.recordCrash("i", FIRST, "1", 0);
		this.registry.clear("i");
		Assert.assertEquals(this.registry.status("i", 1), CrashRegistry.Status.CLEAR);
	}

}
