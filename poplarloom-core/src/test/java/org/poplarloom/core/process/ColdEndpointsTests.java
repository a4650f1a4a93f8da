package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.Share;

/**
 * Tests for {@link ShardHome} with cold endpoints, which crash if they get requests at a
 * rate well above the one that they tolerate.
 * <p>
 * Load pattern: all endpoints of a zone return cold together while the zone has the
 * requests that warm ones serve. Requests may be sent as late as their grants allow, so
 * for each second all grants are counted that may be used in it.
 */
public class ColdEndpointsTests {

	private static final EngineModel ENGINE = new EngineModel(1.31, 0.0013, 0.00213, 154, 0.162, 34);

	private static final InstanceId HOLDER = InstanceId.of("edge-1");

	private static final int SLOTS = 11;

	private static final double MAX_OVERRUN = 1.5;

	private static final double MAX_SLACK = 5;

	private static final long SECOND_MILLIS = 1_000;

	private static final long TICK_MILLIS = 50;

	private static final long AGREEMENT_MILLIS = 2_600;

	/** A home that is older is the only one. */
	private static final long RETURN_MILLIS = 10_000;

	private static final long COLD_MILLIS = 6_000;

	private static final long ANSWER_MILLIS = 114;

	private static final long FAR_MILLIS = 900_000;

	private static ShardHome home() {
		return ShardHome.of(new CostPlacement(), new ColdStartRamp.Settings(6, 500, 500), 0, AGREEMENT_MILLIS);
	}

	private static EndpointReport report(int index, String boot, double rate, long coldEndMillis, long nowMillis) {
		return new EndpointReport(EndpointId.of("e" + (1_000 + index)), boot, false, Set.of("model"), SLOTS, 405_000,
				154_000, 0, (coldEndMillis > 0) ? 0 : 3_600_000, Set.of(), nowMillis, ENGINE,
				new EndpointReport.ColdPeriod(rate, coldEndMillis));
	}

	private static List<EndpointReport> reports(int endpoints, double rate, long coldEndMillis, long nowMillis) {
		List<EndpointReport> reports = new ArrayList<>();
		for (int i = 0; i < endpoints; i++) {
			reports.add(report(i, "boot", rate, coldEndMillis, nowMillis));
		}
		return reports;
	}

	private static GrantRequest request(String id, long promptTokens, long startMillis, long timeoutMillis) {
		return new GrantRequest(id, 1, TeamId.of("rota"), "model", promptTokens, 80, 0, startMillis + timeoutMillis,
				false, Set.of(), new LatencyTarget(startMillis + 300, startMillis + timeoutMillis, 250), null);
	}

	private static Grant grant(ShardHome home, String id, long nowMillis) {
		GrantDecision decision = home.request(HOLDER, request(id, 1_460, nowMillis, 10_000), nowMillis);
		Assert.assertTrue(decision instanceof GrantDecision.Granted, String.valueOf(decision));
		return ((GrantDecision.Granted) decision).grant();
	}

	private static void keepRunning(ShardHome home, long untilMillis) {
		for (long now = 0; now < untilMillis; now += TICK_MILLIS) {
			home.tick(now);
		}
	}

	/**
	 * One home grants all endpoints. The first cold endpoint would otherwise get all
	 * requests, crash, and the next one after it.
	 */
	public static class OneHome {

		@DataProvider
		public static Object[][] zones() {
			return new Object[][] { { 1, 14.0, 45 }, { 2, 14.0, 45 }, { 8, 36.0, 400 }, { 20, 3.0, 100 },
					{ 300, 14.0, 4_000 } };
		}

