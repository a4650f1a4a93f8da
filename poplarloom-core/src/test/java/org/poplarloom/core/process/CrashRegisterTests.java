package org.poplarloom.core.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;

/**
 * Tests for {@link CrashRegister}. They guard against requests that crash one engine
 * after another, and against innocent requests that are refused because one crash was
 * counted twice.
 */
public class CrashRegisterTests {

	private static final EndpointId FIRST = EndpointId.of("e1");

	private static final EndpointId SECOND = EndpointId.of("e2");

	private final CrashRegister registry = CrashRegister.of(1_000);

	@Test
	public void secondCrashQuarantinesUntilTheEntryExpires() {
		CrashRegister fresh = CrashRegister.of(1_000);
		fresh.note("f", FIRST, "1", 0);
		fresh.note("f", FIRST, "1", 1);
		Assert.assertEquals(fresh.standing("f", 2), CrashRegister.Standing.SUSPECT);
		fresh.note("f", SECOND, "1", 3);
		Assert.assertEquals(fresh.standing("f", 4), CrashRegister.Standing.QUARANTINED);
		Assert.assertEquals(fresh.standing("f", 1_003), CrashRegister.Standing.CLEAR);
	}

	@Test
	public void mergedCrashesOfDifferentInstancesAddUp() {
		CrashRegister other = CrashRegister.of(1_000);
		this.registry.note("g", FIRST, "1", 0);
		other.note("g", SECOND, "1", 0);
		this.registry.merge(other.entries());
		Assert.assertEquals(this.registry.standing("g", 1), CrashRegister.Standing.QUARANTINED);
	}

	@Test
	public void sameCrashMergedTwiceCountsOnce() {
		CrashRegister other = CrashRegister.of(1_000);
		List<CrashRegister.Crash> updates = List.of(other.note("h", FIRST, "1", 0));
		this.registry.note("h", FIRST, "1", 0);
		this.registry.merge(updates);
		this.registry.merge(updates);
		Assert.assertEquals(this.registry.standing("h", 1), CrashRegister.Standing.SUSPECT);
	}

	@Test
	public void suspectThatCompletesIsCleared() {
		this.registry.note("i", FIRST, "1", 0);
		this.registry.clear("i");
		Assert.assertEquals(this.registry.standing("i", 1), CrashRegister.Standing.CLEAR);
	}

}
