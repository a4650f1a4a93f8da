package org.poplarloom.core.process;

import java.util.ArrayList;
import java.util.Collection;
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
import org.poplarloom.core.request.Share;

/**
 * Tests for {@link ShardHome} with {@link AdaptivePlacement}: grants that exceed an
 * endpoint's memory or slow-start ramp, allocations that are lost or never released, and
 * requests that stay queued for ever.
 */
public class ShardHomeTests {

	private static final InstanceId HOLDER = InstanceId.of("holder");

	private static final long KV_TOKENS = 450_000;

	private static final int SLOTS = 8;

	private static final long WARM_MILLIS = 1_000_000;

	private static final ColdStartRamp.Settings RAMP = new ColdStartRamp.Settings(2, 10_000, 2_000);

	private static EndpointReport report(String id, String boot, long uptimeMillis) {
		return new EndpointReport(EndpointId.of(id), boot, false, Set.of("model"), SLOTS, KV_TOKENS, 20_000, 0,
				uptimeMillis, Set.of(), 0);
	}

	private static GrantRequest request(String id, long promptTokens, long deadlineMillis) {
		return new GrantRequest(id, 1, TeamId.of("team"), "model", promptTokens, 100, 0, deadlineMillis, false,
				Set.of());
	}

	private static ShardHome warmHome(int endpoints) {
		ShardHome home = ShardHome.of(new AdaptivePlacement(), RAMP, 0);
		home.observe(reports(endpoints, WARM_MILLIS), Set.of(), 0);
		return home;
	}

	private static List<EndpointReport> reports(int endpoints, long uptimeMillis) {
		List<EndpointReport> reports = new ArrayList<>();
		for (int i = 0; i < endpoints; i++) {
			reports.add(report("e" + i, "boot-1", uptimeMillis));
		}
		return reports;
	}

	private static Grant granted(GrantDecision decision) {
		Assert.assertTrue(decision instanceof GrantDecision.Granted, String.valueOf(decision));
		return ((GrantDecision.Granted) decision).grant();
	}

	private static ErrorCode refusal(GrantDecision decision) {
		Assert.assertTrue(decision instanceof GrantDecision.Refused, String.valueOf(decision));
		return ((GrantDecision.Refused) decision).code();
	}

	/**
	 * Prompts larger than one endpoint's memory. If two of them each got a part of the
	 * endpoints, neither could start.
	 */
	public static class LargePrompts {

		@Test
		public void promptBeyondOneEndpointIsGrantedSeveralInAscendingOrder() {
			Grant grant = granted(warmHome(3).request(HOLDER, request("r", 1_000_000, 600_000), 0));
			Assert.assertEquals(grant.shares().size(), 3);
			Assert.assertEquals(grant.shares().stream().mapToLong(Share::kvTokens).sum(), 1_000_100);
			Assert.assertEquals(grant.shares().stream().map(Share::endpoint).sorted().toList(),
					grant.shares().stream().map(Share::endpoint).toList());
		}

		@Test
		public void secondLargePromptIsQueuedUntilTheFirstIsReleased() {
			ShardHome home = warmHome(3);
			Grant first = granted(home.request(HOLDER, request("a", 1_000_000, 600_000), 0));
			Assert
				.assertTrue(home.request(HOLDER, request("b", 1_000_000, 600_000), 0) instanceof GrantDecision.Queued);
			List<HomeDecision> next = home.release(first.key(), 10);
			Assert.assertEquals(next.size(), 1);
			Assert.assertEquals(granted(next.get(0).decision()).request().requestId(), "b");
		}

		/**
		 * Guards against a sum of slots that overflows and makes an idle home look full.
		 */
		@Test
		public void manySlotsAreSummedUpWithoutOverflow() {
			List<EndpointReport> reports = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				reports.add(new EndpointReport(EndpointId.of("e-" + i), "boot", false, Set.of("model"),
						Integer.MAX_VALUE, KV_TOKENS, 20_000, 0, WARM_MILLIS, Set.of(), 0));
			}
			ShardHome home = ShardHome.of(new AdaptivePlacement(), RAMP, 0);
			home.observe(reports, Set.of(), 0);
			Assert.assertEquals(home.summary(0).utilization(), 0.0);
		}

