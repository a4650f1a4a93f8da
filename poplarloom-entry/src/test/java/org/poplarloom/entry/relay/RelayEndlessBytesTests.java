package org.poplarloom.entry.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * An endpoint sends bytes without end, in each part of a response. The relay closes the
 * connection after a bounded number of bytes, long before the request's timeout, answers
 * the caller without a promise that the request has not run, and goes on to serve others.
 */
public class RelayEndlessBytesTests extends RelayFixture {

	/** The route's timeout is 2 s. */
	private static final long MAX_CLOSE_MILLIS = 1_500;

	/** More than any limit and the buffers of the sockets together. */
	private static final long MAX_BYTES = 32 * 1024 * 1024;

	private static final String OTHER_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String EVENT_HEAD = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";

	private static final String CHUNK = "400\r\n" + "x".repeat(1024) + "\r\n";

	@DataProvider
	public static Object[][] endlessParts() {
		return new Object[][] { { "status line", "HTTP/1.1 200 ", "x", false }, { "no response", "", "x", false },
				{ "header", "HTTP/1.1 200 OK\r\nName: ", "x", false },
				{ "headers", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", false },
				{ "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false }, { "chunk size", null, "0", false },
				{ "body", null, CHUNK, false }, { "event", null, CHUNK, true },
				{ "response to another request", OTHER_HEAD, CHUNK, false } };
	}

	@Test(dataProvider = "endlessParts")
	public void connectionIsClosedAfterABoundedNumberOfBytes(String part, String start, String repeated,
			boolean isStream) throws Exception {
		configure(isStream ? "model" : "app", "ready");
		CompletableFuture<Long> written = new CompletableFuture<>();
		this.firstWorker.respondWith((request, out) -> {
			out.write((start != null) ? start
					: out.head(request, 200, isStream ? EVENT_HEAD : "Transfer-Encoding: chunked"));
			written.complete(out.writeUntilClosed(repeated));
		});
		CompletableFuture<String> answer = CompletableFuture
			.supplyAsync(() -> exchange(isStream ? "POST /stream/x" : "POST /once/x", "r1", "order"));
		long bytes = written.get(MAX_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertTrue(bytes < MAX_BYTES, part + ": " + bytes + " bytes");
		String received = answer.get(MAX_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertFalse(received.startsWith("HTTP/1.1 503") || received.startsWith("HTTP/1.1 429"), received);
		this.firstWorker.respondWith(WorkerStandIn.ANSWER_OF_EACH_KIND);
		await(() -> exchange("GET /again/x", "r2", "").startsWith("HTTP/1.1 200")
				|| exchange("POST /stream/x", "r3", "").startsWith("HTTP/1.1 200"));
	}

}
