package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests with an endpoint that has started again under a new id at its former address,
 * while the entry of its former id is still listed.
 */
public class RelayReusedAddressTests extends RelayFixture {

	private static final String NEW_ID = "i-3";

	private static final long NEW_LIFETIME = WorkerStandIn.FIRST_LIFETIME + 10_000;

	/** Longer than a home takes to read new entries. */
	private static final long READ_MILLIS = 1_500;

	/** The ids that the endpoints which ran the order were expected to have. */
	private final Queue<String> runs = new ConcurrentLinkedQueue<>();

	/**
	 * Returns refusals of a process that has not the expected id, with the attempts that
	 * the route allows.
	 * @return the status line and headers, and the attempts
	 */
	@DataProvider
	public static Object[][] refusals() {
		return new Object[][] { { "421 Misdirected", 1 }, { "421 Misdirected", 2 },
				{ "503 Busy\r\nNot-Executed: 1", 2 }, { "503 Busy\r\nNot-Executed: 1", 3 } };
	}

	// Writes a refusal once more before the answer to the next request on the connection.
	private WorkerStandIn.Script repeatingRefusal(String refusal) {
		Queue<WorkerStandIn.ResponseWriter> refusing = new ConcurrentLinkedQueue<>();
		return (request, out) -> {
			if (isStatusRequest(request, out)) {
				return;
			}
			String text = "HTTP/1.1 " + refusal + "\r\nRequest-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n";
			if (!request.header("Expect-Instance").equals(NEW_ID)) {
				list(NEW_ID, this.firstWorker.address(), NEW_LIFETIME);
				refusing.add(out);
				out.write(text);
				return;
			}
			this.runs.add(request.header("Expect-Instance"));
			list(this.secondWorker.id(), this.secondWorker.address(), WorkerStandIn.FIRST_LIFETIME);
			if (refusing.contains(out)) {
				out.write(text);
			}
			out.answer(request, "ok");
		};
	}

	// An endpoint answers it at once and runs nothing for it.
	private static boolean isStatusRequest(WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out)
			throws IOException {
		boolean isStatusRequest = request.requestLine().startsWith("GET /report ");
		if (isStatusRequest) {
			out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
		}
		return isStatusRequest;
	}

	private void list(String id, String address, long lifetime) {
		this.store.put(Tables.WORKERS, id, WorkerStandIn.entry("app", "norte-a", "ready", address, lifetime));
		pause(READ_MILLIS);
	}

	/**
	 * Guards against an order that runs twice, or is refused as not run although it runs,
	 * since a copy of its first refusal was taken for the answer to its second attempt.
	 */
	@Test(dataProvider = "refusals")
	public void aRefusalThatComesOnceMoreIsNotTheAnswerToTheNextAttempt(String refusal, int attempts) {
		this.runs.clear();
		String configuration = CallerStandIn.withTimeout(CallerStandIn.configuration(3, "model", "app"), 10_000);
		publish(configuration.replace("\"attempts\":2", "\"attempts\":" + attempts), "app", "ready");
		this.firstWorker.respondWith(repeatingRefusal(refusal));
		this.secondWorker.respondWith((request, out) -> {
			if (!isStatusRequest(request, out)) {
				this.runs.add(request.header("Expect-Instance"));
				out.answer(request, "ok");
			}
		});
		String answer = exchange("POST /once/x", "order", "swap");
		Assert.assertEquals(List.copyOf(this.runs), List.of(NEW_ID), answer);
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
	}

}
