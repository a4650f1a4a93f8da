package org.poplarloom.entry.relay;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of streams whose framing says that they are complete although they end inside an
 * event.
 */
public class RelayUnfinishedStreamTests extends RelayFixture {

	private static final String FIRST_EVENT = "id: 1\ndata: piece 1\n\n";

	private static final String SECOND_EVENT = "id: 2\ndata: piece 2\n\n";

	private static final String UNFINISHED_EVENT = "id: 2\ndata: pie";

	@DataProvider
	public static Object[] framings() {
		return new Object[] { false, true };
	}

	private static String frame(boolean isChunked, String body) {
		return isChunked ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n" : body;
	}

	private void respondUnfinished(boolean isChunked) {
		configure("model", "ready", "ready");
		for (WorkerStandIn worker : List.of(this.firstWorker, this.secondWorker)) {
			worker.respondWith((request, out) -> {
				boolean isFirst = request.header("Last-Event-Id").isEmpty();
				String body = isFirst ? FIRST_EVENT + UNFINISHED_EVENT : SECOND_EVENT;
				String headerLine = isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length();
				out.write(out.head(request, 200, headerLine) + frame(isChunked, body));
			});
		}
	}

	/**
	 * Guards against streams that are passed on as complete although they ended inside an
	 * event.
	 */
	@Test(dataProvider = "framings")
	public void aStreamThatEndsInsideAnEventGoesOnAtAnotherEndpoint(boolean isChunked) {
		respondUnfinished(isChunked);
		String answer = exchange("POST /stream/x", "r1", "{}");
		Assert.assertTrue(answer.contains("piece 1") && answer.contains("piece 2"), answer);
		Assert.assertFalse(answer.contains("data: pie\r\n"), answer);
		Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
		Assert.assertEquals(receivedCount("r1"), 2);
	}

	@Test
	public void anAnswerOfAnotherTypeOnAStreamingRouteIsPassedOnWhole() {
		configure("model", "ready", "ready");
		String body = "{\"usage\":0}";
		this.firstWorker.respondWith((request, out) -> out.write(
				out.head(request, 200, "Content-Type: application/json\r\nContent-Length: " + body.length()) + body));
		this.secondWorker.respondWith((request, out) -> out.refuse(request));
		String answer = exchange("POST /stream/x", "r1", "{}");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith(body), answer);
	}

}
