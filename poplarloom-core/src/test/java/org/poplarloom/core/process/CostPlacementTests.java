package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.ParallelPrefill;
import org.poplarloom.core.request.Share;

/**
 * Tests of a home with {@link CostPlacement} under typical load patterns, in virtual
 * time. They guard against prefill that pauses answers for too long, first tokens that
 * miss their target while suitable endpoints are idle, and estimates that drift.
 */
public class CostPlacementTests {

	private static final EngineModel ENGINE = new EngineModel(1.31, 0.0013, 0.00213, 154, 0.162, 34);

	private static final InstanceId HOLDER = InstanceId.of("edge-1");

	private static final TeamId TEAM = TeamId.of("rota");

	private static final int ENGINES = 8;

	private static final int SLOTS = 11;

	private static final long KV_TOKENS = 405_000;

	private static final long SHORT_TARGET_MILLIS = 300;

	private static final long LONG_TARGET_MILLIS = 3_000;

	private static final long SHORT_PAUSE_MILLIS = 250;

	private static final long LONG_PAUSE_MILLIS = 1_000;

	private static EndpointReport report(int index, long requestedMillis) {
		return new EndpointReport(EndpointId.of("e" + index), "boot", false, Set.of("model"), SLOTS, KV_TOKENS, 154_000,
				0, 3_600_000, Set.of(), requestedMillis, ENGINE);
	}

	private static ShardHome home(int engines) {
		ShardHome home = ShardHome.of(new CostPlacement(), new ColdStartRamp.Settings(6, 1, 1), 0);
		List<EndpointReport> reports = new ArrayList<>();
		for (int i = 0; i < engines; i++) {
			reports.add(report(i, 1));
		}
		home.observe(reports, Set.of(), 1);
		return home;
	}

	private static GrantRequest request(String id, long promptTokens, long nowMillis) {
		boolean isLong = promptTokens > 32_768;
		long target = isLong ? LONG_TARGET_MILLIS : SHORT_TARGET_MILLIS;
		LatencyTarget latencyTarget = new LatencyTarget(nowMillis + target, nowMillis + Math.max(2_000, 4 * target),
				isLong ? LONG_PAUSE_MILLIS : SHORT_PAUSE_MILLIS);
		return new GrantRequest(id, 1, TEAM, "model", promptTokens, 1_300, 0, nowMillis + 15_000, false, Set.of(),
				latencyTarget, null);
	}

	private static Grant granted(GrantDecision decision) {
		Assert.assertTrue(decision instanceof GrantDecision.Granted, String.valueOf(decision));
		return ((GrantDecision.Granted) decision).grant();
	}

	private static Set<EndpointId> endpoints(Grant grant) {
		Set<EndpointId> endpoints = new HashSet<>();
		grant.shares().forEach((share) -> endpoints.add(share.endpoint()));
		return endpoints;
	}

	/**
	 * Load pattern: a few long prompts among many short ones. The prefill of a long
	 * prompt delays all answers on the same engine.
	 */
	public static class LongAmongShortPrompts {

		@Test
		public void shortPromptsArePackedAndLeaveEnginesFree() {
			ShardHome home = home(ENGINES);
			Set<EndpointId> used = new HashSet<>();
			for (int i = 0; i < 10; i++) {
				Grant grant = granted(home.request(HOLDER, request("s" + i, 4_960, i * 100L), i * 100L));
				home.recordFirstToken(grant.key(), i * 100L + 60);
				used.addAll(endpoints(grant));
			}
			Assert.assertTrue(used.size() <= 2, "ten short prompts use " + used);
		}

		@Test
		public void longPromptIsPrefilledInTimeOnEnginesWithoutAnswers() {
			ShardHome home = home(ENGINES);
			Grant answer = granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			home.recordFirstToken(answer.key(), 60);
			Grant grant = granted(home.request(HOLDER, request("l", 182_000, 100), 100));
			double partMillis = ENGINE.prefillMillis(182_000) / grant.shares().size();
			Assert.assertTrue(partMillis < LONG_TARGET_MILLIS,
					grant.shares().size() + " engines take " + partMillis + " ms");
			Assert.assertFalse(endpoints(grant).contains(answer.answeringEndpoint()));
		}

