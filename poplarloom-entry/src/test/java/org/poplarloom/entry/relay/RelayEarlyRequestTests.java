package org.poplarloom.entry.relay;

import java.io.IOException;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests of requests that arrive before the instance knows a configuration.
 */
public class RelayEarlyRequestTests extends RelayFixture {

	private static final long PROMPT_MILLIS = 500;

	/** For the processing of a timer and the connection beside other tests. */
	private static final long MARGIN_MILLIS = 800;

	private void publishConfiguration() {
		this.store.put(Tables.WORKERS, this.firstWorker.id(), this.firstWorker.entry("app", "norte-a", "ready"));
		this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(3, "model", "app"));
	}

	/**
	 * Guards against the refusal of callers that return in the moment between the start
	 * of an instance and its first read of the configuration.
	 */
	@Test
	public void aRequestWaitsForTheFirstConfiguration() throws IOException {
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.send("POST /once/x", "r1", "Connection: close\r\n", "swap");
			pause(100);
			publishConfiguration();
			String answer = caller.readAll();
			Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
		}
		Assert.assertEquals(receivedCount("r1"), 1);
	}

	/** Guards against requests that wait for a configuration that nobody can read. */
	@Test
	public void withoutAConfigurationARequestIsRefusedAfterAShortWait() {
		long startMillis = System.currentTimeMillis();
		String answer = exchange("POST /once/x", "r1", "swap");
		long waitMillis = System.currentTimeMillis() - startMillis;
		Assert.assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
		Assert.assertTrue(waitMillis < EarlyRequests.MAX_WAIT_MILLIS + MARGIN_MILLIS, waitMillis + " ms");
	}

	/** Guards against requests that still wait when the startup time is over. */
	@Test
	public void afterTheStartupTimeARequestIsRefusedAtOnce() {
		pause(EarlyRequests.STARTUP_MILLIS);
		long startMillis = System.currentTimeMillis();
		String answer = exchange("POST /once/x", "r1", "swap");
		long waitMillis = System.currentTimeMillis() - startMillis;
		Assert.assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
		Assert.assertTrue(waitMillis < PROMPT_MILLIS, waitMillis + " ms");
	}

	/** Guards against a request that is run although its caller left while it waited. */
	@Test
	public void aRequestWhoseCallerHasLeftIsNotStarted() throws IOException {
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.send("POST /once/x", "left", "Connection: close\r\n", "swap");
			pause(100);
		}
		pause(100);
		publishConfiguration();
		await(() -> exchange("POST /once/x", "later", "swap").startsWith("HTTP/1.1 200"));
		Assert.assertEquals(receivedCount("left"), 0);
	}

	/**
	 * Guards against a planned stop that leaves waiting requests without an answer.
	 */
	@Test
	public void aPlannedStopRefusesAWaitingRequest() throws IOException {
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.send("POST /once/x", "r1", "Connection: close\r\n", "swap");
			pause(50);
			Thread stop = new Thread(this.daemon::stopGracefully);
			stop.start();
			String answer = caller.readAll();
			Assert.assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
			stop.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
