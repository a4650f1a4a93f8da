package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.CallerStandIn;

/**
 * Tests of callers that leave before their answer has ended.
 */
public class RelayLeavingCallerTests extends RelayFixture {

	/** As the stand-in of a worker says. */
	private static final int SLOTS = 4;

	@Test
	public void theCallersLeavingReachesTheEndpoint() throws IOException {
		configure("model", "ready");
		boolean[] closed = new boolean[1];
		this.first.answerWith((request, out) -> {
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
		try (CallerStandIn caller = new CallerStandIn(this.address)) {
			caller.send("POST /stream/x", "r1", "", "prompt");
			caller.readUntil("piece 1");
		}
		await(() -> closed[0]);
	}

	@Test
	public void aRequestWhoseCallerLeavesTheQueueNeverRuns() throws IOException {
		configure("model", "ready");
		CountDownLatch holding = new CountDownLatch(1);
		this.first.answerWith((request, out) -> {
			out.write(out.head(request, 200, "Transfer-Encoding: chunked") + out.event(1));
			awaitRelease(holding);
			out.write("0\r\n\r\n");
		});
		List<CallerStandIn> holders = new ArrayList<>();
		for (int i = 0; i < SLOTS; i++) {
			CallerStandIn holder = new CallerStandIn(this.address);
			holders.add(holder);
			holder.send("POST /stream/x", "holder" + i, "", "prompt");
			holder.readUntil("piece 1");
		}
		try (CallerStandIn queued = new CallerStandIn(this.address)) {
			queued.send("POST /stream/x", "queued", "", "prompt");
			pause(200);
		}
		pause(200);
		holding.countDown();
		await(() -> metrics().contains("poplarloom_grants_held 0"));
		Assert.assertEquals(runs("queued"), 0);
		for (CallerStandIn holder : holders) {
			holder.close();
		}
	}

}
