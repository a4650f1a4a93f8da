package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;

/**
 * Tests for {@link EndpointSpeed} with {@link SpeedAwarePlacement}, with the engines and
 * prompts of deployment P: a slow engine that keeps its load, an engine that is taken for
 * slow because its prompts wait, and one that stays without load after it has recovered.
 */
public class EndpointSpeedTests {

	private static final InstanceId HOLDER = InstanceId.of("holder");

	private static final EngineModel ENGINE = new EngineModel(1.31, 0.0013, 0.00213, 177, 0.184, 34);

	private static final int ENGINES = 4;

	private static final int SLOTS = 8;

	private static final long SHORT_TOKENS = 4_960;

	private static final long MEDIUM_TOKENS = 45_000;

	private static final long SHORT_TARGET_MILLIS = 263;

	private static final long MEDIUM_TARGET_MILLIS = 1_520;

	/** From the home to the engine and back. */
	private static final long MESSAGE_MILLIS = 40;

	/** Half of the current pass and the whole next one. */
	private static final double MEAN_PASSES = 1.5;

	private static final long ANSWER_MILLIS = 400;

	/** Guards against a slow engine that keeps its load while others are free. */
	@Test
	public void anEngineFiveTimesSlowerLosesItsShortPromptsWithinThreeAnswers() {
		Fleet fleet = new Fleet(true);
		fleet.slowness[0] = 5;
		while (fleet.firstTokens[0] < 3) {
			fleet.runShortLoad(75);
		}
		int before = fleet.granted[0];
		fleet.runShortLoad(10_000);
		int later = fleet.granted[0] - before;
		Assert.assertTrue(later >= 3 && later <= 6, "one probe every 2 s, but " + later + " prompts");
		Fleet unaware = new Fleet(false);
		unaware.slowness[0] = 5;
		unaware.runShortLoad(10_000);
		Assert.assertTrue(unaware.granted[0] > 20, unaware.granted[0] + " prompts without the switch");
	}

	/** Guards against a slow engine that prefills medium or long prompts of others. */
	@Test
	public void anEngineFiveTimesSlowerLosesItsMediumPrompts() {
		Fleet fleet = new Fleet(true);
		fleet.slowness[0] = 5;
		int before = 0;
		for (int i = 0; i < 40; i++) {
			fleet.request(MEDIUM_TOKENS, MEDIUM_TARGET_MILLIS);
			fleet.runUntil(fleet.now + 700);
			before = (fleet.firstTokens[0] <= 3) ? fleet.granted[0] : before;
		}
		Assert.assertTrue(fleet.granted[0] - before <= 10, fleet.granted[0] + " prompts");
	}

	/** Guards against an engine that never gets its load back. */
	@Test
	public void anEngineThatHasRecoveredGetsItsLoadBackByProbes() {
		Fleet fleet = new Fleet(true);
		fleet.slowness[0] = 5;
		fleet.runShortLoad(10_000);
		fleet.slowness[0] = 1;
		fleet.runShortLoad(3 * EndpointSpeed.PROBE_PERIOD_MILLIS);
		int before = fleet.granted[0];
		fleet.runShortLoad(10_000);
		Assert.assertTrue(fleet.granted[0] - before > 20, fleet.granted[0] - before + " prompts");
	}

	/** Guards against a figure of an earlier process. */
	@Test
	public void anEngineThatHasStartedAgainCountsAsUsual() {
		Fleet fleet = new Fleet(true);
		fleet.slowness[0] = 5;
		fleet.runShortLoad(5_000);
		fleet.slowness[0] = 1;
		fleet.observe("boot-2");
		int before = fleet.granted[0];
		fleet.runShortLoad(3_000);
		Assert.assertTrue(fleet.granted[0] - before > 5, fleet.granted[0] - before + " prompts");
	}

	/**
	 * Guards against waiting that is taken for slowness: bursts of prompts on full
	 * engines, with medium prompts before short ones.
	 */
	@Test
	public void burstsOnFullEnginesMakeNoEngineSlow() {
		Fleet fleet = new Fleet(true);
		for (int burst = 0; burst < 10; burst++) {
			for (int i = 0; i < 60; i++) {
				fleet.request((i % 5 == 0) ? MEDIUM_TOKENS : SHORT_TOKENS, MEDIUM_TARGET_MILLIS);
			}
			for (int i = 0; i < 40; i++) {
				fleet.runUntil(fleet.now + 50);
				Assert.assertFalse(fleet.home.describeQueue(fleet.now).contains("slow="),
						fleet.home.describeQueue(fleet.now));
			}
		}
	}

