package org.poplarloom.entry.relay;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * An endpoint in trouble answers with a status that is none.
 */
public class RelayInvalidStatusTests extends RelayFixture {

	/** Much shorter than the timeout of the routes, which is 2 s. */
	private static final long MAX_WAIT_MILLIS = 1_000;

	@DataProvider
	public static Object[] statuses() {
		return new Object[] { "000", "001", "042", "099", "600", "601", "999", "0", "20", "1000", "-20", "2 0", "abc" };
	}

	private String answer(String methodAndPath, String id) {
		return exchange(methodAndPath, id, "body");
	}

	/**
	 * Guards against a status that is none as the answer, and against callers who wait
	 * until their timeout since it is taken for an interim one.
	 */
	@Test(dataProvider = "statuses")
	public void anAnswerWithAnInvalidStatusFailsAtOnce(String status) {
		this.firstWorker.respondWith((request, out) -> {
			if (request.requestLine().startsWith("POST /once/bad")) {
				out.write("HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.id() + "\r\nServer-Stamp: 3e1b\r\n"
						+ "Content-Length: 2\r\n\r\nok");
			}
			else {
				out.answer(request, "ok");
			}
		});
		configure("app", "ready");
		long start = System.nanoTime();
		String answer = answer("POST /once/bad", "r1");
		long waitedMillis = (System.nanoTime() - start) / 1_000_000;
		Assert.assertTrue(answer.startsWith("HTTP/1.1 502"), status + ": " + answer);
		Assert.assertTrue(waitedMillis < MAX_WAIT_MILLIS, status + ": " + waitedMillis + " ms");
		Assert.assertEquals(receivedCount("r1"), 1);
	}

	/** Guards against a lookup that fails although another endpoint can answer it. */
	@Test(dataProvider = "statuses")
	public void anIdempotentRequestIsAnsweredByAnotherEndpoint(String status) {
		this.firstWorker.respondWith((request, out) -> out.write("HTTP/1.1 " + status + " X\r\nRequest-Id: "
				+ request.id() + "\r\nServer-Stamp: 3e1b\r\nContent-Length: 2\r\n\r\nok"));
		configure("app", "ready", "ready");
		Assert.assertTrue(answer("GET /again/x", "r1").startsWith("HTTP/1.1 200"), status);
	}

}
