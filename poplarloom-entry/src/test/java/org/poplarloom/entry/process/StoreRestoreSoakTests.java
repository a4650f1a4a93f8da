package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

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
 * A soak with random changes, draining endpoints, evacuations and restores of the store,
 * which overlap with lost answers and with instances that cannot reach the store.
 * <p>
 * Run more seeds with {@code -Dsoak.seeds=N}.
 */
public class StoreRestoreSoakTests {

	private static final int DEFAULT_SEEDS = 8;

	private static final int INSTANCES = 9;

	private static final int ENDPOINTS = 12;

	private static final long DURATION_MILLIS = 120_000;

	private static final long START_MILLIS = 8_000;

	/** Time bounds hold again this long after an impairment. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final long MAX_DELAY_MILLIS = 2_000;

	private static final long MAX_EVACUATION_DELAY_MILLIS = 5_000;

	/**
	 * Operators and endpoints have written everything again this long after a restore.
	 */
	private static final long MAX_REWRITE_MILLIS = 1_200;

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private SimulatedFleet fleet;

	private Random random;

	/** What operators and endpoints have written last, by table and key. */
	private final Map<String, Map<String, Written>> written = new HashMap<>();

	private final List<Map<String, List<KeyedTablePort.Entry>>> copies = new ArrayList<>();

	private final Map<SimulatedFleet.Instance, Long> versions = new HashMap<>();

	private final Map<SimulatedFleet.Instance, Set<EndpointId>> knownAsDraining = new HashMap<>();

	private int version;

	private int sequence;

	private boolean impaired;

	private long impairedMillis;

	private SimulatedFleet.Instance cutOff;

	@DataProvider
	public static Object[] seeds() {
		return IntStream.range(0, Integer.getInteger("soak.seeds", DEFAULT_SEEDS)).boxed().toArray();
	}

	@Test(dataProvider = "seeds")
	public void nothingGoesBackAndChangesAreInForceInTime(int seed) {
		startFleet(seed);
		long end = this.fleet.elapsedMillis() + DURATION_MILLIS;
		while (this.fleet.elapsedMillis() < end) {
			act();
			this.fleet.advance(50 + this.random.nextInt(1_500), (elapsed) -> check());
		}
	}

	private void startFleet(int seed) {
		this.fleet = new SimulatedFleet(seed);
		this.random = new Random(seed);
		this.written.clear();
		this.copies.clear();
		this.versions.clear();
		this.knownAsDraining.clear();
		this.version = 0;
		this.cutOff = null;
		this.impaired = false;
		this.fleet.startInstances(INSTANCES, ZONES);
		publish();
		IntStream.range(0, ENDPOINTS).forEach((i) -> putEntry(i, "ready"));
		this.impairedMillis = this.fleet.elapsedMillis();
		this.fleet.advance(START_MILLIS);
		this.copies.add(this.fleet.copyStore());
	}

	private void act() {
		switch (this.random.nextInt(12)) {
			case 0, 1, 2, 3 -> publish();
			case 4, 5 -> putEntry(this.random.nextInt(ENDPOINTS), "draining");
			case 6 -> evacuate(ZONES.get(this.random.nextInt(ZONES.size())), this.random.nextBoolean());
			case 7, 8 -> this.copies.add(this.fleet.copyStore());
			case 9 -> loseAnswers();
			case 10 -> cutOffOrConnect();
			default -> restore();
		}
	}

	private void put(String table, String key, String value) {
		this.fleet.put(table, key, value);
		this.written.computeIfAbsent(table, (name) -> new HashMap<>())
			.put(key, new Written(value, this.fleet.elapsedMillis()));
	}

