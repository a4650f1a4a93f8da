package org.poplarloom.core.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests for {@link CrashAttribution}. They guard against parts that crash one endpoint
 * after the other, and against the refusal of sound parts that were only present.
 */
public class CrashAttributionTests {

	private CrashAttribution attribution;

	private int crashes;

	@BeforeMethod
	public void create() {
		this.attribution = new CrashAttribution();
		this.crashes = 0;
	}

	private void crash(long millis, String... parts) {
		crashWith("request-" + this.crashes, millis, parts);
	}

	private void crashWith(String request, long millis, String... parts) {
		this.attribution.recordCrash("i-" + ++this.crashes + "@1", request, List.of(parts), 0, millis);
	}

	@Test
	public void blamesARequestThatComesAgainUnchangedRatherThanItsParts() {
		for (int i = 0; i < 3; i++) {
			crashWith("bad", 300 * i, "shared");
		}
		Assert.assertEquals(this.attribution.decide(1_000), List.of("bad"));
		Assert.assertTrue(this.attribution.isEmpty());
	}

	/**
	 * Guards against a harmful part that is found late because one of its requests was
	 * blamed.
	 */
	@Test
	public void findsAPartSoonAfterARequestWithItWasBlamed() {
		for (int i = 0; i < 3; i++) {
			crashWith("repeated", 300 * i, "bad", "team");
		}
		Assert.assertEquals(this.attribution.decide(1_000), List.of("repeated"));
		crash(1_400, "bad", "a");
		Assert.assertEquals(this.attribution.decide(2_200), List.of());
		crash(2_400, "bad", "b");
		Assert.assertEquals(this.attribution.decide(2_500), List.of("bad"));
	}

	/**
	 * Guards against the refusal of a sound part because of one request that contains it.
	 */
	@Test
	public void doesNotBlameAPartOfABlamedRequestThatSurvivesElsewhere() {
		for (int i = 0; i < 3; i++) {
			crashWith("bad", 300 * i, "shared");
		}
		Assert.assertEquals(this.attribution.decide(1_000), List.of("bad"));
		crash(1_400, "shared");
		this.attribution.recordSurvivor("shared", 1_500);
		crash(2_400, "shared");
		Assert.assertEquals(this.attribution.decide(4_000), List.of());
	}

	/**
	 * Guards against a request that goes on crashing an endpoint whose entry still names
	 * the lifetime before the first crash.
	 */
	@Test
	public void countsTheCrashesOfOneLifetimeIfTheConnectionsWereOpenedBetweenThem() {
		for (int i = 0; i < 3; i++) {
			long crashMillis = 1_000 * i;
			this.attribution.recordCrash("i-1@1", "bad", List.of(), crashMillis - 10, crashMillis);
		}
		Assert.assertEquals(this.attribution.decide(3_000), List.of("bad"));
	}

	/** Guards against one crash that counts several times since many have noticed it. */
	@Test
	public void countsOneCrashOnceHoweverLateItIsNoticed() {
		for (int i = 0; i < 5; i++) {
			this.attribution.recordCrash("i-1@1", "sound", List.of(), -100 * i, 1_000 * i);
		}
		this.attribution.recordCrash("i-1@1", "sound", List.of(), 20, 20);
		Assert.assertEquals(this.attribution.decide(5_000), List.of());
	}

	/**
	 * Guards against a request that three instances send at once and whose crashes count
	 * as one.
	 */
	@Test
	public void countsCrashesInQuickSuccessionOfARequestThatWasNeverServed() {
		for (int i = 0; i < 3; i++) {
			crashWith("bad", 10 * i, "shared");
		}
		Assert.assertEquals(this.attribution.decide(800), List.of("bad"));
	}

	@Test
	public void takesCrashesInQuickSuccessionForOneIfTheRequestWasServed() {
		for (int i = 0; i < 6; i++) {
			crashWith("lookup", 10 * i);
		}
		this.attribution.recordServed("lookup", 1);
		Assert.assertEquals(this.attribution.decide(5_000), List.of());
	}

	@Test
	public void doesNotBlameARequestThatIsRepeatedAmongCrashesOfAHarmfulPart() {
		crash(0, "bad");
		for (int i = 1; i <= 3; i++) {
			this.attribution.recordCrash("i-" + (i + 1) + "@1", "victim", List.of("shared"), 0, 300 * i);
			crash(300 * i, "bad");
		}
		Assert.assertEquals(this.attribution.decide(1_500), List.of("bad"));
		Assert.assertTrue(this.attribution.isEmpty());
	}

	@Test
	public void findsThePartThatIsPresentAtEachCrashAndNeverSurvives() {
		crash(0, "system", "bad", "a");
		crash(300, "system", "bad", "b");
		this.attribution.recordSurvivor("system", 350);
		crash(600, "system", "bad", "c");
		Assert.assertEquals(this.attribution.suspects(800), List.of("bad"));
		Assert.assertEquals(this.attribution.decide(800), List.of("bad"));
		Assert.assertEquals(this.attribution.decide(800), List.of());
	}

