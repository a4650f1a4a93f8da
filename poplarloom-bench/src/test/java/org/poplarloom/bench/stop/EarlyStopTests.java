package org.poplarloom.bench.stop;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.bench.capacity.RelayProcess;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of a planned stop that begins as soon as a daemon listens, with real processes.
 */
public class EarlyStopTests {

	private static final int STOPS = 3;

	/** An idle instance continues for 3 s after the signal. */
	private static final long SHORTEST_DRAIN_MILLIS = 2_500;

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static final long MAX_TEST_MILLIS = 120_000;

	/** Tests at the same time use different loopback addresses, as ports are fixed. */
	private static final int MAX_NETWORKS = 250;

	private StoreStandIn store;

	private WorkerStandIn endpoint;

	private RelayProcess daemon;

	@BeforeMethod
	public void startStandIns() throws IOException {
		this.store = new StoreStandIn();
		this.endpoint = new WorkerStandIn("i-app");
		this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY,
				CallerStandIn.configuration(3, "model", "app"));
		this.store.put(Tables.WORKERS, this.endpoint.id(), this.endpoint.entry("app", "zone-a", "ready"));
	}

	@AfterMethod(alwaysRun = true)
	public void stopAll() throws IOException {
		if (this.daemon != null) {
			this.daemon.process().destroyForcibly().onExit().join();
		}
		this.endpoint.close();
		this.store.close();
	}

	/**
	 * Guards against a signal that ends the process at once, with the requests of its
	 * first callers, since it comes before the shutdown hook is registered.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void aSignalAsSoonAsThePortIsOpenBeginsADrain() throws Exception {
		Path directory = Files.createTempDirectory("early-stop");
		String host = "127.104." + ProcessHandle.current().pid() % MAX_NETWORKS + ".1";
		RelayProcess.Identity identity = new RelayProcess.Identity("edge-1", "zone-a", host, List.of(host + ":1"));
		for (int i = 0; i < STOPS; i++) {
			this.daemon = RelayProcess.start(identity, this.store.address(), directory, RelayProcess.command());
			try (CallerStandIn caller = connect(identity.callerAddress())) {
				long startNanos = System.nanoTime();
				this.daemon.process().destroy();
				caller.setReadTimeout(READ_TIMEOUT_MILLIS);
				caller.send("GET /again/x", "r" + i, "Connection: close\r\n", "");
				String answer = caller.readAll();
				this.daemon.process().waitFor();
				long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
				Assert.assertTrue(millis >= SHORTEST_DRAIN_MILLIS,
						"ended after " + millis + " ms, see " + this.daemon.log());
				Assert.assertTrue(answer.startsWith("HTTP/1.1 "), "'" + answer + "', see " + this.daemon.log());
			}
		}
	}

	// The shorter the time to the connection, the earlier the signal.
	private CallerStandIn connect(String address) {
		Optional<CallerStandIn> caller = Optional.empty();
		while (caller.isEmpty()) {
			Assert.assertTrue(this.daemon.process().isAlive(), "process has ended, see " + this.daemon.log());
			caller = tryConnect(address);
		}
		return caller.get();
	}

	private static Optional<CallerStandIn> tryConnect(String address) {
		try {
			return Optional.of(new CallerStandIn(address));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
