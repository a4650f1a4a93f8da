package org.poplarloom.entry.process;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.LongStream;

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
 * Tests with a store that carries out writes late, after newer ones of the same key, so
 * that its newest record is not the one that says the most.
 */
public class LateWriteTests {

	/** Time bounds hold this long after an instance has started. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final long START_MILLIS = 10_000;

	private static final long MAX_DELAY_MILLIS = 2_000;

	/** The store carries out a write at most this late. */
	private static final int MAX_LATE_MILLIS = 6_000;

	private static final long OUTAGE_MILLIS = 2_000;

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final int INSTANCES = 13;

	private static final EndpointId ENDPOINT = EndpointId.of("i-1");

	private SimulatedFleet fleet;

	private int version;

	@DataProvider
	public static Object[] seeds() {
		return LongStream.rangeClosed(1, 10).boxed().toArray();
	}

	private void startFleet(long seed) {
		this.version = 0;
		this.fleet = new SimulatedFleet(seed);
		this.fleet.startInstances(INSTANCES, ZONES);
		publishNext();
		putEntry("ready", WorkerStandIn.FIRST_LIFETIME, 5);
		this.fleet.advance(START_MILLIS);
	}

	private void publishNext() {
		this.version++;
		this.fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY, configuration(this.version));
	}

	private static String configuration(int version) {
		return CallerStandIn.configuration(version, "model", "app");
	}

	private void putEntry(String state, long lifetime, int sequence) {
		this.fleet.put(Tables.WORKERS, ENDPOINT.value(), entry(state, lifetime, sequence));
	}

	private void putEntryLate(String state, long lifetime, int sequence) {
		this.fleet.putLate(Tables.WORKERS, ENDPOINT.value(), entry(state, lifetime, sequence), lateMillis());
	}

	private static String entry(String state, long lifetime, int sequence) {
		return WorkerStandIn.entry("model", "norte-a", state, "10.1.0.1:80", lifetime, sequence);
	}

	private int lateMillis() {
		return 1_000 + this.fleet.random().nextInt(MAX_LATE_MILLIS - 1_000);
	}

	private void restartSome() {
		for (int i = 0; i < 3; i++) {
			this.fleet.restart(this.fleet.instances().get(this.fleet.random().nextInt(INSTANCES)));
		}
	}

	private void assertAll(String expectation, Predicate<SimulatedFleet.Instance> condition) {
		List<String> failed = this.fleet.instances()
			.stream()
			.filter(condition.negate())
			.map((instance) -> instance.zone() + " " + instance.configurationVersion())
			.toList();
		Assert.assertTrue(failed.isEmpty(), expectation + ", but not at " + failed);
	}

	private void assertVersionInForce() {
		assertAll("version " + this.version + " is in force",
				(instance) -> instance.configurationVersion() == this.version);
	}

	/**
	 * Guards against an older version that is in force at instances that start after the
	 * store has carried it out late.
	 */
	@Test(dataProvider = "seeds")
	public void anInstanceThatStartsAfterAnOlderVersionWasWrittenLateUsesTheNewestOne(long seed) {
		startFleet(seed);
		this.fleet.putLate(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY, configuration(this.version),
				lateMillis());
		publishNext();
		this.fleet.advance(300);
		publishNext();
		this.fleet.advance(MAX_LATE_MILLIS);
		assertVersionInForce();
		restartSome();
		this.fleet.advance(CONTACT_MILLIS);
		assertVersionInForce();
		publishNext();
		this.fleet.advance(MAX_DELAY_MILLIS);
		assertVersionInForce();
	}

	/**
	 * Guards against an older version that is in force at instances that start after the
	 * store has come back from a copy, until it is written again.
	 */
	@Test(dataProvider = "seeds")
	public void anInstanceThatStartsAfterARestoreUsesTheVersionOfTheOthers(long seed) {
		startFleet(seed);
		Map<String, List<KeyedTablePort.Entry>> copy = this.fleet.copyStore();
		publishNext();
		this.fleet.advance(MAX_DELAY_MILLIS);
		this.fleet.setStoreSilent(true);
		this.fleet.advance(OUTAGE_MILLIS);
		this.fleet.restoreStore(copy);
		this.fleet.setStoreSilent(false);
		restartSome();
		this.fleet.advance(CONTACT_MILLIS);
		assertVersionInForce();
	}

	/**
	 * Guards against requests to an endpoint that drains, because an entry from before is
	 * carried out late.
	 */
	@Test(dataProvider = "seeds")
	public void anEndpointThatDrainsIsNotUsedAgainAfterALateEntry(long seed) {
		startFleet(seed);
		putEntryLate("ready", WorkerStandIn.FIRST_LIFETIME, 6);
		putEntry("draining", WorkerStandIn.FIRST_LIFETIME, 7);
		this.fleet.advance(START_MILLIS);
		assertAll("the endpoint is not used", (instance) -> !instance.entries().mayServe(ENDPOINT));
	}

	/**
	 * Guards against requests to an endpoint that is gone, because an entry from before
	 * is carried out late.
	 */
	@Test(dataProvider = "seeds")
	public void anEndpointThatIsGoneIsNotUsedAgainAfterALateEntry(long seed) {
		startFleet(seed);
		putEntryLate("ready", WorkerStandIn.FIRST_LIFETIME, 4);
		this.fleet.put(Tables.WORKERS, ENDPOINT.value(), "");
		this.fleet.advance(START_MILLIS);
		assertAll("the endpoint is not used", (instance) -> !instance.entries().mayServe(ENDPOINT));
	}

	/**
	 * Guards against an endpoint that is taken for its earlier process, because an entry
	 * of that is carried out late.
	 */
	@Test(dataProvider = "seeds")
	public void anEndpointThatHasStartedAgainIsNotTakenForItsEarlierProcessAfterALateEntry(long seed) {
		startFleet(seed);
		long lifetime = WorkerStandIn.FIRST_LIFETIME + 1;
		putEntryLate("ready", WorkerStandIn.FIRST_LIFETIME, 9);
		putEntry("ready", lifetime, 1);
		this.fleet.advance(START_MILLIS);
		assertAll("the later process is known",
				(instance) -> instance.entries().isSameProcess(ENDPOINT, String.valueOf(lifetime)));
	}

	/**
	 * Guards against an endpoint that stays out of use after its entry has lapsed in an
	 * outage of the store.
	 */
	@Test(dataProvider = "seeds")
	public void anEndpointWhoseEntryLapsedIsUsedAgainOnceItIsWritten(long seed) {
		startFleet(seed);
		this.fleet.put(Tables.WORKERS, ENDPOINT.value(), "");
		this.fleet.advance(START_MILLIS);
		putEntry("ready", WorkerStandIn.FIRST_LIFETIME, 5);
		this.fleet.advance(START_MILLIS);
		assertAll("the endpoint is used", (instance) -> instance.entries().mayServe(ENDPOINT));
	}

}