	@Test
	public void aPartThatSurvivedAfterTheCrashesIsSound() {
		crash(0, "a");
		crash(300, "a");
		crash(600, "a");
		this.attribution.recordSurvivor("a", 601);
		Assert.assertEquals(this.attribution.decide(10_000), List.of());
	}

	@Test
	public void anOutageThatEndsManyEndpointsAtOnceCountsOnce() {
		for (int i = 0; i < 20; i++) {
			crash(5 * i, "system", "a");
		}
		Assert.assertEquals(this.attribution.suspects(60_000), List.of());
	}

	@Test
	public void waitsForMoreCrashesIfTwoPartsAreAlwaysPresent() {
		crash(0, "bad", "rare");
		crash(300, "bad", "rare");
		crash(600, "bad", "rare");
		Assert.assertEquals(this.attribution.decide(5_000), List.of());
		crash(900, "bad");
		Assert.assertEquals(this.attribution.decide(5_000), List.of("bad"));
	}

	@Test
	public void findsBothPartsAfterFiveCrashesIfTheyCannotBeToldApart() {
		for (int i = 0; i < 5; i++) {
			crash(300 * i, "bad", "rare");
		}
		Assert.assertEquals(this.attribution.decide(1_500), List.of());
		Assert.assertEquals(this.attribution.decide(2_000).size(), 2);
	}

	@Test
	public void aPartThatWasSoundBeforeNeedsFiveCrashes() {
		crash(0, "turned");
		this.attribution.recordSurvivor("turned", 1);
		for (int i = 1; i <= 4; i++) {
			crash(300 * i, "turned");
		}
		Assert.assertEquals(this.attribution.decide(10_000), List.of());
		crash(1_500, "turned");
		Assert.assertEquals(this.attribution.decide(10_000), List.of("turned"));
	}

	@Test
	public void crashesThatAFoundPartExplainsAreNoEvidenceAgainstOthers() {
		crash(0, "bad", "victim");
		crash(300, "bad", "victim");
		crash(600, "bad");
		Assert.assertEquals(this.attribution.decide(1_000), List.of("bad"));
		crash(1_200, "victim", "bad");
		crash(1_500, "victim", "bad");
		Assert.assertEquals(this.attribution.suspects(60_000), List.of());
	}

	@Test
	public void aReportAfterTheOneThatExplainsItsCrashIsNoEvidence() {
		for (int i = 0; i < 3; i++) {
			crash(300 * i, "bad");
		}
		Assert.assertEquals(this.attribution.decide(1_000), List.of("bad"));
		for (int i = 1; i <= 3; i++) {
			this.attribution.recordCrash("i-" + i + "@1", "request", List.of("victim"), 0, 1_000 + 300 * i);
		}
		Assert.assertEquals(this.attribution.suspects(60_000), List.of());
	}

	@Test
	public void forgetsOldCrashesAndFindsAPartAgainAfterItsQuarantine() {
		for (int round = 0; round < 2; round++) {
			long start = 1_000_000 * round;
			this.attribution.expire(start - 600_000);
			for (int i = 0; i < 3; i++) {
				crash(start + 300 * i, "bad");
			}
			Assert.assertEquals(this.attribution.decide(start + 1_000), List.of("bad"));
			Assert.assertTrue(this.attribution.isEmpty());
		}
	}

	@Test
	public void whatWasServedOftenNeedsCrashesThatStandOut() {
		for (int i = 0; i < 14; i++) {
			crash(300 * i, "shared");
		}
		this.attribution.recordServed("shared", 60);
		Assert.assertEquals(this.attribution.decide(10_000), List.of());
		crash(4_200, "shared");
		Assert.assertEquals(this.attribution.decide(10_000), List.of("shared"));
		Assert.assertEquals(this.attribution.verdict("shared").served(), 60);
		Assert.assertEquals(this.attribution.verdict("shared").crashes().size(), 15);
	}

	@Test
	public void crashesAreEvidenceAgainWhenAFoundPartHasProvedSound() {
		for (int round = 0; round < 2; round++) {
			for (int i = 0; i < 3; i++) {
				crash(1_000 * round + 300 * i, "part");
			}
			Assert.assertEquals(this.attribution.decide(1_000 * round + 900), List.of("part"));
			this.attribution.forgetFound((cause) -> true);
		}
	}

	@Test
	public void onlyCausesThatTheInstancesWereAskedAboutAreFound() {
		for (int i = 0; i < 3; i++) {
			crash(300 * i, "bad");
		}
		Assert.assertEquals(this.attribution.decide(List.of("other"), 1_000), List.of());
		Assert.assertEquals(this.attribution.decide(List.of("bad"), 1_000), List.of("bad"));
	}

}
