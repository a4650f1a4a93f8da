package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests of a planned stop while callers open and close connections.
 */
public class RelayBusyStopTests extends RelayFixture {

	private static final int KEPT_CONNECTIONS = 300;

	private static final int NEW_CONNECTION_THREADS = 6;

	private static final long MAX_TEST_MILLIS = 30_000;

	private volatile boolean ended;

	private void openAndClose() {
		while (!this.ended) {
			try {
				new CallerStandIn(this.callerAddress).close();
			}
			catch (IOException ex) {
				// The instance has closed the port.
				return;
			}
		}
	}

	/**
	 * Guards against a stop that fails since connections come and go while it counts the
	 * requests in progress, so that the process ends and cuts them off.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void connectionsThatComeAndGoDoNotEndTheStop() throws Exception {
		configure("app", "ready");
		CountDownLatch started = new CountDownLatch(1);
		this.firstWorker.respondWith((request, out) -> {
			started.countDown();
			pause(1_000);
			out.answer(request, "complete");
		});
		List<CallerStandIn> kept = new ArrayList<>();
		List<Thread> callers = new ArrayList<>();
		List<Throwable> failures = new ArrayList<>();
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			for (int i = 0; i < KEPT_CONNECTIONS; i++) {
				kept.add(new CallerStandIn(this.callerAddress));
			}
			for (int i = 0; i < NEW_CONNECTION_THREADS; i++) {
				Thread thread = new Thread(this::openAndClose, "caller");
				thread.start();
				callers.add(thread);
			}
			caller.send("POST /once/x", "running", "", "{}");
			awaitLatch(started);
			Thread stop = new Thread(this.daemon::stopGracefully, "stop");
			stop.setUncaughtExceptionHandler((thread, failure) -> failures.add(failure));
			stop.start();
			String answer = caller.readUntil("complete");
			stop.join();
			Assert.assertEquals(failures, List.of());
			Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
		}
		finally {
			this.ended = true;
			for (CallerStandIn connection : kept) {
				connection.close();
			}
			for (Thread thread : callers) {
				thread.join();
			}
		}
	}

}
