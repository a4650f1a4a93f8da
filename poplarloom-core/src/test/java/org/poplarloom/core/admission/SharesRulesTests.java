package org.poplarloom.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.LatencyTarget;

/**
 * Tests for {@link SharesRules} on an engine that serves 1 ms of engine time per ms:
 * teams that displace others, callers that lose their place when they repeat a request or
 * return, and figures that grow with the number of teams.
 */
public class SharesRulesTests {

	private static final InstanceId HOLDER = InstanceId.of("holder");

	private static final long ENGINE_MILLIS = 100;

	private static final long TARGET_MILLIS = 5_000;

	private static final long TIMEOUT_MILLIS = 20_000;

	private static SharesRules rules() {
		return new SharesRules(new OneEngine(), 0);
	}

	private static GrantRequest request(String id, String team, long fingerprint, int priority, long nowMillis,
			long timeoutMillis) {
		return new GrantRequest(id, 1, TeamId.of(team), "model", 1_000, 100, 0, nowMillis + timeoutMillis, false,
				Set.of(), new LatencyTarget(nowMillis + Math.min(TARGET_MILLIS, timeoutMillis / 4),
						nowMillis + timeoutMillis, 250),
				null, fingerprint, priority);
	}

	private static void enqueue(SharesRules rules, String id, String team, int priority, long nowMillis) {
		rules.enqueue(HOLDER, request(id, team, 0, priority, nowMillis, TIMEOUT_MILLIS), nowMillis);
	}

	private static String next(SharesRules rules, long nowMillis) {
		for (Iterator<QueuedRequest> sequence : rules.queue().dispatchOrder(nowMillis)) {
			if (sequence.hasNext()) {
				GrantRequest request = sequence.next().request();
				rules.recordGrant(request, nowMillis);
				return request.requestId();
			}
		}
		return null;
	}

	private static List<String> order(SharesRules rules, long nowMillis) {
		List<String> order = new ArrayList<>();
		for (String id = next(rules, nowMillis); id != null; id = next(rules, nowMillis)) {
			order.add(id);
		}
		return order;
	}

	@Test
	public void teamsAlternateWhateverTheNumberOfTheirRequests() {
		SharesRules fair = rules();
		for (int i = 0; i < 4; i++) {
			enqueue(fair, "a" + i, "a", 5, i);
		}
		enqueue(fair, "b0", "b", 5, 10);
		enqueue(fair, "b1", "b", 5, 11);
		Assert.assertEquals(order(fair, 20), List.of("a0", "b0", "a1", "b1", "a2", "a3"));
	}

	@Test
	public void teamThatReturnsAfterAPauseHasItsShareAtOnceButNoCredit() {
		SharesRules fair = rules();
		for (int i = 0; i < 20; i++) {
			enqueue(fair, "a" + i, "a", 5, i);
		}
		for (int i = 0; i < 10; i++) {
			next(fair, 20);
		}
		for (int i = 0; i < 3; i++) {
			enqueue(fair, "b" + i, "b", 5, 30 + i);
		}
		Assert.assertEquals(order(fair, 40).subList(0, 5), List.of("a10", "b0", "a11", "b1", "a12"));
	}

	@Test
	public void higherPriorityGoesFirst() {
		SharesRules fair = rules();
		enqueue(fair, "a", "a", 5, 0);
		enqueue(fair, "b", "b", 0, 1);
		Assert.assertEquals(order(fair, 2), List.of("b", "a"));
	}

	@Test
	public void lateRequestsComeLastByTimeout() {
		SharesRules fair = rules();
		enqueue(fair, "late", "a", 0, 0);
		enqueue(fair, "new", "b", 9, TARGET_MILLIS);
		Assert.assertEquals(order(fair, TARGET_MILLIS + 1), List.of("new", "late"));
	}

	/**
	 * Guards against requests that are refused since their wait counts a settle time that
	 * has ended early.
	 */
	@Test
	public void settleTimeThatHasEndedEarlyDoesNotCountAsWait() {
		SharesRules fair = new SharesRules(new OneEngine(), TIMEOUT_MILLIS);
		GrantRequest request = request("a", "a", 0, 5, 0, TIMEOUT_MILLIS);
		Assert.assertTrue(fair.waitMillis(request, 10) >= TIMEOUT_MILLIS - 10);
		fair.startAt(10);
		Assert.assertTrue(fair.waitMillis(request, 10) < 1);
	}

	@Test
	public void repeatedRequestKeepsItsPlaceAndItsTeamsTime() {
		SharesRules fair = rules();
		enqueue(fair, "a0", "a", 5, 0);
		enqueue(fair, "a1", "a", 5, 0);
		enqueue(fair, "b", "b", 5, 0);
		Assert.assertEquals(next(fair, 1), "a0");
		enqueue(fair, "b", "b", 5, 500);
		enqueue(fair, "a1", "a", 5, 500);
		Assert.assertEquals(fair.queue().size(), 2);
		Assert.assertEquals(order(fair, 501), List.of("b", "a1"));
	}

