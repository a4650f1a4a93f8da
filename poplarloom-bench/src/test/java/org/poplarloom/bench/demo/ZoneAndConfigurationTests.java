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
import org.poplarloom.core.version.Change;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.ctl.PoplarloomCtl;
import org.poplarloom.entry.process.Daemon;
import org.poplarloom.entry.version.ConfigurationStream;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.standin.http.EngineStandIn;

/**
 * Tests of zones that leave and of configuration under failures, with real daemons.
 */
public class ZoneAndConfigurationTests {

	private static final AvailabilityZone GIJON = AvailabilityZone.of("gijon");

	private static final long PATIENCE_MILLIS = 20_000;

	private static final byte[] QUESTION = Caller.prompt(1_000, 5, "question");

	private final Caller caller = new Caller();

	private LocalSystem system;

	@BeforeMethod
	public void start() {
		this.system = LocalSystem.start(LocalSystem.Layout.DEFAULT.withSizes(2, 1), SampleContracts.generous());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private int order(Daemon daemon, String direction) {
		return PoplarloomCtl.run("--url", daemon.url(), "--token", LocalSystem.OPERATOR_TOKEN, "az", direction,
				GIJON.value());
	}

	private Daemon daemon(String name) {
		return this.system.daemons().get(name);
	}

	private static void await(String what, BooleanSupplier condition) {
		long end = System.currentTimeMillis() + PATIENCE_MILLIS;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < end, what);
			LocalSystem.pause(10);
		}
	}

	private void askEverywhere() {
		for (String url : this.system.urls()) {
			Caller.Answer answer = this.caller.ask(url, SampleContracts.ROTA_KEY, QUESTION, 20_000);
			Assert.assertTrue(answer.isWhole() && answer.pieces() == 5, answer.toString());
		}
	}

	@Test
	public void zoneThatIsOutGetsNoNewWorkAndAllCallersAreServed() {
		Assert.assertEquals(order(daemon("bilbao-entry-1"), "out"), 0);
		EngineStandIn engine = this.system.engines().get("gijon-engine-1");
		long before = engine.lastRequestMillis();
		askEverywhere();
		Assert.assertEquals(engine.lastRequestMillis(), before);
		Assert.assertEquals(order(daemon("bilbao-entry-1"), "in"), 0);
		askEverywhere();
		Assert.assertTrue(engine.lastRequestMillis() > before);
	}

	@Test
	public void orderGivenWhileTheLogIsDownIsConfirmedLater() {
		this.system.log().faults().setDown(true);
		Assert.assertEquals(order(daemon("gijon-entry-1"), "out"), 0);
		this.system.daemons().values().forEach((daemon) -> {
			Assert.assertTrue(daemon.node().activeConfiguration().state().isZoneOut(GIJON));
			Assert.assertFalse(daemon.node().activeConfiguration().configuration().isZoneOut(GIJON));
		});
		this.system.log().faults().setDown(false);
		await("the order is not confirmed",
				() -> this.system.daemons()
					.values()
					.stream()
					.allMatch((daemon) -> daemon.node().activeConfiguration().configuration().isZoneOut(GIJON)
							&& daemon.node().activeConfiguration().state().unconfirmedZoneCommands().isEmpty()));
	}

	@Test
	public void instanceThatStartsWhileTheLogIsDownLearnsFromPeers() {
		Assert.assertEquals(order(daemon("gijon-entry-1"), "out"), 0);
		this.system.log().faults().setDown(true);
		Daemon late = this.system.addDaemon("gijon-entry-late", GIJON.value());
		await("the instance has learnt nothing", () -> late.notReadyReason().isEmpty());
		Assert.assertTrue(late.node().activeConfiguration().state().isZoneOut(GIJON));
		Assert.assertEquals(late.node().activeConfiguration().configuration().digest(),
				daemon("bilbao-entry-2").node().activeConfiguration().configuration().digest());
	}

	@Test
	public void instanceThatStartsAfterRetentionDroppedTheFirstRecordsIsComplete() {
		Assert.assertEquals(order(daemon("gijon-entry-1"), "out"), 0);
		this.system.log().expire(ConfigurationStream.NAME, 2);
		Daemon late = this.system.addDaemon("gijon-entry-late", GIJON.value());
		await("the instance has learnt nothing", () -> late.notReadyReason().isEmpty());
		Assert.assertEquals(late.node().activeConfiguration().configuration().contracts().size(), 2);
		Assert.assertTrue(late.node().activeConfiguration().state().isZoneOut(GIJON));
	}

	@Test
	public void stateIsRepublishedBeforeRetentionDropsIt() {
		for (int i = 0; i < 20; i++) {
			publish("x" + i, new Change.SetZone(AvailabilityZone.of("z" + i), true));
		}
		this.system.log().expire(ConfigurationStream.NAME, 3);
		publish("wake", new Change.SetZone(AvailabilityZone.of("z1"), true));
		await("no snapshot",
				() -> this.system.daemons()
					.values()
					.stream()
					.allMatch((daemon) -> daemon.node().activeConfiguration().snapshotOffset() > 3));
	}

	private void publish(String id, Change change) {
		Publication publication = new Publication(id, Publication.ANY_OFFSET, "test", change);
		this.system.log()
			.append(ConfigurationStream.NAME, StreamRecord.of(publication).stream().map(Documents::write).toList());
	}

	@Test
	public void lostAppendAnswersAndRacingOperatorsLeaveOneStateEverywhere() {
		this.system.log().faults().loseAnswers(1);
		List<CompletableFuture<Integer>> orders = new ArrayList<>();
		orders.add(CompletableFuture.supplyAsync(() -> order(daemon("gijon-entry-1"), "out")));
		orders.add(CompletableFuture.supplyAsync(() -> order(daemon("bilbao-entry-1"), "in")));
		orders.forEach((order) -> Assert.assertEquals(order.join().intValue(), 0));
		await("states differ",
				() -> this.system.daemons()
					.values()
					.stream()
					.map((daemon) -> daemon.node().activeConfiguration().state().isZoneOut(GIJON) + "/"
							+ daemon.node().activeConfiguration().configuration().digest())
					.distinct()
					.count() == 1);
	}

	@Test
	public void gracefulStopCutsOffNothing() {
		Daemon leaving = daemon("gijon-entry-1");
		byte[] body = Caller.prompt(1_000, 120, "long answer");
		List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			answers.add(CompletableFuture
				.supplyAsync(() -> this.caller.ask(leaving.url(), SampleContracts.ROTA_KEY, body, 30_000)));
		}
		await("nothing is running", () -> leaving.node().grantClient().heldCount() == 8);
		this.system.daemons().remove("gijon-entry-1").stopGracefully();
		for (CompletableFuture<Caller.Answer> answer : answers) {
			Assert.assertTrue(answer.join().isWhole() && answer.join().pieces() == 120, answer.join().toString());
		}
		askEverywhere();
	}

	@Test
	public void streamsOnACrashedEngineGoOnElsewhere() {
		byte[] body = Caller.prompt(1_000, 100, "answer that is resumed");
		String url = daemon("gijon-entry-1").url();
		EngineStandIn engine = this.system.engines().get("gijon-engine-1");
		CompletableFuture<Caller.Answer> answer = CompletableFuture
			.supplyAsync(() -> this.caller.ask(url, SampleContracts.ROTA_KEY, body, 30_000));
		await("no tokens", () -> engine.producedTokens() >= 20);
		engine.crash();
		Assert.assertTrue(answer.join().isWhole() && answer.join().pieces() == 100, answer.join().toString());
	}

}
