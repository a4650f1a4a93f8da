package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of endpoints whose process is replaced by another one at the same address while
 * they answer.
 */
public class RelayRestartedEndpointTests extends RelayFixture {

	private static final long SILENT_MILLIS = 4_000;

	private static final long LONG_PROMPT_TOKENS = 450_000;

	private static void writeStatus(WorkerStandIn.ResponseWriter out, long lifetime) throws IOException {
		String status = "{\"busy\":false,\"born\":" + lifetime + "}";
		out.write("HTTP/1.1 200 OK\r\nContent-Length: " + status.length() + "\r\n\r\n" + status);
	}

	/**
	 * Guards against an answer without a length that is passed on as complete because the
	 * next process at the address responds.
	 */
	@Test
	public void anAnswerIsNotCompletedByTheNextProcessAtItsAddress() {
		configure("app", "ready");
		AtomicInteger checks = new AtomicInteger();
		this.firstWorker.respondWith((request, out) -> {
			if (request.requestLine().startsWith("GET /report")) {
				checks.incrementAndGet();
				writeStatus(out, WorkerStandIn.FIRST_LIFETIME + 9_000);
				return;
			}
			out.write(out.head(request, 200, "Connection: close") + "par");
			out.close();
		});
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
		Assert.assertTrue(checks.get() > 0);
	}

	@Test
	public void anAnswerIsCompleteIfItsOwnProcessResponds() {
		configure("app", "ready");
		this.firstWorker.respondWith((request, out) -> {
			if (request.requestLine().startsWith("GET /report")) {
				writeStatus(out, WorkerStandIn.FIRST_LIFETIME);
				return;
			}
			out.write(out.head(request, 200, "Connection: close") + "whole");
			out.close();
		});
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("whole"), answer);
	}

	/**
	 * Guards against memory that helpers keep for a prompt whose endpoint has lost it in
	 * a restart, while its connection stays silent.
	 */
	@Test
	public void memoryIsNotRenewedForTheNextProcessAtTheAddress() throws Exception {
		publish(CallerStandIn.configuration(3, "model", "app", 100_000_000, 0.0001), "model", "ready", "ready");
		AtomicReference<WorkerStandIn> restarted = new AtomicReference<>();
		AtomicInteger renewals = new AtomicInteger();
		for (WorkerStandIn worker : List.of(this.firstWorker, this.secondWorker)) {
			worker.respondWith((request, out) -> {
				if (request.header("Request-Id").equals("large")) {
					restarted.set(worker);
					pause(SILENT_MILLIS);
				}
				else if (request.requestLine().startsWith("GET /report")) {
					writeStatus(out, WorkerStandIn.FIRST_LIFETIME + 9_000);
				}
				else {
					if (restarted.get() != null && request.body().contains("reserve")) {
						renewals.incrementAndGet();
					}
					WorkerStandIn.STREAM_OF_ONE_EVENT.answer(request, out);
				}
			});
		}
		await(() -> {
			try (CallerStandIn caller = new CallerStandIn(this.callerAddress)) {
				caller.sendPrompt("/stream/large", "large", LONG_PROMPT_TOKENS);
				caller.readAll();
			}
			catch (IOException ex) {
				return false;
			}
			return restarted.get() != null;
		});
		Assert.assertEquals(renewals.get(), 0);
	}

}
