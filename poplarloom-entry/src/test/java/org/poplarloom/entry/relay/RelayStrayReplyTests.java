package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of endpoints that write a reply once more on the same connection, where the reply
 * to another request or order is expected.
 */
public class RelayStrayReplyTests extends RelayFixture {

	private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String MISDIRECTED = "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

	private static final String EARLIER_SUCCESS = "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\n"
			+ "Server-Stamp: 3e1b.earlier\r\nContent-Length: 2\r\n\r\nok";

	private static final String ORDER_REPLY = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

	/** These statuses promise that the request has not run and never will. */
	private static final String PROMISED_NOT_RUN = "(?s)HTTP/1.1 (408|421|429|503) .*";

	/** Prefilled in 1.2 s: too late for the target on one endpoint, in time on two. */
	private static final int LONG_PROMPT_TOKENS = 350_000;

	/** Exceeds the memory of one endpoint, so that its helper has to reserve memory. */
	private static final int TOO_LONG_PROMPT_TOKENS = 450_000;

	/** After this delay an instance has read an answer and keeps its connection idle. */
	private static final long IDLE_MILLIS = 100;

	/** After this delay an instance has read a changed entry of an endpoint. */
	private static final long ENTRY_DELAY_MILLIS = 500;

	/** Endpoints that serve models serve the other routes as well. */
	private static final String LONG_PROMPT_CONFIGURATION = CallerStandIn
		.configuration(3, "model", "app", 300_000, 0.0001)
		.replace("\"service\":\"app\"", "\"service\":\"model\"")
		.replace("\"timeoutMs\":2000,\"targetLatencyMs\":300", "\"timeoutMs\":8000,\"targetLatencyMs\":1000");

	private void publishAndAwaitParallelPrefill() {
		respondWith(RelayStrayReplyTests::answerOrderOrRequest);
		publish(LONG_PROMPT_CONFIGURATION, "model", "ready", "ready");
		await(() -> {
			sendPrompt("probe", LONG_PROMPT_TOKENS);
			return received().stream().anyMatch((request) -> !request.header("Helpers").isEmpty());
		});
	}

	private String sendPrompt(String id, int promptTokens) {
		return exchange("POST /once/x", id, "Deadline-Ms: 3000\r\nToken-Count: " + promptTokens + ",100\r\n", "{}");
	}

	private void respondWith(WorkerStandIn.Script script) {
		this.firstWorker.respondWith(script);
		this.secondWorker.respondWith(script);
	}

	@DataProvider
	public static Object[][] refusalsWithoutId() {
		return new Object[][] { { REFUSAL }, { MISDIRECTED } };
	}

	/**
	 * Writes a reply to a request whose id is "earlier", and again before the answer to
	 * the next request on the same connection.
	 */
	private static WorkerStandIn.Script writingTwice(String reply) {
		Set<WorkerStandIn.ResponseWriter> connections = ConcurrentHashMap.newKeySet();
		return (request, out) -> {
			if (request.header("Request-Id").equals("earlier")) {
				connections.add(out);
				out.write(reply);
				return;
			}
			if (connections.remove(out)) {
				out.write(reply);
			}
			out.answer(request, "ok");
		};
	}

	/**
	 * Guards against callers that are told that their request has not run because an
	 * earlier refusal was read as the answer to it.
	 */
	@Test(dataProvider = "refusalsWithoutId")
	public void aRefusalThatIsWrittenTwiceDoesNotRefuseTheNextRequest(String refusal) {
		configure("app", "ready");
		respondWith(writingTwice(refusal));
		exchange("POST /once/a", "earlier", "swap");
		String answer = exchange("POST /once/b", "next", "swap");
		Assert.assertEquals(receivedCount("next"), 1);
		Assert.assertFalse(answer.matches(PROMISED_NOT_RUN), answer);
	}

	/**
	 * Guards against a request that runs twice because an earlier refusal was read as the
	 * answer to it.
	 */
	@Test(dataProvider = "refusalsWithoutId")
	public void aRefusalThatIsWrittenTwiceDoesNotSendTheNextRequestToAnotherEndpoint(String refusal) {
		configure("app", "ready", "ready");
		respondWith(writingTwice(refusal));
		exchange("POST /once/a", "earlier", "swap");
		exchange("POST /once/b", "next", "swap");
		Assert.assertEquals(receivedCount("next"), 1);
	}

