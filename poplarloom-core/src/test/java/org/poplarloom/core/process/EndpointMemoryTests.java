package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;
import org.poplarloom.core.request.Share;

/**
 * Tests that a home never grants more than the memory of an endpoint, which would crash
 * it: parts of prompts on helpers, late reports, crashes, and grants announced to a
 * second home.
 */
public class EndpointMemoryTests {

	private static final InstanceId HOLDER = InstanceId.of("holder");

	private static final EngineModel ENGINE = new EngineModel(1.31, 0.0013, 0.00213, 177, 0.184, 34);

	private static final long KV_TOKENS = 315_000;

	private static final EndpointId FIRST = EndpointId.of("e0");

	private static final EndpointId SECOND = EndpointId.of("e1");

	private static EndpointReport report(EndpointId endpoint, String boot, long requestedMillis) {
		return new EndpointReport(endpoint, boot, false, Set.of("model"), 32, KV_TOKENS, 177_000, 0, 1_000_000,
				Set.of(), requestedMillis, ENGINE);
	}

	private static ShardHome home() {
		ShardHome home = ShardHome.of(new CostPlacement(), new ColdStartRamp.Settings(32, 1, 1), 0);
		home.observe(List.of(report(FIRST, "b1", 100), report(SECOND, "b1", 100)), Set.of(), 100);
		return home;
	}

	private static GrantRequest request(String id, long promptTokens, long targetMillis) {
		return new GrantRequest(id, 1, TeamId.of("team"), "model", promptTokens, 100, 0, 900_000, false, Set.of(),
				new LatencyTarget(targetMillis, 900_000, LatencyTarget.NO_PAUSE_LIMIT), null);
	}

	private static Grant granted(GrantDecision decision) {
		return (decision instanceof GrantDecision.Granted granted) ? granted.grant() : null;
	}

	private static long grantUntilFull(ShardHome home, EndpointId endpoint, EndpointId other, long nowMillis) {
		long tokens = 0;
		for (int i = 0; i < 40; i++) {
			GrantRequest request = new GrantRequest("fill" + i, 1, TeamId.of("team"), "model", 30_000, 100, 0, 900_000,
					false, Set.of(other), new LatencyTarget(800_000, 900_000, LatencyTarget.NO_PAUSE_LIMIT), null);
			Grant grant = granted(home.request(HOLDER, request, nowMillis));
			if (grant != null) {
				Assert.assertEquals(grant.answeringEndpoint(), endpoint);
				tokens += request.kvTokens();
			}
		}
		return tokens;
	}

	/** Guards against a helper whose memory is granted to others during its part. */
	@Test
	public void aPartOnAHelperCountsUntilTheFirstToken() {
		ShardHome home = home();
		// 7.1 s on one engine, so two are needed.
		Grant grant = granted(home.request(HOLDER, request("long", 220_000, 6_000), 100));
		Assert.assertEquals(grant.shares().size(), 2);
		EndpointId helper = grant.shares().get(0).endpoint();
		Assert.assertTrue(grantUntilFull(home, helper, grant.answeringEndpoint(), 100) <= KV_TOKENS - 110_000);
		Assert.assertFalse(home.recordFirstToken(grant.key(), 3_000).isEmpty(),
				"the memory is free once the parts are together");
	}

	/**
	 * Guards against the memory of the answering endpoint being granted again because a
	 * helper of the prompt has crashed.
	 */
	@Test
	public void aCrashOfAHelperFreesNothingOnTheAnsweringEndpoint() {
		ShardHome home = home();
		Grant grant = granted(home.request(HOLDER, request("long", 220_000, 6_000), 100));
		EndpointId helper = grant.shares().get(0).endpoint();
		List<EndpointReport> reports = new ArrayList<>();
		for (EndpointId endpoint : List.of(FIRST, SECOND)) {
			reports.add(report(endpoint, endpoint.equals(helper) ? "b2" : "b1", 200));
		}
		home.observe(reports, Set.of(), 200);
		Assert.assertEquals(home.runningOn(helper), 0);
		Assert.assertTrue(
				grantUntilFull(home, grant.answeringEndpoint(), helper, 200) <= KV_TOKENS - grant.request().kvTokens());
		Assert.assertFalse(home.release(grant.key(), 300).isEmpty());
	}