	@Test
	public void requestBeyondTheQueueIsRefusedWithTheTimeAtWhichItCouldBeServed() {
		SharesRules fair = rules();
		fillBeyondTheTimeout(fair);
		GrantRequest late = request("r", "a", 7, 5, 0, TIMEOUT_MILLIS);
		Assert.assertEquals(fair.judge(late, 0), AdmissionRule.OWN_REQUESTS_AHEAD);
		long first = fair.recordRefusal(late, 0, true, 0);
		Assert.assertTrue(first >= 22_000 && first < 22_500, first + " ms for 220 requests of 100 ms");
		long second = fair.recordRefusal(request("s", "a", 8, 5, 0, TIMEOUT_MILLIS), 0, true, 0);
		Assert.assertTrue(second >= 22_100 && second < 22_600, second + " ms with one more caller expected");
	}

	private static void fillBeyondTheTimeout(SharesRules rules) {
		for (int i = 0; i < 220; i++) {
			enqueue(rules, "q" + i, "a", 5, 0);
		}
	}

	@Test
	public void smallTeamIsNotRefusedForTheQueueOfALargeOne() {
		SharesRules fair = rules();
		fillBeyondTheTimeout(fair);
		Assert.assertEquals(fair.judge(request("r", "b", 7, 5, 0, 4_000), 0), AdmissionRule.NONE);
	}

	@Test
	public void callerThatReturnsKeepsThePlaceThatItHadWhenItWasRefused() {
		SharesRules fair = rules();
		GrantRequest refused = request("r", "a", 7, 5, 0, 4_000);
		fair.recordRefusal(refused, 3_000, true, 0);
		enqueue(fair, "q0", "a", 5, 100);
		enqueue(fair, "q1", "a", 5, 200);
		fair.enqueue(HOLDER, request("again", "a", 7, 5, 3_000, 4_000), 3_000);
		fair.enqueue(HOLDER, request("same", "a", 7, 5, 3_000, 90_000), 3_000);
		Assert.assertEquals(order(fair, 3_001), List.of("again", "q0", "q1", "same"),
				"the promise counts once, also for a second request with the same content");
	}

	/**
	 * Guards against a promise that only a home makes that may queue the request: a
	 * request is first sent to all homes as one that fails fast, and their refusals are
	 * final.
	 */
	@Test
	public void callerWhoseRequestFailedFastKeepsItsPlaceToo() {
		SharesRules fair = rules();
		fair.recordRefusal(request("r", "a", 7, 5, 0, 4_000), 3_000, false, 0);
		enqueue(fair, "q0", "a", 5, 100);
		fair.enqueue(HOLDER, request("again", "a", 7, 5, 3_000, 4_000), 3_000);
		Assert.assertEquals(order(fair, 3_001), List.of("again", "q0"));
	}

	@Test
	public void callerThatReturnsAtOnceIsToldTheSameTimeAgain() {
		SharesRules fair = rules();
		fillBeyondTheTimeout(fair);
		long told = fair.recordRefusal(request("r", "a", 7, 5, 0, TIMEOUT_MILLIS), 0, true, 0);
		for (int i = 1; i <= 50; i++) {
			long again = i + fair.recordRefusal(request("r" + i, "a", 7, 5, i, TIMEOUT_MILLIS), 0, true, i);
			Assert.assertTrue(again <= told, again + " after " + told);
		}
	}

	@Test
	public void grantThatIsReleasedUnusedIsNotCharged() {
		SharesRules fair = rules();
		for (int i = 0; i < 3; i++) {
			enqueue(fair, "b" + i, "b", 5, 0);
			enqueue(fair, "a" + i, "a", 5, 0);
		}
		Assert.assertEquals(next(fair, 1), "b0");
		Assert.assertEquals(next(fair, 1), "a0");
		fair.recordRelease("a0/1", 1);
		Assert.assertEquals(next(fair, 1), "a1");
		Assert.assertEquals(fair.teams().stream().mapToDouble(TeamUsage::servedMillis).sum(), 2.0 * ENGINE_MILLIS);
	}

	@Test
	public void atMost50TeamsAreReported() {
		SharesRules fair = rules();
		for (int i = 0; i < 200; i++) {
			enqueue(fair, "r" + i, "t" + i, 5, 0);
		}
		Assert.assertEquals(fair.teams().size(), TeamUsage.MAX_REPORTED_TEAMS);
		Assert.assertEquals(fair.teams().stream().mapToInt(TeamUsage::waiting).sum(), 200);
	}

	/**
	 * One engine on which each request takes the same time.
	 */
	private static final class OneEngine implements Capacity {

		@Override
		public int endpoints(GrantRequest request) {
			return 1;
		}

		@Override
		public double engineMillis(GrantRequest request) {
			return ENGINE_MILLIS;
		}

		@Override
		public double firstTokenMillis(GrantRequest request) {
			return ENGINE_MILLIS;
		}

	}

}
