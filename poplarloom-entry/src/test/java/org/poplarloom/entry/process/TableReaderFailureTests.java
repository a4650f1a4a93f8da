package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.entry.Settings;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;
import org.poplarloom.port.KeyedTablePort;

/**
 * Measures how late changes reach instances that leave the reads of the platform's tables
 * to a few readers, while these or their links fail.
 * <p>
 * Run more seeds with {@code -Dreaders.seeds=N}.
 */
public class TableReaderFailureTests {

	private static final int DEFAULT_SEEDS = 2;

	private static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final Settings.TableReaders READERS = new Settings.TableReaders(2, 9);

	private static final int INSTANCES = 31;

	private static final int ENDPOINTS = 40;

	private static final long START_MILLIS = 8_000;

	private static final long DURATION_MILLIS = 20_000;

	/** The strictest bound of the deployments: a change must be in force after 2 s. */
	private static final long MAX_DELAY_MILLIS = 2_000;

	/** Bounds hold again this long after an impairment of the instance itself. */
	private static final long CONTACT_MILLIS = 1_000;

	/** The bound of the last rank, one decision and one read. */
	private static final long MAX_AGE_MILLIS = 2_900;

	private static final long CHECK_PERIOD_MILLIS = 5;

	private SimulatedFleet fleet;

	private Random random;

	/** The times at which versions and draining entries were accepted, in order. */
	private final List<Long> versionsMillis = new ArrayList<>();

	private final Map<EndpointId, Long> drainingMillis = new LinkedHashMap<>();

	/** Since when instances that were impaired are in contact again. */
	private final Map<SimulatedFleet.Instance, Long> contactMillis = new HashMap<>();

	private long maxDelayMillis;

	private long maxAgeMillis;

	private String latest = "";

	/**
	 * A failure, which begins and ends while changes are published.
	 */
	private enum Failure {

		NONE((test) -> test.run(DURATION_MILLIS)),

		READER_KILLED((test) -> {
			test.readers(0, 1).forEach(SimulatedFleet.Instance::kill);
			test.run(DURATION_MILLIS);
		}),

		ALL_READERS_OF_A_ZONE_KILLED((test) -> {
			test.readers(0, 2).forEach(SimulatedFleet.Instance::kill);
			test.run(DURATION_MILLIS);
		}),

		READERS_FROZEN((test) -> test.impair(test.readers(0, 2), (reader) -> reader.setFrozen(true),
				(reader) -> reader.setFrozen(false), 6_000, true)),

		READERS_REJECTED_BY_THE_STORE((test) -> test.impair(test.readers(0, 2),
				(reader) -> reader.setStoreReachable(false), (reader) -> reader.setStoreReachable(true), 9_000, false)),

		READER_WITHOUT_ANSWERS_OF_THE_STORE((test) -> test.impair(test.readers(0, 1),
				(reader) -> reader.setStoreSilent(true), (reader) -> reader.setStoreSilent(false), 9_000, false)),

		ALL_READERS_WITHOUT_ANSWERS_OF_THE_STORE((test) -> test.impair(test.readers(0, 2),
				(reader) -> reader.setStoreSilent(true), (reader) -> reader.setStoreSilent(false), 9_000, false)),

		READERS_CUT_OFF_FROM_THEIR_ZONE((test) -> {
			List<SimulatedFleet.Instance> readers = test.readers(0, 2);
			test.fleet.setLinks(
					(from, to) -> readers.contains(from) == readers.contains(to) || !from.zone().equals(to.zone()));
			test.run(9_000);
			test.fleet.setLinks((from, to) -> true);
			test.run(DURATION_MILLIS - 9_000);
		}),

		A_THIRD_REJECTED_BY_THE_STORE((test) -> test.impair(
				IntStream.range(0, INSTANCES / 3).mapToObj((i) -> test.fleet.instances().get(i)).toList(),
				(reader) -> reader.setStoreReachable(false), (reader) -> reader.setStoreReachable(true), 9_000, false)),

