package org.poplarloom.entry.process;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;
import org.poplarloom.port.KeyedTablePort;

/**
 * Tests with a store that is away for two seconds and comes back from a copy, without
 * what was written since. Operators and endpoints write their records again, and offsets
 * that instances have read are given to other records.
 */
public class StoreRestoreTests {

	/** Operators' changes must be in force 2 s after the store has accepted them. */
	private static final long MAX_DELAY_MILLIS = 2_000;

	private static final long MAX_EVACUATION_DELAY_MILLIS = 5_000;

	/** Time bounds hold again this long after an outage. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final long OUTAGE_MILLIS = 2_000;

	private static final long START_MILLIS = 10_000;

	/** Entries must have been written again this long after the store is back. */
	private static final long REWRITE_MILLIS = 5_000;

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final int INSTANCES = 13;

	private static final int SEEDS = 5;

	private static final EndpointId ENDPOINT = EndpointId.of("i-1");

	private SimulatedFleet fleet;

	private int version;

	/** The lost changes, whether all of them are written again, and the seed. */
	@DataProvider
	public static Object[][] losses() {
		Object[][] losses = new Object[4 * SEEDS][];
		for (int seed = 0; seed < SEEDS; seed++) {
			losses[4 * seed] = new Object[] { 1, false, seed };
			losses[4 * seed + 1] = new Object[] { 3, false, seed };
			losses[4 * seed + 2] = new Object[] { 3, true, seed };
			losses[4 * seed + 3] = new Object[] { 8, false, seed };
		}
		return losses;
	}

	private void startFleet(long seed) {
		this.version = 0;
		this.fleet = new SimulatedFleet(seed);
		this.fleet.startInstances(INSTANCES, ZONES);
		publish(++this.version);
		putEntry("ready", 1);
		this.fleet.advance(START_MILLIS);
	}

