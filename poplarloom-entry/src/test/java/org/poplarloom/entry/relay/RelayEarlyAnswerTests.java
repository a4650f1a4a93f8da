package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * An endpoint answers a long request before it has read it, without a length, and ends
 * the connection while the rest of the request is still to be written.
 */
public class RelayEarlyAnswerTests extends RelayFixture {

	private static final String EARLY = "POST /once/early";

	private static final String PART_OF_BODY = "the beginning of an answer";

	private static final long PAUSE_MILLIS = 200;

	/**
	 * Returns the ends of the connection, each with bodies that do not fit into the
	 * buffers of the sockets.
	 * @return the end and the length of the body in bytes
	 */
	@DataProvider
	public static Object[][] ends() {
		List<Object[]> ends = new ArrayList<>();
		for (End end : End.values()) {
			ends.add(new Object[] { end, 6 * 1024 * 1024 });
			ends.add(new Object[] { end, 12 * 1024 * 1024 });
		}
		return ends.toArray(Object[][]::new);
	}

	private static void end(End end, WorkerStandIn.ResponseWriter out) throws IOException {
		switch (end) {
			case RESET -> out.reset();
			case CLOSED -> out.close();
			default -> {
				out.shutdownOutput();
				pause(2_000);
			}
		}
	}

	/** Guards against a part of an answer that its caller gets as a complete one. */
	@Test(dataProvider = "ends")
	public void theBeginningOfAnEarlyAnswerIsNoSuccess(End end, int bodyBytes) {
		this.firstWorker.answerEarly(EARLY);
		this.firstWorker.respondWith((request, out) -> {
			if (request.requestLine().startsWith(EARLY)) {
				out.write(out.head(request, 200, "Connection: close") + PART_OF_BODY);
				pause(PAUSE_MILLIS);
				end(end, out);
			}
			else {
				out.answer(request, "ok");
			}
		});
		publish(CallerStandIn.configuration(3, "model", "app")
			.replace("\"maxBodyBytes\":100000", "\"maxBodyBytes\":14000000"), "app", "ready");
		String answer = exchange(EARLY, "r1", "x".repeat(bodyBytes));
		Assert.assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
		Assert.assertEquals(receivedCount("r1"), 1);
	}

	/**
	 * How the connection ends.
	 */
	private enum End {

		/** It is reset. */
		RESET,
		/** It is closed, with bytes that were not read. */
		CLOSED,
		/** The endpoint sends nothing more, but keeps the connection. */
		HALF_CLOSED

	}

}
