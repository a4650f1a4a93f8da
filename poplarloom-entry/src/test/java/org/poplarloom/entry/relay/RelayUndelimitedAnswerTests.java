package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of answers that have neither a length nor chunks and end with their connection.
 */
public class RelayUndelimitedAnswerTests extends RelayFixture {

	private static final String FIRST_EVENT = "id: 1\ndata: piece 1\n\n";

	private static final String SECOND_EVENT = "id: 2\ndata: piece 2\n\n";

	private void respondWith(WorkerStandIn.Script script) {
		this.firstWorker.respondWith(script);
		this.secondWorker.respondWith(script);
	}

	private static void writeBody(WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out, String body)
			throws IOException {
		out.write(out.head(request, 200, "Connection: close") + body);
	}

	@Test
	public void anAnswerIsCompleteWhenItsConnectionEnds() {
		configure("app", "ready", "ready");
		respondWith((request, out) -> {
			writeBody(request, out, "whole");
			out.close();
		});
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nwhole"), answer);
	}

	@Test
	public void anAnswerWhoseConnectionIsResetIsNotPassedOn() {
		configure("app", "ready", "ready");
		respondWith((request, out) -> {
			writeBody(request, out, "par");
			pause(100);
			out.reset();
		});
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
		Assert.assertEquals(receivedCount("r1"), 1);
	}

	@Test
	public void aStreamIsCompleteWhenItsConnectionEndsAfterAnEvent() {
		configure("model", "ready", "ready");
		respondWith((request, out) -> {
			writeBody(request, out, FIRST_EVENT + SECOND_EVENT);
			out.close();
		});
		String answer = exchange("POST /stream/x", "r1", "{}");
		Assert.assertTrue(answer.contains("piece 2") && answer.endsWith("0\r\n\r\n"), answer);
		Assert.assertEquals(receivedCount("r1"), 1);
	}

	/**
	 * Guards against streams that are passed on as complete although they ended inside an
	 * event.
	 */
	@Test
	public void aStreamThatEndsInsideAnEventGoesOnAtAnotherEndpoint() {
		configure("model", "ready", "ready");
		respondWith((request, out) -> {
			if (request.header("Last-Event-Id").isEmpty()) {
				writeBody(request, out, FIRST_EVENT + "id: 2\ndata: pie");
			}
			else {
				writeBody(request, out, SECOND_EVENT);
			}
			out.close();
		});
		String answer = exchange("POST /stream/x", "r1", "{}");
		Assert.assertTrue(answer.contains("piece 1") && answer.contains("piece 2"), answer);
		Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
		Assert.assertEquals(receivedCount("r1"), 2);
	}

	@Test
	public void aStreamThatEndsBeforeItsFirstEventIsRepeated() {
		configure("model", "ready", "ready");
		respondWith((request, out) -> {
			writeBody(request, out, (receivedCount("r1") == 1) ? "" : FIRST_EVENT);
			out.close();
		});
		String answer = exchange("POST /stream/x", "r1", "{}");
		Assert.assertTrue(answer.contains("piece 1") && answer.endsWith("0\r\n\r\n"), answer);
	}

	/**
	 * Guards against streams that are passed on as complete although their endpoint has
	 * crashed between two events.
	 */
	@Test
	public void aStreamWhoseEndpointCrashesBetweenEventsGoesOnAtAnotherEndpoint() {
		configure("model", "ready", "ready");
		crashAfter(FIRST_EVENT, SECOND_EVENT);
		String answer = exchange("POST /stream/x", "r1", "{}");
		Assert.assertTrue(answer.contains("piece 1") && answer.contains("piece 2"), answer);
		Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
		Assert.assertEquals(receivedCount("r1"), 2);
	}

	/**
	 * Guards against answers that are passed on as complete although their endpoint has
	 * crashed while it wrote them.
	 */
	@Test
	public void anAnswerWhoseEndpointCrashesIsRepeatedIfItMayBe() {
		configure("app", "ready", "ready");
		crashAfter("par", "whole");
		String answer = exchange("GET /again/x", "r1", "");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nwhole"), answer);
		Assert.assertEquals(receivedCount("r1"), 2);
	}

	@Test
	public void anAnswerWhoseEndpointCrashesIsNotPassedOnIfItMayNotBeRepeated() {
		configure("app", "ready", "ready");
		crashAfter("par", "whole");
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
		Assert.assertEquals(receivedCount("r1"), 1);
	}

	private void crashAfter(String partOfBody, String bodyOfOtherEndpoint) {
		for (WorkerStandIn worker : List.of(this.firstWorker, this.secondWorker)) {
			worker.respondWith((request, out) -> {
				if (receivedCount("r1") == 1) {
					writeBody(request, out, partOfBody);
					worker.crash();
				}
				else {
					writeBody(request, out, bodyOfOtherEndpoint);
					out.close();
				}
			});
		}
	}

}
