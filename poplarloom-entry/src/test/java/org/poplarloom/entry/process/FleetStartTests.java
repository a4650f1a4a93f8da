package org.poplarloom.entry.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Starts all instances of a zone at the same time, as after a kill of the whole fleet,
 * and counts the homes of the zone's only shard.
 */
public class FleetStartTests {

	/** Instances start within this time of each other. */
	private static final int START_SPREAD_MILLIS = 300;

	/** A home that learns of a better one steps down at the next check of membership. */
	private static final long MAX_OVERLAP_MILLIS = 400;

	/** Requests come within seconds of a start, so a home is needed within one. */
	private static final long MAX_WITHOUT_HOME_MILLIS = 1_000;

	private static final long WATCHED_MILLIS = 12_000;

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private long overlapMillis;

	private long lastWithoutHomeMillis;

	@DataProvider
	public static Object[][] fleets() {
		return new Object[][] { { 5, 1L }, { 19, 1L }, { 19, 2L }, { 19, 3L }, { 40, 4L } };
	}

	@Test(dataProvider = "fleets")
	public void instancesThatStartTogetherAgreeOnOneHome(int count, long seed) {
		SimulatedFleet fleet = startTogether(count, seed);
		watch(fleet);
		Assert.assertTrue(this.overlapMillis <= MAX_OVERLAP_MILLIS,
				"several homes for " + this.overlapMillis + " ms, seed " + seed);
		Assert.assertTrue(this.lastWithoutHomeMillis <= MAX_WITHOUT_HOME_MILLIS,
				"no home until " + this.lastWithoutHomeMillis + " ms, seed " + seed);
	}

	@Test
	public void instancesOfOtherZonesKnowAllHomesWithinASecond() {
		SimulatedFleet fleet = new SimulatedFleet(7);
		fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(1, "model", "app"));
		for (String zone : ZONES) {
			fleet.put(Tables.WORKERS, "i-" + zone, WorkerStandIn.entry("model", zone, "ready", "10.1.0.1:80"));
		}
		fleet.startInstances(15, ZONES);
		fleet.advance(MAX_WITHOUT_HOME_MILLIS);
		for (SimulatedFleet.Instance instance : fleet.instances()) {
			ZONES.forEach((zone) -> Assert.assertTrue(instance.knowsHomeOf(zone),
					"an instance of " + instance.zone() + " knows no home of " + zone));
		}
	}

	@Test
	public void aHomeIsFoundWhenTheStoreIsSilent() {
		SimulatedFleet fleet = new SimulatedFleet(1);
		fleet.loseAnswers(1);
		fleet.start("edge-1", "norte-a");
		watch(fleet);
		Assert.assertTrue(this.lastWithoutHomeMillis <= 2_500, "no home until " + this.lastWithoutHomeMillis + " ms");
	}

	private static SimulatedFleet startTogether(int count, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(seed);
		for (int i = 0; i < count; i++) {
			fleet.start("edge-norte-a-" + i, "norte-a");
			fleet.advance(fleet.random().nextInt(2 * START_SPREAD_MILLIS / count));
		}
		return fleet;
	}

	private void watch(SimulatedFleet fleet) {
		this.overlapMillis = 0;
		this.lastWithoutHomeMillis = 0;
		fleet.advance(WATCHED_MILLIS, (elapsed) -> {
			long homes = fleet.instances().stream().filter(SimulatedFleet.Instance::isHome).count();
			if (homes > 1) {
				this.overlapMillis++;
			}
			if (homes == 0) {
				this.lastWithoutHomeMillis = elapsed;
			}
		});
	}

}
