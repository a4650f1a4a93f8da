package org.poplarloom.core.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;

/**
 * Tests for {@link CrashRegister}.
 */
public class CrashRegisterTests {

	private static final EndpointId FIRST = EndpointId.of("e1");

	private static final EndpointId SECOND = EndpointId.of("e2");

	private final CrashRegister register = CrashRegister.of(1_000);

	@Test
	public void secondCrashQuarantines() {
		CrashRegister fresh = CrashRegister.of(1_000);
		fresh.note("f", FIRST, "1", 0);
		fresh.note("f", FIRST, "1", 1);
		Assert.assertEquals(fresh.standing("f", 2), CrashRegister.Standing.SUSPECT);
		fresh.note("f", SECOND, "1", 3);
		Assert.assertEquals(fresh.standing("f", 4), CrashRegister.Standing.QUARANTINED);
		Assert.assertEquals(fresh.standing("f", 1_003), CrashRegister.Standing.CLEAR);
	}

	@Test
	public void crashesSeenByDifferentInstancesAddUp() {
		CrashRegister other = CrashRegister.of(1_000);
		this.register.note("g", FIRST, "1", 0);
		other.note("g", SECOND, "1", 0);
		this.register.merge(other.entries());
		Assert.assertEquals(this.register.standing("g", 1), CrashRegister.Standing.QUARANTINED);
	}

	@Test
	public void sameCrashHeardTwiceCountsOnce() {
		CrashRegister other = CrashRegister.of(1_000);
		List<CrashRegister.Crash> news = List.of(other.note("h", FIRST, "1", 0));
		this.register.note("h", FIRST, "1", 0);
		this.register.merge(news);
		this.register.merge(news);
		Assert.assertEquals(this.register.standing("h", 1), CrashRegister.Standing.SUSPECT);
	}

	@Test
	public void suspectThatEndsWellIsCleared() {
		this.register.note("i", FIRST, "1", 0);
		this.register.clear("i");
		Assert.assertEquals(this.register.standing("i", 1), CrashRegister.Standing.CLEAR);
	}

}
