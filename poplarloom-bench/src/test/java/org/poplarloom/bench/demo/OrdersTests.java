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
 * Tests that orders run at most once, with real daemons and failing platform parts.
 */
public class OrdersTests {

	private static final long SEED = 7;

	private final Caller caller = new Caller();

	private final Random random = new Random(SEED);

	private LocalSystem system;

	@BeforeClass
	public void start() {
		this.system = LocalSystem.start(LocalSystem.Layout.DEFAULT.withSizes(2, 1), SampleContracts.generous());
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private String newKey() {
		return IdempotencyKey.of(System.currentTimeMillis(), this.random.nextLong()).toString();
	}

	private Caller.ServiceReply order(int daemon, String key, String body) {
		return this.caller.order(this.system.urls().get(daemon), SampleContracts.BRINDLEY_KEY, key, body);
	}

	private int executions(String key) {
		return this.system.service().executions().getOrDefault(key, 0);
	}

	@Test
	public void sameKeyAtAllInstancesAtOnceRunsOnce() {
		for (int round = 0; round < 5; round++) {
			String key = newKey();
			List<CompletableFuture<Caller.ServiceReply>> replies = new ArrayList<>();
			for (int daemon = 0; daemon < this.system.urls().size(); daemon++) {
				int index = daemon;
				replies.add(CompletableFuture.supplyAsync(() -> order(index, key, "{}")));
			}
			long done = replies.stream().filter((reply) -> reply.join().status() == 200).count();
			Assert.assertTrue(done >= 1, "seed " + SEED);
			Assert.assertEquals(executions(key), 1, "seed " + SEED);
			replies.forEach((reply) -> Assert.assertTrue(
					reply.join().status() == 200 || reply.join().executed().equals("unknown"),
					reply.join().toString()));
		}
	}

	@Test
	public void repeatedOrderGetsTheRecordedAnswer() {
		String key = newKey();
		Assert.assertEquals(order(0, key, "{}").status(), 200);
		Assert.assertEquals(order(0, key, "{}").status(), 200);
		Assert.assertEquals(order(5, key, "{}").status(), 200);
		Assert.assertEquals(executions(key), 1);
		Assert.assertEquals(order(3, key, "{\"other\":1}").code(), "idempotency_key_reused");
	}

	@Test
	public void keyOlderThanTheWindowIsRefused() {
		String key = IdempotencyKey.of(System.currentTimeMillis() - 90_000_000, 1).toString();
		Caller.ServiceReply reply = order(0, key, "{}");
		Assert.assertEquals(reply.code(), "expired_idempotency_key");
		Assert.assertEquals(reply.executed(), "no");
		Assert.assertEquals(order(0, "not-a-key", "{}").code(), "invalid_idempotency_key");
	}

	@Test(dependsOnMethods = { "sameKeyAtAllInstancesAtOnceRunsOnce", "repeatedOrderGetsTheRecordedAnswer",
			"keyOlderThanTheWindowIsRefused" })
	public void failuresNeverRunAnOrderTwice() {
		Map<String, Caller.ServiceReply> last = new HashMap<>();
		for (int round = 0; round < 60; round++) {
			String key = newKey();
			int tries = 1 + this.random.nextInt(3);
			for (int attempt = 0; attempt < tries; attempt++) {
				int executedBefore = executions(key);
				bringAboutFault();
				Caller.ServiceReply reply = order(this.random.nextInt(this.system.urls().size()), key, "{}");
				this.system.log().faults().setDown(false);
				this.system.log().faults().loseAnswers(0);
				this.system.service().crashNext(ServiceStandIn.Crash.NONE);
				if (reply.executed().equals("no")) {
					Assert.assertEquals(executions(key), executedBefore, "ran although refused, seed " + SEED);
				}
				last.put(key, reply);
			}
		}
		Assert.assertEquals(
				this.system.service().executions().keySet().stream().filter((key) -> executions(key) > 1).count(), 0,
				"seed " + SEED);
		last.forEach((key, reply) -> {
			if (reply.status() == 200) {
				Assert.assertEquals(executions(key), 1, "answered but not run, seed " + SEED);
			}
			Assert.assertFalse(reply.executed().equals("no") && executions(key) > 0 && reply.status() == 200);
		});
	}

	private void bringAboutFault() {
		switch (this.random.nextInt(6)) {
			case 0 -> this.system.service().crashNext(ServiceStandIn.Crash.BEFORE_EFFECT);
			case 1 -> this.system.service().crashNext(ServiceStandIn.Crash.AFTER_EFFECT);
			case 2 -> this.system.log().faults().setDown(true);
			case 3 -> this.system.log().faults().loseAnswers(1);
			case 4 -> this.system.log().faults().loseAnswers(3);
			default -> {
			}
		}
	}

}