	/**
	 * Guards against callers that are told that their request has not run because a part
	 * of an earlier refusal was read as the beginning or the whole of its answer.
	 */
	@Test(dataProvider = "refusalsWithoutId")
	public void aPartOfARefusalDoesNotRefuseTheNextRequest(String refusal) {
		configure("app", "ready");
		List<String> misread = new ArrayList<>();
		for (int length = 1; length < refusal.length(); length++) {
			for (String part : List.of(refusal.substring(0, length), refusal.substring(length))) {
				String id = "r" + length + (refusal.startsWith(part) ? "beginning" : "end");
				this.firstWorker.respondWith((request, out) -> {
					out.write(request.header("Request-Id").equals(id) ? part : "");
					out.answer(request, "ok");
				});
				await(() -> exchange("GET /again/probe", "probe", "").startsWith("HTTP/1.1 200"));
				if (exchange("POST /once/x", id, "swap").matches(PROMISED_NOT_RUN)) {
					misread.add(id);
				}
				Assert.assertEquals(receivedCount(id), 1, id);
			}
		}
		Assert.assertEquals(misread, List.of(), "parts after which a request that ran was refused");
	}

	@DataProvider
	public static Object[][] partsAfterAnAnswer() {
		return new Object[][] { { "H", 0 }, { "H", IDLE_MILLIS }, { "HTTP/1.1 200 OK\r\nContent-", 0 },
				{ "HTTP/1.1 200 OK\r\nContent-", IDLE_MILLIS }, { "\r\n", 0 } };
	}

