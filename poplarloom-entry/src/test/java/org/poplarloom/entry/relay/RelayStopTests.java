package org.poplarloom.entry.relay;

import java.io.IOException;
import java.net.SocketException;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

import org.testng.Assert;
import org.testng.annotations.Test;
import sun.misc.Signal;

import org.poplarloom.entry.process.HangupSignal;
import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests of signals and of a graceful stop while requests are in progress.
 * <p>
 * SIGHUP ends a Java process that does not handle it. A graceful stop must not cut off an
 * answer in progress, and a caller that arrives too late must learn that it can retry.
 */
public class RelayStopTests extends RelayFixture {

	private static final int CLOSED_INSTANCES = 5;

	private static final long MAX_TEST_MILLIS = 30_000;

	@Test
	public void hangupSignalEndsNeitherTheProcessNorRequests() throws IOException {
		configure("model", "ready");
		CountDownLatch reloaded = new CountDownLatch(1);
		HangupSignal.handle(reloaded::countDown);
		this.firstWorker.respondWith((request, out) -> {
			out.write(out.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
			out.write(out.event(0));
			await(() -> reloaded.getCount() == 0);
			out.write(out.event(1) + "0\r\n\r\n");
		});
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.send("POST /stream/x", "r1", "Connection: close\r\n", "prompt");
			caller.readUntil("piece 0");
			Signal.raise(new Signal("HUP"));
			Assert.assertTrue(caller.readAll().contains("piece 1"));
		}
	}

	@Test
	public void gracefulStopCompletesTheAnswerInProgress() throws Exception {
		configure("model", "ready");
		this.firstWorker.respondWith((request, out) -> {
			out.write(out.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
			for (int id = 0; id < 20; id++) {
				out.write(out.event(id));
				pause();
			}
			out.write("0\r\n\r\n");
		});
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.send("POST /stream/x", "r1", "", "prompt");
			caller.readUntil("piece 0");
			Thread stop = new Thread(this.daemon::stopGracefully);
			stop.start();
			Assert.assertTrue(caller.readUntil("\r\n0\r\n\r\n").contains("piece 19"));
			stop.join();
		}
	}

	@Test
	public void requestAfterAdmissionEndsInAGracefulStopIsRefusedAsRetryable() throws Exception {
		configure("model", "ready");
		Thread stop = new Thread(this.daemon::stopGracefully);
		stop.start();
		await(() -> exchange("GET /nowhere/x", "late", "").contains("shutting_down"));
		String refusal = exchange("POST /stream/x", "r2", "prompt");
		Assert.assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
		Assert.assertTrue(refusal.toLowerCase(Locale.ROOT).contains("retry-after"), refusal);
		Assert.assertTrue(received().stream().noneMatch((request) -> request.header("Request-Id").equals("r2")));
		stop.join();
	}

	/**
	 * Guards against an instance that leaves its ports and connections open after its
	 * end: callers connect and wait for ever.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void aClosedInstanceHasNoOpenPortOrConnection() throws IOException {
		for (int i = 0; i < CLOSED_INSTANCES; i++) {
			try (CallerStandIn idle = new CallerStandIn(this.callerAddress)) {
				this.daemon.close();
				await(() -> !isListening(this.callerAddress) && !isListening(this.daemon.metricsAddress()));
				awaitEnd(idle);
			}
			restartDaemon();
		}
	}

	// A connection that was not accepted is reset.
	private static void awaitEnd(CallerStandIn caller) {
		try {
			Assert.assertEquals(caller.readAll(), "");
		}
		catch (IOException ex) {
			Assert.assertTrue(ex instanceof SocketException, ex.toString());
		}
	}

	private static boolean isListening(String address) {
		try {
			new CallerStandIn(address).close();
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