		@Test(dataProvider = "zones")
		public void zoneThatReturnsColdUnderFullLoadGetsWhatItTolerates(int endpoints, double rate, int perSecond) {
			ShardHome home = home();
			home.observe(List.of(), Set.of(), 0);
			Load load = new Load(perSecond);
			keepRunning(home, RETURN_MILLIS);
			long end = RETURN_MILLIS + COLD_MILLIS;
			home.observe(reports(endpoints, rate, end, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			load.run(RETURN_MILLIS, end, home);
			load.assertTolerated(rate, RETURN_MILLIS, end);
			double served = load.grants / (COLD_MILLIS / 1_000.0);
			double expected = 0.9 * Math.min(perSecond, rate * endpoints);
			Assert.assertTrue(served >= expected, "granted " + served + " a second, expected " + expected);
		}

		@Test
		public void requestsAreSpreadOverTheColdEndpoints() {
			ShardHome home = home();
			keepRunning(home, RETURN_MILLIS);
			home.observe(reports(6, 14, FAR_MILLIS, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			Load load = new Load(30);
			load.run(RETURN_MILLIS, RETURN_MILLIS + 2_000, home);
			List<Integer> counts = load.countsBetween(RETURN_MILLIS, RETURN_MILLIS + 2_000);
			Assert.assertEquals(counts.size(), 6);
			Assert.assertTrue(Collections.max(counts) - Collections.min(counts) <= 4, String.valueOf(counts));
		}

		@Test
		public void endpointThatBecomesColdUnderLoadGetsNothingUntilTheLastSecondIsOver() {
			ShardHome home = home();
			home.observe(reports(1, 14, 0, 0), Set.of(), 0);
			Load load = new Load(60);
			load.run(1, RETURN_MILLIS, home);
			home.observe(reports(1, 14, FAR_MILLIS, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			load.run(RETURN_MILLIS, RETURN_MILLIS + 4_000, home);
			Assert.assertEquals(load.countsBetween(RETURN_MILLIS, RETURN_MILLIS + SECOND_MILLIS), List.of(0));
			load.assertTolerated(14, RETURN_MILLIS + 1, RETURN_MILLIS + 4_000);
		}

		/** Endpoints may become cold just before their zone is taken back in. */
		@Test
		public void zoneTakenBackInIsColdUntilItsEndpointsHaveReported() {
			ShardHome home = home();
			home.observe(reports(1, 14, 0, 0), Set.of(), 0);
			home.setOut(true, 100);
			keepRunning(home, RETURN_MILLIS);
			home.setOut(false, RETURN_MILLIS);
			Load load = new Load(60);
			long reported = RETURN_MILLIS + 900;
			load.run(RETURN_MILLIS, reported, home);
			home.observe(reports(1, 14, FAR_MILLIS, reported), Set.of(), reported);
			load.run(reported, RETURN_MILLIS + 4_000, home);
			load.assertTolerated(14, RETURN_MILLIS, RETURN_MILLIS + 4_000);
		}

		@Test
		public void zoneTakenBackInWarmIsGrantedAtAnyRateAfterThat() {
			ShardHome home = home();
			home.observe(reports(1, 14, 0, 0), Set.of(), 0);
			home.setOut(true, 100);
			keepRunning(home, RETURN_MILLIS);
			home.setOut(false, RETURN_MILLIS);
			Load load = new Load(60);
			load.run(RETURN_MILLIS, RETURN_MILLIS + 4_000, home);
			int granted = load.countsBetween(RETURN_MILLIS + 2_000, RETURN_MILLIS + 4_000).get(0);
			Assert.assertTrue(granted >= 118, granted + " grants in two seconds");
		}

		@Test
		public void warmEndpointIsGrantedAtAnyRateWithoutALatestStart() {
			ShardHome home = home();
			home.observe(reports(2, 14, 0, 0), Set.of(), 0);
			Load load = new Load(90);
			load.run(1, 3_000, home);
			Assert.assertTrue(load.grants >= load.requests - 2, load.grants + " of " + load.requests);
			Assert.assertFalse(grant(home, "r", 3_000).hasLatestStart());
		}

		@Test
		public void endpointWithoutARateIsLimitedByItsRampOnly() {
			ShardHome home = home();
			home.observe(reports(1, 0, FAR_MILLIS, 0), Set.of(), 0);
			for (int i = 0; i < 6; i++) {
				Assert.assertFalse(grant(home, "r" + i, 1).hasLatestStart());
			}
			Assert.assertTrue(home.request(HOLDER, request("r6", 1_460, 1, 10_000), 1) instanceof GrantDecision.Queued);
		}

		@Test
		public void grantOnAColdEndpointNamesItsLatestStart() {
			ShardHome home = home();
			keepRunning(home, RETURN_MILLIS);
			home.observe(reports(1, 14, FAR_MILLIS, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			Assert.assertEquals(grant(home, "r", RETURN_MILLIS + 10).latestStartMillis(),
					RETURN_MILLIS + 10 + ColdRequestLimit.MAX_START_DELAY_MILLIS);
		}

		@Test
		public void requestThatTheRateCannotServeInTimeIsRefusedAtOnceWithTheTimeThatTheRateNeeds() {
			ShardHome home = home();
			keepRunning(home, RETURN_MILLIS);
			home.observe(reports(2, 14, FAR_MILLIS, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			for (int i = 0; i < 104; i++) {
				home.request(HOLDER, request("q" + i, 1_460, RETURN_MILLIS, FAR_MILLIS), RETURN_MILLIS);
			}
			GrantDecision decision = home.request(HOLDER, request("r", 1_460, RETURN_MILLIS, 2_000), RETURN_MILLIS);
			Assert.assertTrue(decision instanceof GrantDecision.Refused, String.valueOf(decision));
			GrantDecision.Refused refused = (GrantDecision.Refused) decision;
			Assert.assertEquals(refused.code(), ErrorCode.DEADLINE_UNREACHABLE);
			Assert.assertEquals(refused.retryAfterMillis(), 3_608, "101 requests at 28 a second");
		}

		@Test
		public void homeThatHasNoRateLeftSendsRequestsToOthersAtOnce() {
			ShardHome home = home();
			keepRunning(home, RETURN_MILLIS);
			home.observe(reports(1, 14, FAR_MILLIS, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			grant(home, "a", RETURN_MILLIS);
			grant(home, "b", RETURN_MILLIS);
			GrantDecision decision = home.request(HOLDER, request("r", 1_460, RETURN_MILLIS, 10_000), false,
					RETURN_MILLIS);
			Assert.assertTrue(decision instanceof GrantDecision.Refused, String.valueOf(decision));
			Assert.assertEquals(((GrantDecision.Refused) decision).code(), ErrorCode.HOME_BUSY);
			Assert.assertEquals(((GrantDecision.Refused) decision).retryAfterMillis(), 73);
		}

	}

	/**
	 * Homes that follow each other or exist at the same time. A new home does not know
	 * what the other one has granted in the last second.
	 */
	public static class SeveralHomes {

		@DataProvider
		public static Object[][] overlaps() {
			return new Object[][] { { 0 }, { 300 }, { 1_000 }, { AGREEMENT_MILLIS } };
		}

		@Test(dataProvider = "overlaps")
		public void homeThatMovesWhileEndpointsAreColdKeepsTheirRate(long overlapMillis) {
			ShardHome previous = home();
			keepRunning(previous, RETURN_MILLIS);
			long end = RETURN_MILLIS + 10_000;
			previous.observe(reports(4, 14, end, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			Load load = new Load(200);
			long moved = RETURN_MILLIS + 2_000;
			load.run(RETURN_MILLIS, moved, previous);
			ShardHome next = home();
			next.observe(reports(4, 14, end, moved), Set.of(), moved);
			load.run(moved, moved + overlapMillis, previous, next);
			load.run(moved + overlapMillis, end, next);
			load.assertTolerated(14, RETURN_MILLIS, end);
		}

		@Test
		public void homeThatWasPausedAndReplacedLeavesMostOfTheRateToTheOther() {
			ShardHome paused = home();
			keepRunning(paused, RETURN_MILLIS);
			long end = RETURN_MILLIS + 20_000;
			paused.observe(reports(4, 36, end, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			Load load = new Load(300);
			load.run(RETURN_MILLIS, RETURN_MILLIS + 1_000, paused);
			long taken = RETURN_MILLIS + 2_600;
			ShardHome next = home();
			next.observe(reports(4, 36, end, taken), Set.of(), taken);
			load.run(taken, taken + 5_000, next);
			load.run(taken + 5_000, taken + 7_000, paused, next);
			load.assertTolerated(36, RETURN_MILLIS, taken + 7_000);
		}

		@Test
		public void homesThatCannotHearEachOtherShareTheRate() {
			ShardHome first = home();
			ShardHome second = home();
			long end = RETURN_MILLIS + 20_000;
			first.observe(reports(4, 36, end, 0), Set.of(), 0);
			second.observe(reports(4, 36, end, 0), Set.of(), 0);
			Load load = new Load(300);
			for (long now = 0; now < 9_000; now += 200) {
				first.expectOtherHome(now);
				second.expectOtherHome(now);
				load.run(now, now + 200, first, second);
			}
			load.assertTolerated(36, 0, 9_000);
		}

		@Test
		public void newHomeGrantsNothingOnColdEndpointsAtFirst() {
			ShardHome home = home();
			home.observe(reports(1, 14, FAR_MILLIS, RETURN_MILLIS), Set.of(), RETURN_MILLIS);
			Load load = new Load(45);
			load.run(RETURN_MILLIS, RETURN_MILLIS + 300, home);
			Assert.assertEquals(load.grants, 0);
		}

	}

	/**
	 * Requests at a steady rate to one or several homes of a shard, until each grant that
	 * they made may have been used.
	 */
	private static final class Load {

		private final int requestsPerSecond;

		private final Map<EndpointId, List<Long>> granted = new HashMap<>();

		private final Map<ShardHome, PriorityQueue<Running>> running = new HashMap<>();

		private int requests;

		private int grants;

		Load(int requestsPerSecond) {
			this.requestsPerSecond = requestsPerSecond;
		}

		void run(long fromMillis, long toMillis, ShardHome... homes) {
			for (ShardHome home : homes) {
				this.running.computeIfAbsent(home, (key) -> new PriorityQueue<>());
			}
			for (long now = fromMillis; now < toMillis; now++) {
				for (ShardHome home : homes) {
					releaseEnded(home, now);
					if (now % TICK_MILLIS == 0) {
						record(home, home.tick(now), now);
					}
				}
				long due = (now + 1) * this.requestsPerSecond / SECOND_MILLIS
						- now * this.requestsPerSecond / SECOND_MILLIS;
				for (long i = 0; i < due; i++) {
					ask(now, homes);
				}
			}
		}

		private void releaseEnded(ShardHome home, long now) {
			PriorityQueue<Running> ending = this.running.get(home);
			while (!ending.isEmpty() && ending.peek().endMillis() <= now) {
				record(home, home.release(ending.poll().key(), now), now);
			}
		}

		// A long prompt that several endpoints prefill counts at each of them.
		private void ask(long now, ShardHome... homes) {
			this.requests++;
			for (ShardHome home : homes) {
				long promptTokens = (this.requests % 40 == 0) ? 60_000 : 1_460;
				GrantRequest request = request("r" + this.requests, promptTokens, now, FAR_MILLIS);
				GrantDecision decision = home.request(HOLDER, request, false, now);
				if (decision instanceof GrantDecision.Refused) {
					decision = home.request(HOLDER, request, true, now);
				}
				record(home, List.of(new HomeDecision(HOLDER, decision)), now);
			}
		}

		private void record(ShardHome home, List<HomeDecision> decisions, long now) {
			for (HomeDecision decision : decisions) {
				if (decision.decision() instanceof GrantDecision.Granted made) {
					this.grants++;
					for (Share share : made.grant().shares()) {
						this.granted.computeIfAbsent(share.endpoint(), (key) -> new ArrayList<>()).add(now);
					}
					this.running.get(home).add(new Running(made.grant().key(), now + ANSWER_MILLIS));
					home.recordFirstToken(made.grant().key(), now);
				}
			}
		}

		// The most requests that an endpoint may get within a second that begins in the
		// given time.
		long mostInOneSecond(long fromMillis, long toMillis) {
			long most = 0;
			for (List<Long> times : this.granted.values()) {
				List<Long> sorted = new ArrayList<>(times);
				Collections.sort(sorted);
				int first = 0;
				int end = 0;
				for (long start = fromMillis; start < toMillis; start++) {
					while (end < sorted.size() && sorted.get(end) < start + SECOND_MILLIS) {
						end++;
					}
					while (first < end && sorted.get(first) + ColdRequestLimit.MAX_START_DELAY_MILLIS < start) {
						first++;
					}
					most = Math.max(most, end - first);
				}
			}
			return most;
		}

		List<Integer> countsBetween(long fromMillis, long toMillis) {
			return this.granted.values()
				.stream()
				.map((times) -> (int) times.stream().filter((time) -> time >= fromMillis && time < toMillis).count())
				.toList();
		}

		void assertTolerated(double rate, long fromMillis, long toMillis) {
			long most = mostInOneSecond(fromMillis, toMillis - SECOND_MILLIS);
			double max = rate * MAX_OVERRUN + MAX_SLACK;
			Assert.assertTrue(most <= max, "an endpoint may get " + most + " requests in one second, at most " + max);
		}

		private record Running(String key, long endMillis) implements Comparable<Running> {

			@Override
			public int compareTo(Running other) {
				return Long.compare(this.endMillis, other.endMillis);
			}

		}

	}

}
