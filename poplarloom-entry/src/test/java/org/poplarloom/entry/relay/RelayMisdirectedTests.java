package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of endpoints that have ended while they are still listed, so that nothing or
 * another process is at their addresses.
 */
public class RelayMisdirectedTests extends RelayFixture {

	private static final int REQUESTS = 20;

	/** Longer than a home takes to read new entries. */
	private static final long READ_MILLIS = 1_500;

	/** More than the attempts that a route allows. */
	private static final int ENDED_ENDPOINTS = 4;

	private final List<WorkerStandIn> ended = new ArrayList<>();

	@AfterMethod(alwaysRun = true)
	public void closeEnded() throws IOException {
		for (WorkerStandIn worker : this.ended) {
			worker.close();
		}
		this.ended.clear();
	}

	private void listEnded() throws IOException {
		Map<String, String> entries = new LinkedHashMap<>();
		for (int i = 0; i < ENDED_ENDPOINTS; i++) {
			WorkerStandIn worker = new WorkerStandIn("a-" + i);
			this.ended.add(worker);
			worker.respondWith((request, out) -> out.write("HTTP/1.1 421 X\r\nInstance-Id: i-99\r\nRequest-Id: "
					+ request.id() + "\r\n" + "Content-Length: 0\r\n\r\n"));
			entries.put(worker.id(), worker.entry("app", "norte-a", "ready"));
		}
		this.store.putAll(Tables.WORKERS, entries);
		pause(READ_MILLIS);
	}

	/**
	 * Guards against requests that are refused while an endpoint is idle, since other
	 * processes at the addresses of ended endpoints used up the attempts of their route.
	 */
	@Test
	public void requestsAreServedBesideEndpointsThatWereReplaced() throws IOException {
		configure("app", "ready");
		listEnded();
		for (int i = 0; i < REQUESTS; i++) {
			String answer = exchange("POST /once/x", "r" + i, "swap");
			Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
		}
	}

	/** Guards against the same where nothing is at the addresses. */
	@Test
	public void requestsAreServedBesideEndpointsThatRefuseConnections() throws IOException {
		configure("app", "ready");
		listEnded();
		closeEnded();
		for (int i = 0; i < REQUESTS; i++) {
			String answer = exchange("POST /once/x", "r" + i, "swap");
			Assert.assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
		}
	}

	/**
	 * Guards against a home that goes on granting an endpoint although another process
	 * has answered at its address.
	 */
	@Test
	public void anEndpointThatWasReplacedIsNotGrantedAgainAtOnce() throws IOException {
		configure("app", "ready");
		listEnded();
		for (int i = 0; i < REQUESTS; i++) {
			exchange("POST /once/x", "r" + i, "swap");
		}
		for (WorkerStandIn worker : this.ended) {
			Assert.assertTrue(worker.received().size() <= 1, worker.id() + " received " + worker.received().size());
		}
	}

}