		STORE_SILENT((test) -> {
			test.fleet.setStoreSilent(true);
			test.isPaused = true;
			test.run(500 + test.random.nextInt(6_000));
			test.fleet.setStoreSilent(false);
			test.allInContactIn(CONTACT_MILLIS);
			test.isPaused = false;
			test.run(DURATION_MILLIS / 2);
		}),

		STORE_RESTORED((test) -> {
			Map<String, List<KeyedTablePort.Entry>> copy = test.fleet.copyStore();
			test.run(3_000);
			test.isPaused = true;
			test.fleet.setStoreSilent(true);
			test.run(test.random.nextInt(2_000));
			test.fleet.restoreStore(copy);
			test.fleet.setStoreSilent(false);
			test.run(test.random.nextInt(1_000));
			test.writeAgain();
			test.allInContactIn(CONTACT_MILLIS);
			test.isPaused = false;
			test.run(DURATION_MILLIS / 2);
		}),

		HISTORY_DROPPED((test) -> {
			for (int i = 0; i < 10; i++) {
				test.run(1_500);
				test.fleet.dropHistory(Tables.OPERATORS);
				test.fleet.dropHistory(Tables.WORKERS);
			}
		}),

		NOTICES_LOST((test) -> {
			test.fleet.loseNotices(1);
			test.run(DURATION_MILLIS);
		}),

		ANSWERS_AND_NOTICES_LOST((test) -> {
			test.fleet.loseNotices(0.5);
			test.fleet.loseAnswers(0.1);
			test.run(DURATION_MILLIS);
		}),

		ALL_RESTARTED((test) -> {
			for (SimulatedFleet.Instance instance : List.copyOf(test.fleet.instances())) {
				test.contactMillis.put(test.fleet.restart(instance), test.fleet.elapsedMillis() + CONTACT_MILLIS);
			}
			test.run(DURATION_MILLIS);
		});

		private final Consumer<TableReaderFailureTests> course;

		Failure(Consumer<TableReaderFailureTests> course) {
			this.course = course;
		}

	}

	private boolean isPaused;

	private long nextChangeMillis;

	@DataProvider
	public static Object[][] runs() {
		int seeds = Integer.getInteger("readers.seeds", DEFAULT_SEEDS);
		return Arrays.stream(Failure.values())
			.flatMap((failure) -> IntStream.rangeClosed(1, seeds)
				.mapToObj((seed) -> new Object[] { failure.name(), (long) seed }))
			.toArray(Object[][]::new);
	}

	/**
	 * Guards against changes that are in force too late because the few instances that
	 * read them have failed in the way that the failure names.
	 */
	@Test(dataProvider = "runs")
	public void changesAreInForceInTime(String failure, long seed) {
		startFleet(seed);
		Failure.valueOf(failure).course.accept(this);
		String found = failure + " seed " + seed + ": delay " + this.maxDelayMillis + " ms, age of a copy "
				+ this.maxAgeMillis + " ms, latest " + this.latest;
		if (Boolean.getBoolean("readers.report")) {
			System.out.println(found);
		}
		Assert.assertTrue(this.maxDelayMillis <= MAX_DELAY_MILLIS, found);
		Assert.assertTrue(this.maxAgeMillis <= MAX_AGE_MILLIS, found);
	}

	private void startFleet(long seed) {
		this.fleet = new SimulatedFleet(seed, READERS);
		this.random = new Random(seed);
		this.versionsMillis.clear();
		this.drainingMillis.clear();
		this.contactMillis.clear();
		this.maxDelayMillis = 0;
		this.maxAgeMillis = 0;
		this.isPaused = false;
		this.fleet.startInstances(INSTANCES, ZONES);
		publish();
		IntStream.range(0, ENDPOINTS).forEach((i) -> putEntry(i, "ready"));
		this.fleet.advance(START_MILLIS + this.random.nextInt(2_000));
		this.nextChangeMillis = this.fleet.elapsedMillis();
	}

