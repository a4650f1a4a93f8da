package org.poplarloom.bench.demo;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.standin.http.EngineStandIn;

/**
 * Tests of chat requests that an engine rejects because it has seen a higher fencing
 * token than the one of their home, with real daemons.
 */
public class StaleFencingTokenTests {

	private static final int ROUNDS = 4;

	private static final int TIMEOUT_MILLIS = 20_000;

	private LocalSystem system;

	private EngineStandIn engine;

	@BeforeMethod
	public void start() {
		LocalSystem.Layout layout = LocalSystem.Layout.DEFAULT;
		this.system = LocalSystem.start(
				new LocalSystem.Layout(List.of("gijon"), 1, 1, layout.engineSettings(), layout.firstHttpPort(),
						layout.failureTimeoutMillis(), layout.settleMillis(), layout.ramp(), layout.drainMillis()),
				SampleContracts.withHighLimits());
		this.engine = this.system.engines().get("gijon-engine-1");
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.system.close();
	}

	private Caller.Answer ask() {
		return new Caller().sendChatRequest(this.system.daemons().get("gijon-entry-1").url(), SampleContracts.ROTA_KEY,
				Caller.chatRequestBody(1_000, 5, "question"), TIMEOUT_MILLIS);
	}

	/**
	 * Guards against requests that use up their attempts before the home has replaced a
	 * stale token.
	 */
	@Test
	public void requestsWaitUntilTheTokenIsReplaced() {
		for (int round = 0; round < ROUNDS; round++) {
			this.engine.raiseFencingToken(this.engine.highestFencingToken() + (1L << 20));
			Caller.Answer answer = ask();
			Assert.assertTrue(answer.isComplete(), "round " + round + ": " + answer);
		}
	}

	/**
	 * Guards against requests that are refused as executed although each attempt was
	 * rejected, and against a token that overflows.
	 */
	@Test
	public void requestsThatAreAlwaysRejectedAreRefusedAsNotRun() {
		this.engine.raiseFencingToken(Long.MAX_VALUE);
		Caller.Answer answer = ask();
		Assert.assertFalse(answer.isComplete(), answer.toString());
		Assert.assertTrue(answer.error().contains("\"code\":\"not_home\""), answer.toString());
		Assert.assertTrue(answer.error().contains("\"executed\":\"no\""), answer.toString());
	}

}
