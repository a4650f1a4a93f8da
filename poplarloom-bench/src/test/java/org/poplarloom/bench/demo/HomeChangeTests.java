package org.poplarloom.bench.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.ShardHome;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.entry.process.Daemon;

/**
 * Tests of homes that end without warning, with real daemons.
 */
public class HomeChangeTests {

	private static final ShardId SHARD = new ShardId(AvailabilityZone.of("gijon"), 0);

	private static final EndpointId ENGINE = EndpointId.of("gijon-engine-1");

	private static final long PATIENCE_MILLIS = 20_000;

	private final Caller caller = new Caller();

	private LocalSystem system;

	@BeforeMethod
	public void start() {
		this.system = LocalSystem.start(LocalSystem.Layout.DEFAULT.withSizes(3, 1), SampleContracts.generous());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private List<String> gijon() {
		return this.system.daemons().keySet().stream().filter((name) -> name.startsWith("gijon")).toList();
	}

	private String home() {
		return gijon().stream().filter((name) -> homeAt(name) != null).findFirst().orElse(null);
	}

	private ShardHome homeAt(String name) {
		return this.system.daemons().get(name).node().localHomes().homes().get(SHARD);
	}

	private static void await(String what, BooleanSupplier condition) {
		long end = System.currentTimeMillis() + PATIENCE_MILLIS;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < end, what);
			LocalSystem.pause(10);
		}
	}

	@Test
	public void nextHomeKnowsWhatRunsAndNothingOnOtherInstancesIsLost() {
		await("no single home", () -> gijon().stream().filter((name) -> homeAt(name) != null).count() == 1);
		String first = home();
		byte[] body = Caller.prompt(1_000, 400, "answer that outlives its home");
		List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
		for (String name : gijon()) {
			if (!name.equals(first)) {
				String url = this.system.daemons().get(name).url();
				answers.add(CompletableFuture
					.supplyAsync(() -> this.caller.ask(url, SampleContracts.ROTA_KEY, body, 60_000)));
			}
		}
		await("not running", () -> homeAt(first).runningOn(ENGINE) == answers.size());
		long fence = this.system.engines().get(ENGINE.value()).highestFence();
		Daemon killed = this.system.daemons().remove(first);
		killed.close();
		await("no new home", () -> home() != null);
		String second = home();
		await("grants were not announced", () -> homeAt(second).runningOn(ENGINE) == answers.size());
		for (CompletableFuture<Caller.Answer> answer : answers) {
			Assert.assertTrue(answer.join().isWhole() && answer.join().pieces() == 400, answer.join().toString());
		}
		String url = this.system.daemons().get(second).url();
		await("the fence was not raised", () -> {
			byte[] next = Caller.prompt(500, 5, "next");
			Assert.assertTrue(this.caller.ask(url, SampleContracts.ROTA_KEY, next, 20_000).isWhole());
			return this.system.engines().get(ENGINE.value()).highestFence() > fence;
		});
	}

	@Test
	public void allInstancesReplacedOneAfterAnotherLoseNoRequestOfOthers() {
		List<String> names = new ArrayList<>(this.system.daemons().keySet());
		for (String name : names) {
			Daemon old = this.system.daemons().remove(name);
			String zone = old.node().settings().zone().value();
			this.system.addDaemon(name + "-next", zone);
			old.stopGracefully();
			this.system.list().remove(name);
			String url = this.system.daemons().get(name + "-next").url();
			await("not ready", () -> this.system.daemons().get(name + "-next").notReadyReason().isEmpty());
			Caller.Answer answer = this.caller.ask(url, SampleContracts.ROTA_KEY, Caller.prompt(500, 5, name), 20_000);
			Assert.assertTrue(answer.isWhole(), answer.toString());
		}
	}

}