	/** Guards against all endpoints being avoided when all are slow. */
	@Test
	public void whenAllEnginesAreSlowAllAreUsed() {
		Fleet fleet = new Fleet(true);
		Arrays.fill(fleet.slowness, 5);
		fleet.runShortLoad(10_000);
		Assert.assertEquals(Arrays.stream(fleet.granted).sum(), fleet.requests);
	}

	/** Guards against one delayed message that changes where prompts go. */
	@Test
	public void aSingleDelayChangesNothing() {
		EndpointSpeed speed = new EndpointSpeed();
		speed.setLearning(true);
		long[] delays = { 60, 60, 5_000, 60, 60, 5_000, 60 };
		long now = 0;
		for (int i = 0; i < delays.length; i++) {
			speed.start("k" + i, 30, false, true, now);
			now += delays[i];
			speed.finish("k" + i, 0, now);
			Assert.assertEquals(speed.factor(false), 1.0, "after answer " + i);
		}
		Assert.assertFalse(speed.isSlow(true, now));
	}

	/** What happens at the home, in the order of time. */
	private record Event(long timeMillis, Runnable action) {
	}

	/** A home with its engines, in virtual time. */
	private static final class Fleet {

		private final ShardHome home = ShardHome.of(new SpeedAwarePlacement(new CostPlacement()),
				new ColdStartRamp.Settings(6, 1, 1), 0);

		private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::timeMillis));

		private final double[] slowness = new double[ENGINES];

		private final double[] busyUntilMillis = new double[ENGINES];

		private final int[] granted = new int[ENGINES];

		private final int[] firstTokens = new int[ENGINES];

		private long now = 1_000;

		private int requests;

		Fleet(boolean isLearning) {
			Arrays.fill(this.slowness, 1);
			observe("boot-1");
			this.home.learnSpeeds(isLearning);
		}

		void observe(String bootOfFirst) {
			List<EndpointReport> reports = new ArrayList<>();
			for (int i = 0; i < ENGINES; i++) {
				reports.add(new EndpointReport(EndpointId.of("e" + i), (i == 0) ? bootOfFirst : "boot-1", false,
						Set.of("model"), SLOTS, 315_000, 177_000, 0, 1_000_000, Set.of(), this.now, ENGINE));
			}
			handle(this.home.observe(reports, Set.of(), this.now));
		}

		void request(long promptTokens, long targetMillis) {
			LatencyTarget target = new LatencyTarget(this.now + targetMillis, this.now + 10_000, 250);
			GrantRequest request = new GrantRequest("r" + this.requests++, 1, TeamId.of("team"), "model", promptTokens,
					100, 0, this.now + 10_000, false, Set.of(), target, null);
			if (this.home.request(HOLDER, request, this.now) instanceof GrantDecision.Granted decision) {
				run(decision.grant());
			}
		}

		private void handle(List<HomeDecision> decisions) {
			for (HomeDecision decision : decisions) {
				if (decision.decision() instanceof GrantDecision.Granted grantedDecision) {
					run(grantedDecision.grant());
				}
			}
		}

		// An engine prefills one prompt after another, from the end of a pass on.
		private void run(Grant grant) {
			int engine = Integer.parseInt(grant.answeringEndpoint().value().substring(1));
			this.granted[engine]++;
			double prefill = ENGINE.prefillMillis(grant.request().promptTokens()) * this.slowness[engine];
			double startMillis = Math.max(this.busyUntilMillis[engine], this.now + MESSAGE_MILLIS / 2);
			this.busyUntilMillis[engine] = startMillis + prefill;
			double passMillis = ENGINE.passMillis(SLOTS / 2, SLOTS / 2 * SHORT_TOKENS) * this.slowness[engine];
			long firstMillis = (long) (this.busyUntilMillis[engine] + MEAN_PASSES * passMillis) + MESSAGE_MILLIS / 2;
			this.events.add(new Event(firstMillis, () -> {
				this.firstTokens[engine]++;
				handle(this.home.recordFirstToken(grant.key(), this.now));
			}));
			this.events
				.add(new Event(firstMillis + ANSWER_MILLIS, () -> handle(this.home.release(grant.key(), this.now))));
		}

		void runUntil(long timeMillis) {
			while (!this.events.isEmpty() && this.events.peek().timeMillis() <= timeMillis) {
				Event event = this.events.poll();
				this.now = Math.max(this.now, event.timeMillis());
				event.action().run();
			}
			this.now = timeMillis;
			handle(this.home.tick(this.now));
		}

		// Short prompts at the rate that 4 of 60 engines get.
		void runShortLoad(long durationMillis) {
			long endMillis = this.now + durationMillis;
			while (this.now < endMillis) {
				request(SHORT_TOKENS, SHORT_TARGET_MILLIS);
				runUntil(this.now + 75);
			}
		}

	}

}