	// The first ones of each zone's order, which is the same at all instances.
	private List<SimulatedFleet.Instance> readers(int from, int to) {
		List<SimulatedFleet.Instance> readers = new ArrayList<>();
		for (String zone : ZONES) {
			List<SimulatedFleet.Instance> zoneReaders = new ArrayList<>(this.fleet.instances()
				.stream()
				.filter((instance) -> instance.zone().equals(zone) && instance.reading().isReading())
				.toList());
			Assert.assertEquals(zoneReaders.size(), READERS.perZone(), "readers of " + zone);
			zoneReaders.sort((first, second) -> Boolean.compare(second.isHome(), first.isHome()));
			readers.addAll(zoneReaders.subList(from, to));
		}
		return readers;
	}

	private void impair(List<SimulatedFleet.Instance> impaired, Consumer<SimulatedFleet.Instance> begin,
			Consumer<SimulatedFleet.Instance> end, long millis, boolean losesContact) {
		impaired.forEach(begin);
		if (losesContact) {
			impaired
				.forEach((each) -> this.contactMillis.put(each, this.fleet.elapsedMillis() + millis + CONTACT_MILLIS));
		}
		run(millis);
		impaired.forEach(end);
		run(DURATION_MILLIS - millis);
	}

	private void allInContactIn(long millis) {
		this.fleet.instances()
			.forEach((instance) -> this.contactMillis.put(instance, this.fleet.elapsedMillis() + millis));
	}

	private void writeAgain() {
		this.fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(this.versionsMillis.size(), "model", "app"));
		for (int i = 0; i < ENDPOINTS; i++) {
			putEntry(i, this.drainingMillis.containsKey(EndpointId.of("i-" + i)) ? "draining" : "ready");
		}
	}

	private void publish() {
		this.versionsMillis.add(this.fleet.elapsedMillis());
		this.fleet.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(this.versionsMillis.size(), "model", "app"));
	}

	private void putEntry(int endpoint, String state) {
		this.fleet.put(Tables.WORKERS, "i-" + endpoint, WorkerStandIn.entry("model", ZONES.get(endpoint % ZONES.size()),
				state, "10.1.0." + endpoint + ":80", WorkerStandIn.FIRST_LIFETIME, (int) this.fleet.elapsedMillis()));
	}

	private void run(long millis) {
		this.fleet.advance(millis, (elapsed) -> {
			if (elapsed >= this.nextChangeMillis && !this.isPaused) {
				change();
				this.nextChangeMillis = elapsed + 20 + this.random.nextInt(1_500);
			}
			if (elapsed % CHECK_PERIOD_MILLIS == 0) {
				this.fleet.instances().stream().filter(SimulatedFleet.Instance::isAlive).forEach(this::check);
			}
		});
	}

	private void change() {
		if (this.random.nextBoolean() && this.drainingMillis.size() < ENDPOINTS) {
			int endpoint = this.drainingMillis.size();
			putEntry(endpoint, "draining");
			this.drainingMillis.put(EndpointId.of("i-" + endpoint), this.fleet.elapsedMillis());
		}
		else {
			publish();
		}
	}

	private void check(SimulatedFleet.Instance instance) {
		long since = this.contactMillis.getOrDefault(instance, 0L);
		if (this.isPaused || this.fleet.elapsedMillis() < since) {
			return;
		}
		int known = (int) instance.configurationVersion();
		if (known < this.versionsMillis.size()) {
			record(instance, "version " + (known + 1), Math.max(since, this.versionsMillis.get(known)));
		}
		this.drainingMillis.forEach((endpoint, millis) -> {
			if (instance.entries().mayServe(endpoint)) {
				record(instance, endpoint + " draining", Math.max(since, millis));
			}
		});
		if (!instance.reading().isReading()) {
			this.maxAgeMillis = Math.max(this.maxAgeMillis, instance.reading().ageMillis());
		}
	}

	private void record(SimulatedFleet.Instance instance, String change, long acceptedMillis) {
		long delayMillis = this.fleet.elapsedMillis() - acceptedMillis;
		if (delayMillis > this.maxDelayMillis) {
			this.maxDelayMillis = delayMillis;
			this.latest = change + " at " + instance.zone() + " in " + this.fleet.elapsedMillis() + " ms, reads: "
					+ instance.reading().isReading();
		}
	}

}