	/**
	 * Guards against grants of the present lifetime lost to a report of an earlier one.
	 */
	@Test
	public void aLateReportOfAnEarlierLifetimeFreesNothing() {
		ShardHome home = home();
		home.observe(List.of(report(FIRST, "b2", 200), report(SECOND, "b1", 200)), Set.of(), 200);
		Assert.assertTrue(grantUntilFull(home, FIRST, SECOND, 210) > KV_TOKENS / 2);
		List<HomeDecision> late = home.observe(List.of(report(FIRST, "b1", 150), report(SECOND, "b1", 150)), Set.of(),
				220);
		Assert.assertTrue(late.isEmpty(), "queued requests find no room");
		List<HomeDecision> next = home.observe(List.of(report(FIRST, "b2", 230), report(SECOND, "b1", 230)), Set.of(),
				230);
		Assert.assertTrue(next.isEmpty(), "queued requests find no room");
	}

	/**
	 * Guards against an allocation that is never released, when the holder of a grant
	 * announces it to a home that has granted the same attempt elsewhere.
	 */
	@Test
	public void anAnnouncedGrantReplacesTheOneOfTheSameAttempt() {
		ShardHome home = home();
		Grant own = granted(home.request(HOLDER, request("r", 30_000, 800_000), 100));
		EndpointId other = own.answeringEndpoint().equals(FIRST) ? SECOND : FIRST;
		Grant announced = new Grant(own.request(), List.of(new Share(other, 30_100)), FencingToken.NONE, 900_000, 0);
		home.announce(HOLDER, announced, 110);
		Assert.assertEquals(home.runningOn(own.answeringEndpoint()), 0);
		Assert.assertEquals(home.runningOn(other), 1);
		home.release(own.key(), 120);
		Assert.assertEquals(home.runningOn(FIRST) + home.runningOn(SECOND), 0);
	}

	/**
	 * Guards against any order of grants, first tokens, ends, announcements to a second
	 * home and restarts that exceeds the memory.
	 */
	@Test
	public void randomOperationsNeverExceedTheMemory() {
		for (int seed = 0; seed < 20; seed++) {
			new RandomRun(new Random(seed)).run();
		}
	}

	/** What endpoints hold, counted apart from the home. */
	private static final class RandomRun {

		private final Random random;

		private ShardHome home = home();

		private final Map<String, Grant> running = new HashMap<>();

		private final Set<String> answering = new HashSet<>();

		private long now = 1_000;

		RandomRun(Random random) {
			this.random = random;
		}

		void run() {
			for (int step = 0; step < 1_000; step++) {
				this.now += this.random.nextInt(50);
				List<HomeDecision> decisions = step(step);
				decisions.forEach((decision) -> add(granted(decision.decision())));
				for (EndpointId endpoint : List.of(FIRST, SECOND)) {
					Assert.assertTrue(heldTokens(endpoint) <= KV_TOKENS, "at step " + step);
				}
			}
		}

		private void add(Grant grant) {
			if (grant != null) {
				this.running.put(grant.key(), grant);
			}
		}

		private List<HomeDecision> step(int step) {
			List<String> keys = this.running.keySet().stream().sorted().toList();
			String key = keys.isEmpty() ? "" : keys.get(this.random.nextInt(keys.size()));
			switch (this.random.nextInt(8)) {
				case 0, 1, 2, 3 -> {
					long tokens = this.random.nextBoolean() ? 200_000 + this.random.nextInt(90_000)
							: 5_000 + this.random.nextInt(60_000);
					add(granted(this.home.request(HOLDER,
							request("r" + step, tokens, this.now + 1_000 + this.random.nextInt(12_000)), this.now)));
					return List.of();
				}
				case 4, 5 -> {
					this.answering.add(key);
					return this.home.recordFirstToken(key, this.now);
				}
				case 6 -> {
					this.running.remove(key);
					return this.home.release(key, this.now);
				}
				default -> {
					// A second home, to which all grants are announced.
					this.home = home();
					this.running.values().forEach((grant) -> {
						this.home.announce(HOLDER, grant, this.now);
						if (this.answering.contains(grant.key())) {
							this.home.recordFirstToken(grant.key(), this.now);
						}
					});
					return List.of();
				}
			}
		}

		private long heldTokens(EndpointId endpoint) {
			long tokens = 0;
			for (Grant grant : this.running.values()) {
				for (Share share : grant.shares()) {
					if (share.endpoint().equals(endpoint)) {
						boolean isHelper = !grant.answeringEndpoint().equals(endpoint);
						long partTokens = this.answering.contains(grant.key()) ? 0
								: grant.request().promptTokens() / grant.shares().size();
						tokens += isHelper ? partTokens : share.kvTokens();
					}
				}
			}
			return tokens;
		}

	}

}
