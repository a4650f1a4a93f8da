package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests of callers that disconnect before their answer is complete.
 * <p>
 * A request that continues without its caller occupies a slot of an endpoint; a queued
 * one could even be granted and run after its caller has disconnected.
 */
public class RelayDisconnectTests extends RelayFixture {

	/** The number of slots in the entry of the worker stand-in. */
	private static final int SLOTS = 4;

	@Test
	public void callerDisconnectCancelsTheRequestAtTheEndpoint() throws IOException {
		configure("model", "ready");
		boolean[] closed = new boolean[1];
		this.firstWorker.respondWith((request, out) -> {
			out.write(out.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
			try {
				for (int id = 0; id < 500; id++) {
					out.write(out.event(id));
					pause();
				}
			}
			catch (IOException ex) {
				closed[0] = true;
				throw ex;
			}
		});
		try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
			caller.send("POST /stream/x", "r1", "", "prompt");
			caller.readUntil("piece 1");
		}
		await(() -> closed[0]);
	}

	@Test
	public void queuedRequestNeverRunsAfterItsCallerDisconnects() throws IOException {
		configure("model", "ready");
		CountDownLatch runningMayEnd = new CountDownLatch(1);
		this.firstWorker.respondWith((request, out) -> {
			out.write(out.head(request, 200, "Transfer-Encoding: chunked") + out.event(1));
			awaitLatch(runningMayEnd);
			out.write("0\r\n\r\n");
		});
		List<CallerStandIn> runningCallers = new ArrayList<>();
		for (int i = 0; i < SLOTS; i++) {
			CallerStandIn runningCaller = new CallerStandIn(this.callerAddress);
			runningCallers.add(runningCaller);
			runningCaller.send("POST /stream/x", "running" + i, "", "prompt");
			runningCaller.readUntil("piece 1");
		}
		try (CallerStandIn queued = new CallerStandIn(this.callerAddress)) {
			queued.send("POST /stream/x", "queued", "", "prompt");
			pause(200);
		}
		pause(200);
		runningMayEnd.countDown();
		await(() -> metrics().contains("poplarloom_grants_held 0"));
		Assert.assertEquals(receivedCount("queued"), 0);
		for (CallerStandIn runningCaller : runningCallers) {
			runningCaller.close();
		}
	}

}
