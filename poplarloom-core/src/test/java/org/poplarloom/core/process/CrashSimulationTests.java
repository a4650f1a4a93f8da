package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Measures how often sound requests and parts of prompts are refused because endpoints
 * crashed, and how many endpoints harmful ones crash before they are refused.
 * <p>
 * Each seed is one incident or one harmful cause. The system properties
 * {@code harm.seeds} and {@code harm.endpoints} set their number and the size, which is
 * 1,975 endpoints of one model in docs/CAPACITY.md.
 */
public class CrashSimulationTests {

	private static final int DEFAULT_SEEDS = 5;

	private static final int DEFAULT_ENDPOINTS = 300;

	private static final long WARM_UP_MILLIS = 20_000;

	private static final long AFTERWARDS_MILLIS = 30_000;

	private static final long HARMFUL_WARM_UP_MILLIS = 5_000;

	private static final long HARMFUL_MILLIS = 30_000;

	private static final String HARM = "harm";

	/** The rules count requests later than this after the third crash. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final int MAX_LATE_CRASHES = 3;

	private static final int KINDS = 5;

	/** Of the requests that an incident ended, at most these may be refused later. */
	private static final double MAX_REFUSED_RATIO = 0.01;

	private final Map<String, Integer> refused = new TreeMap<>();

	private final Map<Integer, List<Integer>> harmfulCrashes = new TreeMap<>();

	private long endedByIncidents;

	private int incidents;

	@DataProvider
	public static Object[] seeds() {
		return IntStream.range(0, Integer.getInteger("harm.seeds", DEFAULT_SEEDS)).boxed().toArray();
	}

	private static CrashSimulation newSimulation(int seed) {
		return new CrashSimulation(seed, Integer.getInteger("harm.endpoints", DEFAULT_ENDPOINTS));
	}

	private static void crash(CrashSimulation simulation, int seed) {
		switch (seed % KINDS) {
			case 0 -> simulation.crashEndpoints(0.17, 10_000, CrashSimulation.DOWN_MILLIS);
			case 1 -> simulation.crashEndpoints(0.17, 1_000, CrashSimulation.DOWN_MILLIS);
			case 2 -> simulation.crashEndpoints(0.17, 40_000, CrashSimulation.DOWN_MILLIS);
			case 3 -> simulation.crashEndpoints(1, 20_000, CrashSimulation.DOWN_MILLIS);
			default -> simulation.crashEndpoints(1, 10_000, 15_000);
		}
	}

	/**
	 * Guards against the refusal of what many callers share because a part of the
	 * endpoints, or all of them, crashed one after the other.
	 */
	@Test(dataProvider = "seeds")
	public void nothingThatCallersShareIsRefusedAfterAnIncident(int seed) {
		CrashSimulation simulation = newSimulation(seed);
		simulation.advance(WARM_UP_MILLIS);
		crash(simulation, seed);
		simulation.advance(40_000 + AFTERWARDS_MILLIS);
		this.incidents++;
		this.endedByIncidents += simulation.endedRequests();
		for (String cause : simulation.refused()) {
			this.refused.merge(cause.replaceFirst(" .*", ""), 1, Integer::sum);
		}
		List<String> shared = simulation.refused()
			.stream()
			.filter((cause) -> cause.startsWith("lookup ") || cause.startsWith("team "))
			.toList();
		Assert.assertEquals(shared, List.of(), simulation.crashes() + " crashes");
		Assert.assertTrue(simulation.refused().size() <= MAX_REFUSED_RATIO * simulation.endedRequests(),
				simulation.refused() + " refused, " + simulation.endedRequests() + " ended");
	}

	/**
	 * Guards against the refusal of what many callers share because endpoints reset some
	 * of their connections without a crash.
	 */
	@Test(dataProvider = "seeds")
	public void nothingThatCallersShareIsRefusedBecauseConnectionsAreReset(int seed) {
		CrashSimulation simulation = newSimulation(seed);
		simulation.advance(WARM_UP_MILLIS);
		simulation.resetConnections(0.14, 0.45, 10_000);
		simulation.advance(AFTERWARDS_MILLIS);
		List<String> shared = simulation.refused()
			.stream()
			.filter((cause) -> cause.startsWith("lookup ") || cause.startsWith("team "))
			.toList();
		Assert.assertEquals(shared, List.of(), simulation.endedRequests() + " requests lost their connection");
		Assert.assertTrue(simulation.refused().size() <= MAX_REFUSED_RATIO * simulation.endedRequests(),
				simulation.refused() + " refused, " + simulation.endedRequests() + " lost their connection");
	}

	/**
	 * Guards against a harmful request or part that goes on crashing endpoints because
	 * sound traffic or other crashes hide it.
	 */
	@Test(dataProvider = "seeds")
	public void aHarmfulCauseIsRefusedInTimeBesideSoundTraffic(int seed) {
		CrashSimulation simulation = newSimulation(seed);
		int kind = seed % KINDS;
		simulation.advance(HARMFUL_WARM_UP_MILLIS);
		boolean isPart = kind == 1 || kind == 4;
		double perSecond = (kind == 2) ? 10 : 1;
		simulation.sendHarmful(HARM, isPart, perSecond);
		if (kind >= 3) {
			simulation.crashEndpoints(0.17, 20_000, CrashSimulation.DOWN_MILLIS);
		}
		simulation.advance(HARMFUL_MILLIS);
		List<Long> crashes = simulation.crashMillis(HARM);
		this.harmfulCrashes.computeIfAbsent(kind, (key) -> new ArrayList<>()).add(crashes.size());
		Assert.assertTrue(simulation.refused().contains(HARM), crashes.size() + " crashes were not noticed");
		int crashesBeforeContact = isPart ? 5 : 3;
		if (crashes.size() > crashesBeforeContact) {
			long contactEnd = crashes.get(crashesBeforeContact - 1) + CONTACT_MILLIS;
			long late = crashes.stream().filter((millis) -> millis > contactEnd).count();
			Assert.assertTrue(late <= MAX_LATE_CRASHES, late + " endpoints crashed late: " + crashes);
		}
	}

	@AfterClass
	public void report() {
		Reporter.log("incidents=" + this.incidents + " ended=" + this.endedByIncidents + " refused=" + this.refused,
				true);
		this.harmfulCrashes.forEach((kind, crashes) -> Reporter.log(
				"harmful kind=" + kind + " crashes=" + crashes.stream().mapToInt(Integer::intValue).summaryStatistics(),
				true));
	}

}
