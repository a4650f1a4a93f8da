package org.poplarloom.entry.process;

import java.util.List;
import java.util.function.Consumer;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.entry.Settings;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Counts the calls of the store, which are billed, with and without readers of tables.
 * <p>
 * Run with {@code -Dreaders.report=true} to print the counts and with
 * {@code -Dreaders.instances=94} for another number of instances.
 */
public class TableReaderCallsTests {

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final Settings.TableReaders TWO = new Settings.TableReaders(2, 9);

	private static final int LARGE_FLEET = Integer.getInteger("readers.instances", 31);

	private static final long START_MILLIS = 20_000;

	private static final long STEADY_MILLIS = 60_000;

	private static final int BURST_VERSIONS = 25;

	private static final long BURST_MILLIS = 2_000;

	private static final long REJECTION_MILLIS = 9_000;

	private static final long RESTART_MILLIS = 10_000;

	/**
	 * What happens while calls are counted.
	 */
	private enum Load {

		STEADY(0.5, (fleet) -> fleet.advance(STEADY_MILLIS)),

		BURST(0.25, (fleet) -> {
			for (int version = 2; version <= BURST_VERSIONS + 1; version++) {
				publish(fleet, version);
				fleet.advance(BURST_MILLIS / BURST_VERSIONS);
			}
			fleet.advance(1_000);
			fleet.instances()
				.forEach((instance) -> Assert.assertEquals(instance.configurationVersion(), BURST_VERSIONS + 1));
		}),

		REJECTION(0.75, (fleet) -> {
			int rejected = fleet.instances().size() / 3;
			fleet.instances().subList(0, rejected).forEach((instance) -> instance.setStoreReachable(false));
			fleet.advance(REJECTION_MILLIS);
			fleet.instances().subList(0, rejected).forEach((instance) -> instance.setStoreReachable(true));
			fleet.advance(1_000);
		}),

		RESTART(1.1, (fleet) -> {
			List.copyOf(fleet.instances()).forEach((instance) -> {
				fleet.restart(instance);
				fleet.advance(fleet.random().nextInt(20));
			});
			fleet.advance(RESTART_MILLIS);
		});

		private final double maxRatio;

		private final Consumer<SimulatedFleet> course;

		Load(double maxRatio, Consumer<SimulatedFleet> course) {
			this.maxRatio = maxRatio;
			this.course = course;
		}

	}

	@DataProvider
	public static Object[] loads() {
		return java.util.Arrays.stream(Load.values()).map(Load::name).toArray();
	}

	/** Guards against readers that cost as much as if every instance read. */
	@Test(dataProvider = "loads")
	public void readersSaveCalls(String load) {
		long before = count(load, LARGE_FLEET, Settings.TableReaders.ALL);
		long after = count(load, LARGE_FLEET, TWO);
		Assert.assertTrue(after <= Load.valueOf(load).maxRatio * before, load + ": " + before + " and " + after);
	}

	/** Guards against a change in zones that are too small for readers. */
	@Test(dataProvider = "loads")
	public void smallZonesMakeTheSameCallsAsWithoutReaders(String load) {
		Assert.assertEquals(count(load, 15, TWO), count(load, 15, Settings.TableReaders.ALL), load);
	}

	private static long count(String load, int instances, Settings.TableReaders readers) {
		SimulatedFleet fleet = new SimulatedFleet(1, readers);
		fleet.startInstances(instances, ZONES);
		publish(fleet, 1);
		for (int i = 0; i < 20; i++) {
			fleet.put(Tables.WORKERS, "i-" + i,
					WorkerStandIn.entry("model", ZONES.get(i % ZONES.size()), "ready", "10.1.0." + i + ":80"));
		}
		fleet.advance(START_MILLIS);
		long before = fleet.storeCalls();
		long sentBefore = fleet.sentMessages().values().stream().mapToLong(Long::longValue).sum();
		Load.valueOf(load).course.accept(fleet);
		long calls = fleet.storeCalls() - before;
		if (Boolean.getBoolean("readers.report")) {
			System.out.println(load + " instances " + instances + " readers " + readers.perZone() + " calls " + calls
					+ " messages "
					+ (fleet.sentMessages().values().stream().mapToLong(Long::longValue).sum() - sentBefore));
		}
		return calls;
	}

	private static void publish(SimulatedFleet fleet, int version) {
		fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(version, "model", "app"));
	}

}