		@Test
		public void shortPromptAvoidsEnginesThatPrefillALongOne() {
			ShardHome home = home(ENGINES);
			Grant prefilling = granted(home.request(HOLDER, request("l", 182_000, 0), 0));
			for (int i = 0; i < 20; i++) {
				Grant grant = granted(home.request(HOLDER, request("s" + i, 4_960, i * 50L), i * 50L));
				Assert.assertFalse(endpoints(prefilling).contains(grant.answeringEndpoint()),
						"short prompt on " + grant);
				home.recordFirstToken(grant.key(), i * 50L + 45);
			}
		}

		@Test
		public void secondPartIsRefusedIfBothWouldPauseAnAnswerTooLong() {
			ShardHome home = home(1);
			Grant answer = granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			home.recordFirstToken(answer.key(), 60);
			GrantRequest first = partsRequest("p1", 110, 100);
			GrantRequest second = partsRequest("p2", 110, 105);
			granted(home.request(HOLDER, first, 100));
			GrantDecision decision = home.request(HOLDER, second, 105);
			Assert.assertTrue(decision instanceof GrantDecision.Refused,
					"two parts of 110 ms pause an answer that may pause for " + SHORT_PAUSE_MILLIS + " ms: "
							+ decision);
		}

		@Test
		public void recentlyGrantedPromptCountsInFullAgainstThePauseLimit() {
			ShardHome home = home(1);
			Grant answer = granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			home.recordFirstToken(answer.key(), 60);
			granted(home.request(HOLDER, request("t", 4_960, 100), 100));
			GrantDecision decision = home.request(HOLDER, partsRequest("p", 150, 135), 135);
			Assert.assertTrue(decision instanceof GrantDecision.Refused,
					"the engine prefills both in its next pass: " + decision);
		}

		@Test
		public void mediumPromptIsPlacedWhereItPausesNoAnswer() {
			ShardHome home = home(2);
			Grant answer = granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			home.recordFirstToken(answer.key(), 60);
			Grant medium = granted(home.request(HOLDER, request("m", 23_800, 100), 100));
			Assert.assertNotEquals(medium.answeringEndpoint(), answer.answeringEndpoint());
		}

		private static GrantRequest partsRequest(String id, double partMillis, long nowMillis) {
			GrantRequest plain = request(id, 45_000, nowMillis);
			return new GrantRequest(id, 1, TEAM, "model", plain.promptTokens(), 1_300, 0, plain.deadlineMillis(), false,
					Set.of(), plain.latencyTarget(), new ParallelPrefill(1, 1, partMillis, 10_000));
		}

		@Test
		public void helpersAreReleasedAtTheFirstToken() {
			ShardHome home = home(ENGINES);
			Grant grant = granted(home.request(HOLDER, request("l", 300_000, 0), 0));
			Assert.assertTrue(grant.shares().size() > 1);
			home.recordFirstToken(grant.key(), 2_000);
			for (Share share : grant.shares()) {
				int expected = share.endpoint().equals(grant.answeringEndpoint()) ? 1 : 0;
				Assert.assertEquals(home.runningOn(share.endpoint()), expected, share.endpoint().value());
			}
		}

	}

	/**
	 * Load pattern: while a zone is out, all engines generate answers of short prompts,
	 * so that a long prompt finds none without answers. It must neither pause them at
	 * once nor wait until its caller times out.
	 */
	public static class TooFewEngines {

		private static ShardHome homeWithRunningAnswer() {
			ShardHome home = home(1);
			Grant answer = granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			home.recordFirstToken(answer.key(), 60);
			return home;
		}

		@Test
		public void lateLongPromptWaitsForAnEngineWithoutAnswers() {
			ShardHome home = homeWithRunningAnswer();
			home.request(HOLDER, request("l", 182_000, 100), 100);
			Assert.assertTrue(home.tick(100 + LONG_TARGET_MILLIS + 500).isEmpty(),
					"an answer is paused for a late prompt");
			Assert.assertFalse(home.release(Grant.key("s", 1), 3_700).isEmpty(), "an engine is idle");
		}