	/**
	 * Guards against a request that fails because it was sent on a connection that had
	 * delivered a part of a response while no request was in progress.
	 */
	@Test(dataProvider = "partsAfterAnAnswer")
	public void aPartOfAnAnswerOnAnIdleConnectionDoesNotFailTheNextRequest(String part, long delayMillis) {
		configure("app", "ready");
		this.firstWorker.respondWith((request, out) -> {
			String answer = out.head(request, 200, "Content-Length: 2") + "ok";
			if (!request.header("Request-Id").equals("earlier")) {
				out.write(answer);
			}
			else if (delayMillis == 0) {
				out.write(answer + part);
			}
			else {
				out.write(answer);
				pause(delayMillis);
				out.write(part);
			}
		});
		exchange("POST /once/a", "earlier", "swap");
		pause(2 * IDLE_MILLIS);
		String answer = exchange("POST /once/b", "next", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
	}

	/**
	 * Guards against an endpoint that is not used on although it has refused a request
	 * with the first response on a connection, which can belong to no other request.
	 */
	@Test(dataProvider = "refusalsWithoutId")
	public void aRefusalWithoutIdOnANewConnectionIsRetriedAtAnotherEndpoint(String refusal) {
		respondWith((request, out) -> {
			if (request.header("Request-Id").equals("r1") && receivedCount("r1") == 1) {
				out.write(refusal);
			}
			else {
				out.write(out.head(request, 200, "Connection: close\r\nContent-Length: 2") + "ok");
			}
		});
		configure("app", "ready", "ready");
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
		Assert.assertEquals(receivedCount("r1"), 2);
	}

	/**
	 * Guards against callers that are told that their request has not run because its own
	 * first refusal, which named a faulty helper, was read again as the answer of the
	 * same endpoint to the second attempt.
	 */
	@Test
	public void aRefusalForAFaultyHelperThatIsWrittenTwiceDoesNotRefuseTheSecondAttempt() {
		publishAndAwaitParallelPrefill();
		AtomicReference<String> firstRefusal = new AtomicReference<>();
		Set<WorkerStandIn.ResponseWriter> connections = ConcurrentHashMap.newKeySet();
		respondWith((request, out) -> {
			if (!request.header("Request-Id").equals("long")) {
				answerOrderOrRequest(request, out);
			}
			else if (!request.header("Helpers").isEmpty()) {
				firstRefusal.set("HTTP/1.1 503 Busy\r\nRequest-Id: long\r\nNot-Executed: 1\r\nAt-Server: "
						+ request.header("Helpers").split("/")[0] + "\r\nContent-Length: 0\r\n\r\n");
				connections.add(out);
				out.write(firstRefusal.get());
			}
			else {
				if (connections.remove(out)) {
					out.write(firstRefusal.get());
				}
				out.answer(request, "ok");
			}
		});
		String answer = sendPrompt("long", LONG_PROMPT_TOKENS);
		Assert.assertNotNull(firstRefusal.get(), "the prompt was not prefilled in parallel");
		Assert.assertEquals(receivedCount("long"), 2);
		Assert.assertFalse(answer.matches(PROMISED_NOT_RUN), answer);
	}

	private static void answerOrderOrRequest(WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out)
			throws IOException {
		if (request.requestLine().startsWith("POST /order")) {
			out.write(ORDER_REPLY);
		}
		else {
			out.answer(request, "ok");
		}
	}

	/**
	 * Guards against callers that are told that their request has not run, and against
	 * requests that run twice, because the reply to an order was read as their answer.
	 */
	@Test
	public void aReplyToAnOrderThatIsWrittenTwiceDoesNotRefuseTheNextRequest() {
		publishAndAwaitParallelPrefill();
		String orderReply = "HTTP/1.1 421 Misdirected\r\nContent-Length: 2\r\n\r\n{}";
		Set<WorkerStandIn.ResponseWriter> connections = ConcurrentHashMap.newKeySet();
		AtomicReference<WorkerStandIn> helper = new AtomicReference<>();
		for (WorkerStandIn worker : List.of(this.firstWorker, this.secondWorker)) {
			worker.respondWith((request, out) -> {
				if (request.requestLine().startsWith("POST /order")) {
					connections.add(out);
					helper.set(worker);
					out.write(orderReply);
					return;
				}
				if (connections.remove(out)) {
					out.write(orderReply);
				}
				out.answer(request, "ok");
			});
		}
		sendPrompt("long", TOO_LONG_PROMPT_TOKENS);
		Assert.assertNotNull(helper.get(), "no memory was ordered");
		useOnly(helper.get());
		String answer = exchange("POST /once/x", "next", "swap");
		Assert.assertEquals(receivedCount("next"), 1);
		Assert.assertFalse(answer.matches(PROMISED_NOT_RUN), answer);
	}

	private void useOnly(WorkerStandIn worker) {
		WorkerStandIn other = (worker == this.firstWorker) ? this.secondWorker : this.firstWorker;
		this.store.put(Tables.WORKERS, other.id(),
				WorkerStandIn.entry("model", "norte-a", "draining", other.address(), WorkerStandIn.FIRST_LIFETIME, 2));
		pause(ENTRY_DELAY_MILLIS);
	}

	/**
	 * Guards against a prompt that is sent to an endpoint although its helper has refused
	 * the memory, because an earlier answer was read as the reply to the order.
	 */
	@Test
	public void anAnswerThatIsWrittenTwiceIsNotTheReplyToAnOrder() {
		publishAndAwaitParallelPrefill();
		respondWith((request, out) -> {
			if (!request.requestLine().startsWith("POST /order")) {
				out.answer(request, "ok");
				return;
			}
			out.write(EARLIER_SUCCESS);
			out.write("HTTP/1.1 409 Full\r\nContent-Length: 2\r\n\r\n{}");
		});
		sendPrompt("long", TOO_LONG_PROMPT_TOKENS);
		Assert.assertTrue(received().stream().anyMatch((request) -> request.body().contains("long.1")),
				"no memory was ordered");
		Assert.assertEquals(received().stream()
			.filter((request) -> request.header("Request-Id").equals("long") && !request.header("Helpers").isEmpty())
			.count(), 0);
	}

	@DataProvider
	public static Object[][] strayReplies() {
		return new Object[][] { { EARLIER_SUCCESS }, { REFUSAL }, { ORDER_REPLY } };
	}

	/**
	 * Guards against an answer without a length that is passed on as complete although
	 * its endpoint has crashed, because an earlier reply was read as the reply to the
	 * status check.
	 */
	@Test(dataProvider = "strayReplies")
	public void anAnswerWhoseEndpointHasCrashedIsNotCompletedByAStrayReply(String strayReply) throws Exception {
		configure("app", "ready");
		CountDownLatch bothReceived = new CountDownLatch(2);
		this.firstWorker.respondWith((request, out) -> {
			if (request.header("Request-Id").startsWith("earlier")) {
				bothReceived.countDown();
				awaitLatch(bothReceived);
				out.write(EARLIER_SUCCESS.replace("earlier", request.header("Request-Id")));
			}
			else if (request.requestLine().startsWith("GET /report")) {
				out.write(strayReply);
				this.firstWorker.crash();
			}
			else {
				out.write(out.head(request, 200, "Connection: close") + "par");
				this.firstWorker.close();
				out.close();
			}
		});
		keepTwoConnections();
		String answer = exchange("POST /once/x", "r1", "swap");
		Assert.assertEquals(receivedCount("r1"), 1);
		Assert.assertFalse(answer.startsWith("HTTP/1.1 2"), answer);
	}

	private void keepTwoConnections() throws IOException {
		try (CallerStandIn first = new CallerStandIn(this.callerAddress);
				CallerStandIn second = new CallerStandIn(this.callerAddress)) {
			first.send("GET /again/a", "earlier1", "Connection: close\r\n", "");
			second.send("GET /again/b", "earlier2", "Connection: close\r\n", "");
			Assert.assertTrue(first.readAll().startsWith("HTTP/1.1 200"));
			Assert.assertTrue(second.readAll().startsWith("HTTP/1.1 200"));
		}
	}

}
