package org.poplarloom.bench.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
 * Tests of changes of a shard's home, the instance that grants the shard's endpoints,
 * with real daemons.
 * <p>
 * Guards against a new home that does not know the grants of its predecessor and so
 * overloads an engine, against streams that break off because a home has stopped, and
 * against requests that fail during a rolling replacement of all instances.
 */
public class HomeChangeTests {

	private static final ShardId SHARD = new ShardId(AvailabilityZone.of("gijon"), 0);

	private static final EndpointId ENGINE = EndpointId.of("gijon-engine-1");

	private static final long AWAIT_TIMEOUT_MILLIS = 20_000;

	/** The instance list is read once a second. */
	private static final long START_MILLIS = 1_500;

	private final Caller caller = new Caller();

	private LocalSystem system;

	@BeforeMethod
	public void start() {
		this.system = LocalSystem.start(LocalSystem.Layout.DEFAULT.withCountsPerZone(3, 1),
				SampleContracts.withHighLimits());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private List<String> gijonDaemons() {
		return this.system.daemons().keySet().stream().filter((name) -> name.startsWith("gijon")).toList();
	}

	private String homeDaemon() {
		return gijonDaemons().stream().filter((name) -> homeAt(name) != null).findFirst().orElse(null);
	}

	private ShardHome homeAt(String name) {
		return this.system.daemons().get(name).node().localHomes().homes().get(SHARD);
	}

	private static void await(String description, BooleanSupplier condition) {
		long deadline = System.currentTimeMillis() + AWAIT_TIMEOUT_MILLIS;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < deadline, description);
			LocalSystem.sleep(10);
		}
	}

	/**
	 * Guards against two homes that grant the same engines: an instance took over the
	 * shards of its zone before it had heard of the others.
	 */
	@Test
	public void noShardHasTwoHomesAfterAStart() {
		long end = System.currentTimeMillis() + START_MILLIS;
		while (System.currentTimeMillis() < end) {
			for (String zone : LocalSystem.Layout.DEFAULT.zones()) {
				List<String> homes = this.system.daemons()
					.entrySet()
					.stream()
					.filter((entry) -> entry.getKey().startsWith(zone)
							&& !entry.getValue().node().localHomes().isEmpty())
					.map(Map.Entry::getKey)
					.toList();
				Assert.assertTrue(homes.size() <= 1, homes.toString());
			}
			LocalSystem.sleep(5);
		}
	}

	@Test
	public void newHomeLearnsGrantsAndStreamsCompleteWhenHomeStopsAbruptly() {
		await("gijon does not have exactly one home",
				() -> gijonDaemons().stream().filter((name) -> homeAt(name) != null).count() == 1);
		String firstHome = homeDaemon();
		byte[] body = Caller.chatRequestBody(1_000, 400, "answer that outlives its home");
		List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
		for (String name : gijonDaemons()) {
			if (!name.equals(firstHome)) {
				String url = this.system.daemons().get(name).url();
				answers.add(CompletableFuture
					.supplyAsync(() -> this.caller.sendChatRequest(url, SampleContracts.ROTA_KEY, body, 60_000)));
			}
		}
		await("not all requests are running", () -> homeAt(firstHome).runningOn(ENGINE) == answers.size());
		long firstFencingToken = this.system.engines().get(ENGINE.value()).highestFencingToken();
		Daemon stopped = this.system.daemons().remove(firstHome);
		stopped.close();
		await("there is no new home", () -> homeDaemon() != null);
		String secondHome = homeDaemon();
		await("the new home does not know all grants", () -> homeAt(secondHome).runningOn(ENGINE) == answers.size());
		for (CompletableFuture<Caller.Answer> answer : answers) {
			Assert.assertTrue(answer.join().isComplete() && answer.join().contiguousTokens() == 400,
					answer.join().toString());
		}
		String url = this.system.daemons().get(secondHome).url();
		await("the fencing token was not raised above " + firstFencingToken, () -> {
			byte[] next = Caller.chatRequestBody(500, 5, "next");
			Assert.assertTrue(this.caller.sendChatRequest(url, SampleContracts.ROTA_KEY, next, 20_000).isComplete());
			return this.system.engines().get(ENGINE.value()).highestFencingToken() > firstFencingToken;
		});
	}

	@Test
	public void everyNewInstanceServesRequestsDuringRollingReplacement() {
		List<String> names = new ArrayList<>(this.system.daemons().keySet());
		for (String name : names) {
			Daemon old = this.system.daemons().remove(name);
			String zone = old.node().settings().zone().value();
			this.system.addDaemon(name + "-next", zone);
			old.stopGracefully();
			this.system.instanceList().remove(name);
			String url = this.system.daemons().get(name + "-next").url();
			await(name + "-next is not ready",
					() -> this.system.daemons().get(name + "-next").notReadyReason().isEmpty());
			Caller.Answer answer = this.caller.sendChatRequest(url, SampleContracts.ROTA_KEY,
					Caller.chatRequestBody(500, 5, name), 20_000);
			Assert.assertTrue(answer.isComplete(), answer.toString());
		}
	}

}