	private void publish(int publishedVersion) {
		this.fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(publishedVersion, "model", "app"));
	}

	private void putEntry(String state, int sequence) {
		this.fleet.put(Tables.WORKERS, ENDPOINT.value(),
				WorkerStandIn.entry("model", "norte-a", state, "10.1.0.1:80", WorkerStandIn.FIRST_LIFETIME, sequence));
	}

	private void evacuate(String zone, boolean isOut) {
		this.fleet.put(Tables.OPERATORS, ConfigurationFormat.EVACUATION_KEY_PREFIX + zone, isOut ? "{}" : "");
	}

	private void restore(Map<String, List<KeyedTablePort.Entry>> copy) {
		this.fleet.setStoreSilent(true);
		this.fleet.advance(OUTAGE_MILLIS);
		this.fleet.restoreStore(copy);
		this.fleet.setStoreSilent(false);
	}

	private void assertAll(String expectation, Predicate<SimulatedFleet.Instance> condition) {
		List<String> failed = this.fleet.instances()
			.stream()
			.filter(condition.negate())
			.map((instance) -> instance.zone() + " " + instance.configurationVersion())
			.toList();
		Assert.assertTrue(failed.isEmpty(), expectation + ", but not at " + failed);
	}

	private void loseChanges(int lostChanges, boolean isEachWrittenAgain) {
		int keptVersion = this.version;
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		for (int i = 0; i < lostChanges; i++) {
			publish(++this.version);
			this.fleet.advance(300);
		}
		this.fleet.advance(MAX_DELAY_MILLIS);
		restore(copy);
		for (int i = isEachWrittenAgain ? keptVersion + 1 : this.version; i <= this.version; i++) {
			publish(i);
		}
	}

	/**
	 * Guards against changes after a restore that are missed because their offsets had
	 * been read before with other records.
	 */
	@Test(dataProvider = "losses")
	public void changesAfterARestoreAreInForceInTime(int lostChanges, boolean isEachWrittenAgain, int seed) {
		startFleet(seed);
		loseChanges(lostChanges, isEachWrittenAgain);
		this.fleet.advance(CONTACT_MILLIS - 500 * seed);
		for (int i = 0; i < 10; i++) {
			publish(++this.version);
			this.fleet.advance(MAX_DELAY_MILLIS);
			assertAll("version " + this.version + " is in force",
					(instance) -> instance.configurationVersion() == this.version);
		}
	}

	/**
	 * Guards against a configuration that goes back to the one in the copy.
	 */
	@Test(dataProvider = "losses")
	public void theConfigurationStaysInForceUntilItIsWrittenAgain(int lostChanges, boolean isEachWrittenAgain,
			int seed) {
		startFleet(seed);
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		this.version += lostChanges;
		publish(this.version);
		this.fleet.advance(MAX_DELAY_MILLIS);
		restore(copy);
		this.fleet.advance(REWRITE_MILLIS);
		assertAll("version " + this.version + " stays in force",
				(instance) -> instance.configurationVersion() == this.version);
	}

	/**
	 * Guards against requests to an endpoint whose draining the copy does not show.
	 */
	@Test
	public void anEndpointThatDrainsIsNotUsedAgainAfterARestore() {
		startFleet(1);
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		putEntry("draining", 2);
		this.fleet.advance(START_MILLIS);
		assertAll("the endpoint is not used", (instance) -> !instance.entries().mayServe(ENDPOINT));
		restore(copy);
		this.fleet.advance(REWRITE_MILLIS, (elapsed) -> assertAll("the endpoint is not used",
				(instance) -> !instance.entries().mayServe(ENDPOINT)));
	}

	/**
	 * Guards against requests to an endpoint that starts to drain after a restore.
	 */
	@Test
	public void anEndpointThatDrainsAfterARestoreIsKnownInTime() {
		startFleet(1);
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		putEntry("ready", 2);
		putEntry("ready", 3);
		this.fleet.advance(REWRITE_MILLIS);
		restore(copy);
		this.fleet.advance(CONTACT_MILLIS);
		putEntry("draining", 4);
		this.fleet.advance(MAX_DELAY_MILLIS);
		this.fleet.instances()
			.stream()
			.filter(SimulatedFleet.Instance::isHome)
			.forEach((home) -> Assert.assertFalse(home.entries().mayServe(ENDPOINT), "home of " + home.zone()));
	}

	/**
	 * Guards against instances that the others cannot find because the store has lost
	 * their entries.
	 */
	@Test
	public void instancesWriteTheirEntriesAgainAfterARestore() {
		startFleet(1);
		restore(Map.of());
		publish(this.version);
		this.fleet.advance(REWRITE_MILLIS);
		Assert.assertEquals(List.copyOf(this.fleet.keys(Tables.STATUS)).stream().distinct().count(), INSTANCES);
	}

	/**
	 * Guards against a zone that takes requests because the copy does not show its
	 * evacuation, and against one that stays out of use because it shows an old one.
	 */
	@Test
	public void evacuationsStayAsTheyWereUntilTheyAreWrittenAgain() {
		startFleet(1);
		evacuate("norte-a", true);
		this.fleet.advance(MAX_DELAY_MILLIS);
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		evacuate("norte-a", false);
		evacuate("norte-b", true);
		this.fleet.advance(MAX_DELAY_MILLIS);
		restore(copy);
		this.fleet.advance(CONTACT_MILLIS, (elapsed) -> {
			assertAll("norte-a is in use", (instance) -> !instance.knowsZoneAsOut("norte-a"));
			assertAll("norte-b is out", (instance) -> instance.knowsZoneAsOut("norte-b"));
		});
	}

	/**
	 * Guards against evacuations after a restore that are missed because their offsets
	 * had been read before.
	 */
	@Test
	public void anEvacuationAfterARestoreIsInForceInTime() {
		startFleet(1);
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		evacuate("norte-a", true);
		this.fleet.advance(MAX_DELAY_MILLIS);
		evacuate("norte-a", false);
		this.fleet.advance(MAX_DELAY_MILLIS);
		restore(copy);
		this.fleet.advance(CONTACT_MILLIS);
		evacuate("norte-a", true);
		this.fleet.advance(MAX_EVACUATION_DELAY_MILLIS);
		assertAll("norte-a is out", (instance) -> instance.knowsZoneAsOut("norte-a"));
	}

}
