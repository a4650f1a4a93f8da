package org.poplarloom.entry.process;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests for {@link RelayTables} with records that cannot be read among others, and with
 * several records of a key in one read.
 */
public class RelayTablesTests {

	private static final long READ_MILLIS = 5_000;

	private static SimulatedFleet.Instance startAndRead(SimulatedFleet fleet) {
		SimulatedFleet.Instance instance = fleet.start("edge-1", "norte-a");
		fleet.advance(READ_MILLIS);
		return instance;
	}

	@Test
	public void anOperatorsRecordThatCannotBeReadDoesNotKeepBackTheNext() {
		SimulatedFleet fleet = new SimulatedFleet(1);
		fleet.put(Tables.OPERATORS, ConfigurationFormat.EVACUATION_KEY_PREFIX + "Not A Zone", "{}");
		fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY, "{");
		fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(7, "model", "app"));
		Assert.assertEquals(startAndRead(fleet).configurationVersion(), 7);
	}

	@Test
	public void anEntryThatCannotBeReadDoesNotKeepBackTheNext() {
		SimulatedFleet fleet = new SimulatedFleet(1);
		fleet.put(Tables.WORKERS, "Not An Id", entry());
		fleet.put(Tables.WORKERS, "i-1", "[]");
		fleet.put(Tables.WORKERS, "i-2", entry());
		SimulatedFleet.Instance instance = startAndRead(fleet);
		Assert.assertTrue(instance.entries().isSameProcess(EndpointId.of("i-2"), "1700000000000"));
	}

	@Test
	public void anEntryThatIsRemovedAndPublishedAgainInOneReadStays() {
		SimulatedFleet fleet = new SimulatedFleet(1);
		SimulatedFleet.Instance instance = startAndRead(fleet);
		fleet.put(Tables.WORKERS, "i-1", "");
		fleet.put(Tables.WORKERS, "i-1", entry());
		fleet.advance(READ_MILLIS);
		Assert.assertTrue(instance.entries().isSameProcess(EndpointId.of("i-1"), "1700000000000"));
	}

	private static String entry() {
		return WorkerStandIn.entry("model", "norte-a", "ready", "10.1.0.1:80");
	}

}