	private void publish() {
		put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(++this.version, "model", "app"));
	}

	private void putEntry(int endpoint, String state) {
		put(Tables.WORKERS, "i-" + endpoint, WorkerStandIn.entry("model", ZONES.get(endpoint % ZONES.size()), state,
				"10.1.0." + endpoint + ":80", WorkerStandIn.FIRST_LIFETIME, ++this.sequence));
	}

	private void evacuate(String zone, boolean isOut) {
		put(Tables.OPERATORS, ConfigurationFormat.EVACUATION_KEY_PREFIX + zone, isOut ? "{}" : "");
	}

	private void loseAnswers() {
		this.impaired = true;
		this.fleet.loseAnswers(0.3);
		this.fleet.advance(this.random.nextInt(2_000), (elapsed) -> check());
		this.fleet.loseAnswers(0);
		endImpairment();
	}

	private void cutOffOrConnect() {
		if (this.cutOff != null) {
			this.cutOff.setStoreReachable(true);
			this.cutOff = null;
		}
		else {
			this.cutOff = this.fleet.instances().get(this.random.nextInt(INSTANCES));
			this.cutOff.setStoreReachable(false);
		}
		this.impairedMillis = this.fleet.elapsedMillis();
	}

	private void restore() {
		this.impaired = true;
		this.fleet.setStoreSilent(true);
		this.fleet.advance(this.random.nextInt(3_000), (elapsed) -> check());
		this.fleet.restoreStore(this.copies.get(Math.max(0, this.copies.size() - 1 - this.random.nextInt(3))));
		this.fleet.setStoreSilent(false);
		this.copies.clear();
		List<Rewrite> rewrites = new ArrayList<>();
		this.written.forEach((table, records) -> records.forEach((key, record) -> rewrites
			.add(new Rewrite(table, key, record.value, this.random.nextLong(MAX_REWRITE_MILLIS)))));
		rewrites.sort((first, second) -> Long.compare(first.delayMillis, second.delayMillis));
		long elapsed = 0;
		for (Rewrite rewrite : rewrites) {
			this.fleet.advance(rewrite.delayMillis - elapsed, (now) -> check());
			elapsed = rewrite.delayMillis;
			this.fleet.put(rewrite.table, rewrite.key, rewrite.value);
		}
		this.copies.add(this.fleet.copyStore());
		endImpairment();
	}

	private void endImpairment() {
		this.impaired = false;
		this.impairedMillis = this.fleet.elapsedMillis();
	}

	private void check() {
		this.fleet.instances().forEach(this::checkNothingGoesBack);
		long now = this.fleet.elapsedMillis();
		if (!this.impaired && now - this.impairedMillis > CONTACT_MILLIS) {
			this.fleet.instances().stream().filter((each) -> each != this.cutOff).forEach(this::checkChangesAreInForce);
		}
	}

	private void checkNothingGoesBack(SimulatedFleet.Instance instance) {
		long known = instance.configurationVersion();
		Assert.assertTrue(known >= this.versions.getOrDefault(instance, 0L), describe(instance, "version " + known));
		this.versions.put(instance, known);
		Set<EndpointId> draining = this.knownAsDraining.computeIfAbsent(instance, (key) -> new HashSet<>());
		for (int i = 0; i < ENDPOINTS; i++) {
			EndpointId endpoint = EndpointId.of("i-" + i);
			if (isWrittenAsDraining(endpoint) && !instance.entries().mayServe(endpoint)) {
				draining.add(endpoint);
			}
			else {
				Assert.assertFalse(draining.contains(endpoint), describe(instance, endpoint + " is used again"));
			}
		}
	}

	private void checkChangesAreInForce(SimulatedFleet.Instance instance) {
		if (isDue(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY, MAX_DELAY_MILLIS)) {
			Assert.assertEquals(instance.configurationVersion(), this.version, describe(instance, "version"));
		}
		for (String zone : ZONES) {
			String key = ConfigurationFormat.EVACUATION_KEY_PREFIX + zone;
			if (isDue(Tables.OPERATORS, key, MAX_EVACUATION_DELAY_MILLIS)) {
				boolean isOut = !this.written.get(Tables.OPERATORS).get(key).value.isEmpty();
				Assert.assertEquals(instance.knowsZoneAsOut(zone), isOut, describe(instance, zone + " is out"));
			}
		}
		for (int i = 0; instance.isHome() && i < ENDPOINTS; i++) {
			EndpointId endpoint = EndpointId.of("i-" + i);
			if (isWrittenAsDraining(endpoint) && isDue(Tables.WORKERS, endpoint.value(), MAX_DELAY_MILLIS)) {
				Assert.assertFalse(instance.entries().mayServe(endpoint), describe(instance, endpoint + " is used"));
			}
		}
	}

	private boolean isWrittenAsDraining(EndpointId endpoint) {
		return this.written.get(Tables.WORKERS).get(endpoint.value()).value.contains("draining");
	}

	// The bound counts from the write or from the end of the last impairment.
	private boolean isDue(String table, String key, long boundMillis) {
		Written record = this.written.get(table).get(key);
		long now = this.fleet.elapsedMillis();
		return record != null && now - Math.max(record.millis, this.impairedMillis) > boundMillis;
	}

	private String describe(SimulatedFleet.Instance instance, String what) {
		return what + " at " + instance.zone() + ", " + this.fleet.elapsedMillis() + " ms, last impairment "
				+ this.impairedMillis + " ms";
	}

	/**
	 * What was written last for a key, and when.
	 */
	private record Written(String value, long millis) {
	}

	/**
	 * A record that is written again after a restore.
	 */
	private record Rewrite(String table, String key, String value, long delayMillis) {
	}

}
