package org.poplarloom.bench.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import org.poplarloom.core.IdempotencyKey;
import org.poplarloom.standin.http.ServiceStandIn;

/**
 * Tests that orders, the calls of a plain service that must not be repeated, run at most
 * once, with real daemons.
 * <p>
 * Guards against an order that runs twice or is reported with a wrong outcome. This can
 * come about when a caller repeats it at other instances, when the service fails before
 * or after the effect, or when the log is down or loses its response to an append.
 */
public class OrdersTests {

	private static final long SEED = 7;

	private final Caller caller = new Caller();

	private final Random random = new Random(SEED);

	private LocalSystem system;

	@BeforeClass
	public void start() {
		this.system = LocalSystem.start(LocalSystem.Layout.DEFAULT.withCountsPerZone(2, 1),
				SampleContracts.withHighLimits());
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private String newKey() {
		return IdempotencyKey.of(System.currentTimeMillis(), this.random.nextLong()).toString();
	}

	private Caller.ServiceReply sendOrder(int daemon, String key, String body) {
		return this.caller.sendOrder(this.system.urls().get(daemon), SampleContracts.BRINDLEY_KEY, key, body);
	}

	private int executions(String key) {
		return this.system.service().executionCounts().getOrDefault(key, 0);
	}

	@Test
	public void sameKeySentToAllInstancesConcurrentlyRunsOrderOnce() {
		for (int round = 0; round < 5; round++) {
			String key = newKey();
			List<CompletableFuture<Caller.ServiceReply>> replies = new ArrayList<>();
			for (int daemon = 0; daemon < this.system.urls().size(); daemon++) {
				int index = daemon;
				replies.add(CompletableFuture.supplyAsync(() -> sendOrder(index, key, "{}")));
			}
			long succeeded = replies.stream().filter((reply) -> reply.join().status() == 200).count();
			Assert.assertTrue(succeeded >= 1, "seed " + SEED);
			Assert.assertEquals(executions(key), 1, "seed " + SEED);
			replies.forEach((reply) -> Assert.assertTrue(
					reply.join().status() == 200 || reply.join().executed().equals("unknown"),
					reply.join().toString()));
		}
	}

	@Test
	public void repeatedOrderGetsRecordedAnswerAndOtherContentIsRefused() {
		String key = newKey();
		Assert.assertEquals(sendOrder(0, key, "{}").status(), 200);
		Assert.assertEquals(sendOrder(0, key, "{}").status(), 200);
		Assert.assertEquals(sendOrder(5, key, "{}").status(), 200);
		Assert.assertEquals(executions(key), 1);
		Assert.assertEquals(sendOrder(3, key, "{\"other\":1}").code(), "idempotency_key_reused");
	}

	@Test
	public void keyThatIsOlderThanTheRepeatWindowOrInvalidIsRefused() {
		String key = IdempotencyKey.of(System.currentTimeMillis() - 90_000_000, 1).toString();
		Caller.ServiceReply reply = sendOrder(0, key, "{}");
		Assert.assertEquals(reply.code(), "expired_idempotency_key");
		Assert.assertEquals(reply.executed(), "no");
		Assert.assertEquals(sendOrder(0, "not-a-key", "{}").code(), "invalid_idempotency_key");
	}

	@Test(dependsOnMethods = { "sameKeySentToAllInstancesConcurrentlyRunsOrderOnce",
			"repeatedOrderGetsRecordedAnswerAndOtherContentIsRefused",
			"keyThatIsOlderThanTheRepeatWindowOrInvalidIsRefused" })
	public void orderRunsAtMostOnceWhenServiceAndLogFail() {
		Map<String, Caller.ServiceReply> lastReplies = new HashMap<>();
		for (int round = 0; round < 60; round++) {
			String key = newKey();
			int attempts = 1 + this.random.nextInt(3);
			for (int attempt = 0; attempt < attempts; attempt++) {
				int executedBefore = executions(key);
				injectRandomFault();
				Caller.ServiceReply reply = sendOrder(this.random.nextInt(this.system.urls().size()), key, "{}");
				this.system.log().faults().setDown(false);
				this.system.log().faults().dropResponses(0);
				this.system.service().crashNext(ServiceStandIn.Crash.NONE);
				if (reply.executed().equals("no")) {
					Assert.assertEquals(executions(key), executedBefore,
							"ran although reported as not executed, seed " + SEED);
				}
				lastReplies.put(key, reply);
			}
		}
		Assert.assertEquals(
				this.system.service().executionCounts().keySet().stream().filter((key) -> executions(key) > 1).count(),
				0, "seed " + SEED);
		lastReplies.forEach((key, reply) -> {
			if (reply.status() == 200) {
				Assert.assertEquals(executions(key), 1,
						"reported as successful but did not run exactly once, seed " + SEED);
			}
			Assert.assertFalse(reply.executed().equals("no") && executions(key) > 0 && reply.status() == 200);
		});
	}

	private void injectRandomFault() {
		switch (this.random.nextInt(6)) {
			case 0 -> this.system.service().crashNext(ServiceStandIn.Crash.BEFORE_EFFECT);
			case 1 -> this.system.service().crashNext(ServiceStandIn.Crash.AFTER_EFFECT);
			case 2 -> this.system.log().faults().setDown(true);
			case 3 -> this.system.log().faults().dropResponses(1);
			case 4 -> this.system.log().faults().dropResponses(3);
			default -> {
			}
		}
	}

}