		@Test
		public void lateLongPromptIsPlacedBeforeItsClientTimeout() {
			ShardHome home = homeWithRunningAnswer();
			home.request(HOLDER, request("l", 182_000, 100), 100);
			Assert.assertFalse(home.tick(100 + 4 * LONG_TARGET_MILLIS - 4_500).isEmpty(),
					"the caller times out while the prompt is queued");
		}

		@Test
		public void lateLongPromptUsesAsFewEnginesWithAnswersAsPossible() {
			ShardHome home = home(4);
			long now = 0;
			for (int i = 0; i < 4 * SLOTS - 4; i++) {
				now += 50;
				Grant answer = granted(home.request(HOLDER, request("s" + i, 4_960, now), now));
				home.recordFirstToken(answer.key(), now + 40);
			}
			home.request(HOLDER, request("l", 182_000, now), now);
			List<HomeDecision> decisions = home.tick(now + 4 * LONG_TARGET_MILLIS - 6_500);
			Assert.assertEquals(decisions.size(), 1);
			Grant late = ((GrantDecision.Granted) decisions.get(0).decision()).grant();
			Assert.assertEquals(late.shares().size(), 1, "answers on several engines pause: " + late.shares());
		}

	}

	/**
	 * Load pattern: more short prompts than the remaining endpoints can answer. Served in
	 * the order of arrival, all of them would start late.
	 */
	public static class Overload {

		/**
		 * Minimum fraction of the requests within the endpoints' capacity that must start
		 * in time. An order of dispatch that makes all requests late falls below it.
		 */
		private static final double MIN_IN_TIME_FRACTION_OF_CAPACITY = 0.8;

		private static final long ANSWER_MILLIS = 1_900;

		private static final long ARRIVAL_MILLIS = 70;

		@Test
		public void requestsThatCanStartInTimeAreDispatchedFirst() {
			ShardHome home = home(2);
			double capacityPerMilli = 2.0 * SLOTS / ANSWER_MILLIS;
			TreeMap<Long, List<Runnable>> events = new TreeMap<>();
			int[] inTime = new int[1];
			long end = 30_000;
			for (long now = 0; now < end; now += 10) {
				if (now % ARRIVAL_MILLIS == 0) {
					GrantRequest request = request("s" + now, 4_960, now);
					scheduleIfGranted(home, home.request(HOLDER, request, now), now, events, inTime);
				}
				List<Runnable> due = new ArrayList<>();
				events.headMap(now, true).values().forEach(due::addAll);
				events.headMap(now, true).clear();
				due.forEach(Runnable::run);
				for (HomeDecision decision : home.tick(now)) {
					scheduleIfGranted(home, decision.decision(), now, events, inTime);
				}
			}
			double possible = Math.min(1.0 / ARRIVAL_MILLIS, capacityPerMilli) * end;
			Assert.assertTrue(inTime[0] >= MIN_IN_TIME_FRACTION_OF_CAPACITY * possible,
					inTime[0] + " in time, " + (long) possible + " possible");
		}

		private static void scheduleIfGranted(ShardHome home, GrantDecision decision, long now,
				TreeMap<Long, List<Runnable>> events, int[] inTime) {
			if (!(decision instanceof GrantDecision.Granted granted)) {
				return;
			}
			GrantRequest request = granted.grant().request();
			inTime[0] += (now + 100 <= request.latencyTarget().firstTokenTargetMillis()) ? 1 : 0;
			events.computeIfAbsent(now + 100, (key) -> new ArrayList<>())
				.add(() -> home.recordFirstToken(request.key(), now + 100)
					.forEach((next) -> scheduleIfGranted(home, next.decision(), now + 100, events, inTime)));
			events.computeIfAbsent(now + ANSWER_MILLIS, (key) -> new ArrayList<>())
				.add(() -> home.release(request.key(), now + ANSWER_MILLIS)
					.forEach((next) -> scheduleIfGranted(home, next.decision(), now + ANSWER_MILLIS, events, inTime)));
		}

	}

	/**
	 * Load pattern: the load changes from long to short prompts within ten seconds.
	 * Prefill of the long prompts must not make the following short ones late.
	 */
	public static class ChangingLoad {

