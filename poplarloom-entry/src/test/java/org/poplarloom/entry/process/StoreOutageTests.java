package org.poplarloom.entry.process;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests with a store that answers nobody for some time, so that no instance can learn
 * from another one.
 * <p>
 * All instances wait for the same record, so their reads are in step and one outage can
 * hit all of them.
 */
public class StoreOutageTests {

	/** Operators' changes must be in force 2 s after the store has accepted them. */
	private static final long MAX_DELAY_MILLIS = 2_000;

	/** Time bounds hold again this long after an outage. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final int INSTANCES = 13;

	private static final long START_MILLIS = 10_000;

	/** Time between the last change and the outage. */
	private static final long CALM_MILLIS = 70;

	private SimulatedFleet fleet;

	private int version;

	@DataProvider
	public static Object[] outagesMillis() {
		return new Object[] { 100L, 400L, 1_000L, 2_500L, 4_500L, 6_050L, 7_300L, 9_000L };
	}

	private void startFleet(long seed) {
		this.version = 0;
		this.fleet = new SimulatedFleet(seed);
		for (int i = 0; i < INSTANCES; i++) {
			this.fleet.start("edge-" + i, ZONES.get(i % ZONES.size()));
		}
		publishNext();
		advance(START_MILLIS);
	}

	private void publishNext() {
		this.version++;
		this.fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(this.version, "model", "app"));
	}

	private void advance(long millis) {
		this.fleet.advance(millis, (elapsed) -> {
		});
	}

	private void silenceStore(long outageMillis) {
		this.fleet.setStoreSilent(true);
		advance(outageMillis);
		this.fleet.setStoreSilent(false);
	}

	/**
	 * Guards against changes that reach no instance for seconds after an outage, because
	 * all of them wait for the answer to a read that was lost in it.
	 */
	@Test(dataProvider = "outagesMillis")
	public void changesAreInForceInTimeAfterAnOutageThatHitsAllReads(long outageMillis) {
		startFleet(outageMillis);
		publishNext();
		advance(CALM_MILLIS);
		silenceStore(outageMillis);
		advance(CONTACT_MILLIS - MAX_DELAY_MILLIS);
		publishNext();
		advance(MAX_DELAY_MILLIS);
		for (SimulatedFleet.Instance instance : this.fleet.instances()) {
			Assert.assertEquals(instance.configurationVersion(), this.version, "outage of " + outageMillis + " ms");
		}
	}

}
