package org.poplarloom.entry.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of several instances whose endpoints crash one after the other.
 */
public class CrashInvestigationTests {

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final int INSTANCES = 12;

	/** A harmful part must be refused everywhere this long after the fifth crash. */
	private static final long CONNECTION_AGE_MILLIS = 4_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final String HARMFUL = "bad0cafe";

	private static final String LOOKUP = "/again/shared#1f.0";

	private static final long REFUSED_MILLIS = 600_000;

	private SimulatedFleet fleet;

	private int crashes;

	private void startFleet(long seed) {
		this.crashes = 0;
		this.fleet = new SimulatedFleet(seed);
		this.fleet.startInstances(INSTANCES, ZONES);
		ZONES.forEach((zone) -> this.fleet.put(Tables.WORKERS, "i-" + zone,
				WorkerStandIn.entry("model", zone, "ready", "10.1.0.1:80")));
		this.fleet.advance(15_000);
	}

	private SimulatedFleet.Instance anyInstance() {
		return this.fleet.instances().get(this.fleet.random().nextInt(INSTANCES));
	}

	// Each instance with a request at the endpoint loses it; one had sent the harmful
	// one.
	private void crashEndpoint(boolean isHarmful) {
		EndpointId endpoint = EndpointId.of("i-" + ++this.crashes);
		for (int i = 0; i < 5; i++) {
			anyInstance().investigation()
				.report(endpoint, "1", "request-" + this.crashes + "-" + i,
						List.of("system", "victim-" + this.crashes + "-" + i), CONNECTION_AGE_MILLIS);
		}
		if (isHarmful) {
			anyInstance().investigation()
				.report(endpoint, "1", "harmful-" + this.crashes, List.of("system", HARMFUL), CONNECTION_AGE_MILLIS);
		}
	}

	private void survive(String part) {
		SimulatedFleet.Instance instance = anyInstance();
		instance.investigation().recordSurvivor(List.of(part), instance.nowMillis());
	}

	private long instancesThatRefuse(String part) {
		return this.fleet.instances().stream().filter((instance) -> instance.investigation().isHarmful(part)).count();
	}

	/**
	 * Guards against a harmful part that other instances go on sending, and against the
	 * refusal of a part that most requests contain.
	 */
	@Test
	public void allInstancesRefuseTheHarmfulPartInTimeAndNoOther() {
		for (long seed = 1; seed <= 10; seed++) {
			startFleet(seed);
			for (int i = 0; i < 5; i++) {
				crashEndpoint(true);
				this.fleet.advance(100 + this.fleet.random().nextInt(400));
				survive("system");
			}
			this.fleet.advance(CONTACT_MILLIS);
			Assert.assertEquals(instancesThatRefuse(HARMFUL), INSTANCES, "seed " + seed);
			Assert.assertEquals(instancesThatRefuse("system"), 0, "seed " + seed);
		}
	}

	@Test
	public void anInstanceThatStartsLaterRefusesItToo() {
		startFleet(11);
		for (int i = 0; i < 5; i++) {
			crashEndpoint(true);
			this.fleet.advance(300);
			survive("system");
		}
		this.fleet.advance(CONTACT_MILLIS);
		SimulatedFleet.Instance late = this.fleet.start("edge-late", "norte-b");
		this.fleet.advance(CONTACT_MILLIS);
		Assert.assertTrue(late.investigation().isHarmful(HARMFUL));
	}

	@Test
	public void theLossOfAZonesEndpointsAtOnceMakesNoPartHarmful() {
		startFleet(12);
		for (int i = 0; i < 30; i++) {
			crashEndpoint(false);
			this.fleet.advance(2);
		}
		this.fleet.advance(CONTACT_MILLIS);
		Assert.assertEquals(instancesThatRefuse("system"), 0);
	}

	private void crashEndpointsDuringLookup(int count, long spacingMillis) {
		for (int i = 0; i < count; i++) {
			SimulatedFleet.Instance instance = this.fleet.instances().get(0);
			instance.investigation()
				.report(EndpointId.of("i-" + ++this.crashes), "1", LOOKUP, List.of(), CONNECTION_AGE_MILLIS);
			this.fleet.advance(spacingMillis);
		}
	}

	/**
	 * Guards against the refusal of what hundreds of callers share, because the endpoints
	 * of a service were lost one after the other and nothing was served meanwhile.
	 */
	@Test
	public void whatWasServedHundredsOfTimesIsNotHarmfulByAnOutage() {
		startFleet(13);
		for (int i = 0; i < 300; i++) {
			survive(LOOKUP);
			this.fleet.advance(10);
		}
		crashEndpointsDuringLookup(10, 300);
		this.fleet.advance(CONTACT_MILLIS);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), 0);
	}

	/**
	 * Guards against a refusal that goes on although instances that could not be asked
	 * have served the request since.
	 */
	@Test
	public void aRefusalEndsWhenACutOffZoneIsBackThatServedTheRequest() {
		startFleet(14);
		this.fleet.setSilent("norte-c", true);
		crashEndpointsDuringLookup(5, 300);
		this.fleet.advance(CONTACT_MILLIS);
		Assert.assertTrue(instancesThatRefuse(LOOKUP) > 0, "no instance refuses the request");
		SimulatedFleet.Instance cutOff = this.fleet.instances()
			.stream()
			.filter((instance) -> instance.zone().equals("norte-c"))
			.findFirst()
			.orElseThrow();
		cutOff.investigation().recordSurvivor(List.of(LOOKUP), cutOff.nowMillis());
		this.fleet.setSilent("norte-c", false);
		this.fleet.advance(2 * CONTACT_MILLIS);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), 0);
	}

	/**
	 * Guards against a refusal that goes on although an answer that was on its way when
	 * the request was found harmful has survived.
	 */
	@Test
	public void aRefusalEndsWhenALaterAnswerSurvives() {
		startFleet(15);
		crashEndpointsDuringLookup(3, 300);
		this.fleet.advance(CONTACT_MILLIS);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), INSTANCES);
		survive(LOOKUP);
		this.fleet.advance(10);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), 0);
	}

	/**
	 * Guards against a harmful request that crashes several endpoints again each time its
	 * refusal ends.
	 */
	@Test
	public void afterTheRefusalOneCrashSufficesForTheNext() {
		startFleet(16);
		crashEndpointsDuringLookup(3, 300);
		this.fleet.advance(CONTACT_MILLIS);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), INSTANCES);
		this.fleet.advance(REFUSED_MILLIS);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), 0);
		crashEndpointsDuringLookup(1, CONTACT_MILLIS);
		Assert.assertEquals(instancesThatRefuse(LOOKUP), INSTANCES);
	}

}