		/** Maximum fraction of short prompts that miss their target. */
		private static final double MAX_LATE_FRACTION = 0.1;

		@Test
		public void shortPromptsAfterLongOnesStartInTime() {
			ShardHome home = home(ENGINES);
			Random random = new Random(42);
			TreeMap<Long, List<Runnable>> events = new TreeMap<>();
			Map<EndpointId, Double> busyUntil = new HashMap<>();
			int[] late = new int[1];
			int[] started = new int[1];
			for (long now = 0; now < 20_000; now += 10) {
				long at = now;
				boolean isLongPhase = now < 9_500;
				if (random.nextDouble() < (isLongPhase ? 0.008 : 0.0005)) {
					arrive(home, request("l" + at, 182_000, at), at, events, busyUntil, late, started);
				}
				if (random.nextDouble() < (isLongPhase ? 0.04 : 0.27)) {
					arrive(home, request("s" + at, 4_960, at), at, events, busyUntil, late, started);
				}
				events.headMap(now, true).values().forEach((due) -> due.forEach(Runnable::run));
				events.headMap(now, true).clear();
				home.observe(reports(now), Set.of(), now);
			}
			Assert.assertTrue(started[0] > 250, started[0] + " short prompts started");
			Assert.assertTrue(late[0] <= MAX_LATE_FRACTION * started[0], late[0] + " of " + started[0] + " late");
		}

		private static List<EndpointReport> reports(long now) {
			List<EndpointReport> reports = new ArrayList<>();
			for (int i = 0; i < ENGINES; i++) {
				reports.add(report(i, now + 1));
			}
			return reports;
		}

		private static void arrive(ShardHome home, GrantRequest request, long now, TreeMap<Long, List<Runnable>> events,
				Map<EndpointId, Double> busyUntil, int[] late, int[] started) {
			GrantDecision decision = home.request(HOLDER, request, now);
			boolean isLong = request.lengthClass().isLong();
			if (!isLong) {
				started[0]++;
			}
			if (!(decision instanceof GrantDecision.Granted granted)) {
				home.release(request.key(), now);
				late[0] += isLong ? 0 : 1;
				return;
			}
			double partMillis = ENGINE.prefillMillis(request.promptTokens()) / granted.grant().shares().size();
			double firstToken = 0;
			for (Share share : granted.grant().shares()) {
				double end = Math.max(now, busyUntil.getOrDefault(share.endpoint(), 0.0)) + partMillis;
				busyUntil.put(share.endpoint(), end);
				firstToken = Math.max(firstToken, end);
			}
			late[0] += (!isLong && firstToken - now > SHORT_TARGET_MILLIS) ? 1 : 0;
			long firstMillis = (long) firstToken;
			events.computeIfAbsent(firstMillis, (key) -> new ArrayList<>())
				.add(() -> home.recordFirstToken(request.key(), firstMillis));
			events.computeIfAbsent(firstMillis + 1_700, (key) -> new ArrayList<>())
				.add(() -> home.release(request.key(), firstMillis + 1_700));
		}

	}

	/**
	 * Load pattern: a steady flow of requests for a minute. If prefill estimates that are
	 * too high added up, an engine would be considered busy and its requests refused.
	 */
	public static class SteadyLoad {

		@Test
		public void prefillBacklogOfSuccessivePromptsDoesNotDrift() {
			ShardHome home = home(1);
			for (long now = 0; now < 60_000; now += 30) {
				Grant grant = granted(home.request(HOLDER, request("s" + now, 6_000, now), false, now));
				home.recordFirstToken(grant.key(), now + 25);
				home.release(grant.key(), now + 26);
			}
		}

		@Test
		public void prefillBacklogOfOverlappingPromptsDoesNotDrift() {
			ShardHome home = home(1);
			Grant previous = null;
			for (long now = 0; now < 60_000; now += 40) {
				Grant grant = granted(home.request(HOLDER, request("s" + now, 6_000, now), false, now));
				if (previous != null) {
					home.recordFirstToken(previous.key(), now + 1);
					home.release(previous.key(), now + 1);
				}
				previous = grant;
			}
		}

	}