		@Test
		public void promptLargerThanTheShardIsRefused() {
			Assert.assertEquals(refusal(warmHome(2).request(HOLDER, request("r", 1_000_000, 600_000), 0)),
					ErrorCode.NO_ENDPOINT);
		}

	}

	/**
	 * Endpoints that have just started, have restarted or cannot be reached, and grants
	 * that the previous home made on them.
	 */
	public static class StartingEndpoints {

		@Test
		public void coldEndpointGetsNoMoreRequestsThanItsRampAllows() {
			ShardHome home = ShardHome.of(new AdaptivePlacement(), RAMP, 0);
			home.observe(List.of(report("e0", "boot-1", 0)), Set.of(), 0);
			int[] expected = { 2, 2, 4, 8 };
			long[] times = { 0, 9_999, 10_000, 12_000 };
			int id = 0;
			for (int i = 0; i < times.length; i++) {
				for (int k = 0; k < SLOTS * 2; k++) {
					home.request(HOLDER, request("r" + id++, 1_000, 900_000), times[i]);
				}
				home.tick(times[i]);
				Assert.assertEquals(home.runningOn(EndpointId.of("e0")), expected[i], "at " + times[i]);
			}
		}

		@Test
		public void changedBootIdReleasesGrantsAndRestartsTheRamp() {
			ShardHome home = warmHome(1);
			for (int i = 0; i < SLOTS; i++) {
				granted(home.request(HOLDER, request("r" + i, 1_000, 900_000), 0));
			}
			home.observe(List.of(report("e0", "boot-2", 0)), Set.of(), 100);
			Assert.assertEquals(home.runningOn(EndpointId.of("e0")), 0);
			for (int i = 0; i < SLOTS; i++) {
				home.request(HOLDER, request("s" + i, 1_000, 900_000), 200);
			}
			Assert.assertEquals(home.runningOn(EndpointId.of("e0")), 2);
		}

		@Test
		public void unreachableEndpointGetsNothingUntilANewerReport() {
			ShardHome home = warmHome(1);
			home.markUnreachable(EndpointId.of("e0"), 5);
			Assert.assertTrue(home.request(HOLDER, request("r", 1_000, 900_000), 0) instanceof GrantDecision.Queued);
			Assert.assertTrue(home.observe(reports(1, WARM_MILLIS), Set.of(), 10).isEmpty(),
					"the report is older than the failure");
			List<EndpointReport> newer = List.of(reports(1, WARM_MILLIS).get(0).withRequestedMillis(6));
			Assert.assertEquals(home.observe(newer, Set.of(), 20).size(), 1);
		}

		@Test
		public void grantAnnouncedBeforeTheFirstReportIsAllocated() {
			ShardHome home = ShardHome.of(new AdaptivePlacement(), RAMP, 0);
			Grant running = new Grant(request("old", 1_000, 900_000), List.of(new Share(EndpointId.of("e0"), 1_100)),
					org.poplarloom.core.FencingToken.NONE, 900_000, 0);
			home.announce(HOLDER, running, 0);
			home.observe(reports(1, WARM_MILLIS), Set.of(), 10);
			Assert.assertEquals(home.runningOn(EndpointId.of("e0")), 1);
		}

		@Test
		public void rampContinuesWhenTheHomeChanges() {
			ShardHome next = ShardHome.of(new AdaptivePlacement(), RAMP, 5_000);
			next.observe(List.of(report("e0", "boot-1", 3_000)), Set.of(), 3_000);
			Grant running = new Grant(request("old", 1_000, 900_000), List.of(new Share(EndpointId.of("e0"), 1_100)),
					org.poplarloom.core.FencingToken.NONE, 900_000, 0);
			next.announce(HOLDER, running, 3_100);
			for (int i = 0; i < SLOTS; i++) {
				next.request(HOLDER, request("r" + i, 1_000, 900_000), 3_200);
			}
			Assert.assertEquals(next.runningOn(EndpointId.of("e0")), 2);
		}

	}

	/**
	 * A zone that is taken out and back in. Requests in its queue must go elsewhere, and
	 * endpoints that return must not get their full load at once.
	 */
	public static class ZoneOut {

		@Test
		public void zoneTakenOutRefusesQueuedAndNewRequestsAndKeepsRunningOnes() {
			ShardHome home = warmHome(1);
			for (int i = 0; i < SLOTS + 3; i++) {
				home.request(HOLDER, request("r" + i, 1_000, 900_000), 0);
			}
			List<HomeDecision> refused = home.setOut(true, 10);
			Assert.assertEquals(refused.size(), 3);
			refused.forEach((decision) -> Assert.assertEquals(refusal(decision.decision()), ErrorCode.ZONE_OUT));
			Assert.assertEquals(home.runningOn(EndpointId.of("e0")), SLOTS);
			Assert.assertEquals(refusal(home.request(HOLDER, request("n", 1_000, 900_000), 20)), ErrorCode.ZONE_OUT);
		}

		@Test
		public void zoneTakenBackInRestartsTheRamp() {
			ShardHome home = warmHome(1);
			home.setOut(true, 0);
			home.setOut(false, 100);
			for (int i = 0; i < SLOTS; i++) {
				home.request(HOLDER, request("r" + i, 1_000, 900_000), 200);
			}
			Assert.assertEquals(home.runningOn(EndpointId.of("e0")), 2);
		}

	}

	/**
	 * Deadlines that cannot be met or that pass while a request is queued.
	 */
	public static class Deadlines {

		@Test
		public void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
			Assert.assertEquals(refusal(warmHome(1).request(HOLDER, request("r", 400_000, 5_000), 0)),
					ErrorCode.DEADLINE_UNREACHABLE);
		}

		@Test
		public void queuedRequestIsRefusedAtItsDeadline() {
			ShardHome home = warmHome(1);
			for (int i = 0; i <= SLOTS; i++) {
				home.request(HOLDER, request("r" + i, 1_000, 5_000), 0);
			}
			List<HomeDecision> ended = home.tick(5_000);
			Assert.assertEquals(ended.size(), 1);
			Assert.assertEquals(refusal(ended.get(0).decision()), ErrorCode.DEADLINE_EXCEEDED);
		}

	}

	/**
	 * Random operations on a home, compared with a naive model that sums up all running
	 * grants after each step. Guards against counters of memory or requests that drift
	 * apart from the grants.
	 */
	public static class RandomOperations {

		private static final int SEEDS = 100;

		private static final int STEPS = 600;

		@Test
		public void memoryAndRampAreNeverExceededAndAllIsReleased() {
			for (long seed = 0; seed < SEEDS; seed++) {
				new RandomRun(seed).run();
			}
		}

	}

	/**
	 * One random sequence of operations on a home and on the naive model.
	 */
	private static final class RandomRun {

		private static final int ENDPOINTS = 4;

		private final long seed;

		private final Random random;

		private final Map<String, Grant> running = new HashMap<>();

		private final Set<String> queued = new HashSet<>();

		private final Map<String, Long> startedMillis = new TreeMap<>();

		private final ShardHome home = ShardHome.of(new AdaptivePlacement(), RAMP, 0);

		private long now;

		private int boots;

		private int nextId;

		RandomRun(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
		}

		void run() {
			for (int i = 0; i < ENDPOINTS; i++) {
				this.startedMillis.put("e" + i, -WARM_MILLIS);
			}
			observe();
			for (int step = 0; step < RandomOperations.STEPS; step++) {
				this.now += this.random.nextInt(200);
				step();
				check();
			}
			this.now += 10_000_000;
			apply(this.home.tick(this.now));
			new ArrayList<>(this.running.keySet()).forEach(this::release);
			apply(this.home.tick(this.now));
			Assert.assertTrue(this.queued.isEmpty(), message("still queued: " + this.queued));
			this.startedMillis.keySet()
				.forEach((id) -> Assert.assertEquals(this.home.runningOn(EndpointId.of(id)), 0, message(id)));
			Grant all = granted(this.home.request(HOLDER, request("last", 1_700_000, this.now + 900_000), this.now));
			Assert.assertEquals(all.shares().size(), ENDPOINTS, message("memory was not released"));
		}

		private void step() {
			switch (this.random.nextInt(8)) {
				case 0, 1, 2 -> sendRequest();
				case 3, 4 -> randomRunning().forEach(this::release);
				case 5 -> randomRunning().forEach((key) -> apply(this.home.recordFirstToken(key, this.now)));
				case 6 -> apply(this.home.tick(this.now));
				default -> restartOrReport();
			}
		}

		private void sendRequest() {
			long promptTokens = (this.random.nextInt(4) == 0) ? 100_000 + this.random.nextInt(900_000)
					: 1_000 + this.random.nextInt(3_000);
			GrantRequest sent = request("r" + this.nextId++, promptTokens,
					this.now + 60_000 + this.random.nextInt(600_000));
			this.queued.add(sent.key());
			apply(List.of(new HomeDecision(HOLDER, this.home.request(HOLDER, sent, this.now))));
		}

		private Collection<String> randomRunning() {
			List<String> keys = this.running.keySet().stream().sorted().toList();
			return keys.isEmpty() ? List.of() : List.of(keys.get(this.random.nextInt(keys.size())));
		}

		private void release(String key) {
			this.running.remove(key);
			apply(this.home.release(key, this.now));
		}

		private void restartOrReport() {
			if (this.random.nextInt(6) == 0) {
				String id = "e" + this.random.nextInt(ENDPOINTS);
				this.boots++;
				this.startedMillis.put(id, this.now);
				List<String> lost = this.running.values()
					.stream()
					.filter((grant) -> grant.shares().stream().anyMatch((share) -> share.endpoint().value().equals(id)))
					.map(Grant::key)
					.toList();
				lost.forEach(this.running::remove);
			}
			observe();
		}

		private void observe() {
			List<EndpointReport> reports = new ArrayList<>();
			this.startedMillis.forEach((id, started) -> reports.add(report(id, "boot-" + started, this.now - started)));
			apply(this.home.observe(reports, Set.of(), this.now));
		}

		private void apply(List<HomeDecision> decisions) {
			for (HomeDecision decision : decisions) {
				if (decision.decision() instanceof GrantDecision.Granted granted) {
					Assert.assertTrue(this.queued.remove(granted.grant().key()), message("granted twice"));
					this.running.put(granted.grant().key(), granted.grant());
				}
				else if (decision.decision() instanceof GrantDecision.Refused refused) {
					this.queued.remove(Grant.key(refused.requestId(), refused.attempt()));
				}
			}
		}

		private void check() {
			for (Map.Entry<String, Long> endpoint : this.startedMillis.entrySet()) {
				long memory = 0;
				int count = 0;
				for (Grant grant : this.running.values()) {
					for (Share share : grant.shares()) {
						if (share.endpoint().value().equals(endpoint.getKey())) {
							memory += share.kvTokens();
							count++;
						}
					}
				}
				Assert.assertTrue(memory <= KV_TOKENS,
						message(endpoint.getKey() + " has granted " + memory + " tokens"));
				int limit = ColdStartRamp.startingAt(RAMP, endpoint.getValue()).limit(SLOTS, this.now);
				Assert.assertTrue(count <= limit, message(endpoint.getKey() + " runs " + count + " of " + limit));
				Assert.assertEquals(this.home.runningOn(EndpointId.of(endpoint.getKey())), count,
						message(endpoint.getKey()));
			}
		}

		private String message(String text) {
			return "seed " + this.seed + " at " + this.now + " ms: " + text;
		}

	}

}