	/**
	 * Load pattern: a home without free endpoints while other homes have some. Its
	 * refusal must come at once, so that the holder tries another home.
	 */
	public static class FailFastRequests {

		@Test
		public void failFastRequestIsRefusedWithTheEstimatedWaitInsteadOfQueued() {
			ShardHome home = home(2);
			granted(home.request(HOLDER, request("l1", 250_000, 0), 0));
			GrantDecision decision = home.request(HOLDER, request("l2", 250_000, 10), false, 10);
			Assert.assertTrue(decision instanceof GrantDecision.Refused, String.valueOf(decision));
			GrantDecision.Refused refused = (GrantDecision.Refused) decision;
			Assert.assertEquals(refused.code(), ErrorCode.HOME_BUSY);
			Assert.assertTrue(refused.retryAfterMillis() > 1_000, refused.toString());
			Assert.assertEquals(home.summary(10).queued(), 0);
		}

		@Test
		public void promptLargerThanEveryEngineIsRefusedAtOnce() {
			GrantDecision decision = home(ENGINES).request(HOLDER, request("l", 434_037, 0), 0);
			Assert.assertTrue(decision instanceof GrantDecision.Refused, String.valueOf(decision));
			Assert.assertEquals(((GrantDecision.Refused) decision).code(), ErrorCode.NO_ENDPOINT);
		}

	}

	/**
	 * Load pattern: a prompt beyond one engine's memory, prefilled in parallel by idle
	 * engines of several zones.
	 */
	public static class ParallelParts {

		private static GrantRequest partsRequest(String id, int maxParts) {
			GrantRequest plain = request(id, 486_454, 0);
			return new GrantRequest(id, 1, TEAM, "model", plain.promptTokens(), 1_300, 0, plain.deadlineMillis(), false,
					Set.of(), plain.latencyTarget(), new ParallelPrefill(1, maxParts, 2_500, 55_000));
		}

		@Test
		public void partsAreGrantedOnIdleEnginesOnly() {
			ShardHome home = home(4);
			Grant answer = granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			home.recordFirstToken(answer.key(), 1);
			Grant grant = granted(home.request(HOLDER, partsRequest("p", 9), 1));
			Assert.assertEquals(grant.shares().size(), 3);
			Assert.assertFalse(endpoints(grant).contains(answer.answeringEndpoint()));
		}

		@Test
		public void partsStayAllocatedUntilTheirRelease() {
			ShardHome home = home(4);
			Grant grant = granted(home.request(HOLDER, partsRequest("p", 3), 0));
			home.recordFirstToken(grant.key(), 2_500);
			grant.shares().forEach((share) -> Assert.assertEquals(home.runningOn(share.endpoint()), 1));
			home.release(grant.key(), 4_000);
			grant.shares().forEach((share) -> Assert.assertEquals(home.runningOn(share.endpoint()), 0));
		}

		@Test
		public void homeWithoutIdleEnginesRefusesPartsAtOnce() {
			ShardHome home = home(1);
			granted(home.request(HOLDER, request("s", 4_960, 0), 0));
			GrantDecision decision = home.request(HOLDER, partsRequest("p", 2), 1);
			Assert.assertTrue(decision instanceof GrantDecision.Refused, String.valueOf(decision));
		}

	}

	/**
	 * Load pattern: one of two endpoints cannot be reached. Requests granted on it would
	 * fail.
	 */
	public static class UnreachableEndpoint {

		@Test
		public void unreachableEndpointGetsNothingUntilItReports() {
			ShardHome home = home(2);
			home.markUnreachable(EndpointId.of("e0"), 100);
			for (int i = 0; i < 5; i++) {
				Grant grant = granted(home.request(HOLDER, request("s" + i, 100, 200), 200));
				Assert.assertEquals(grant.answeringEndpoint(), EndpointId.of("e1"));
			}
			home.observe(List.of(report(0, 300), report(1, 300)), Set.of(), 300);
			Set<EndpointId> used = new HashSet<>();
			for (int i = 0; i < 12; i++) {
				used.addAll(endpoints(granted(home.request(HOLDER, request("t" + i, 100, 400), 400))));
			}
			Assert.assertTrue(used.contains(EndpointId.of("e0")), used.toString());
		}

	}

}
