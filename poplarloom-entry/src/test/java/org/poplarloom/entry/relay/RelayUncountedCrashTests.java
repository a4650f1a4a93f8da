package org.poplarloom.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests with a request that comes again unchanged and crashes each endpoint that runs it,
 * while the entries of the endpoints do not show that they have started again.
 */
public class RelayUncountedCrashTests extends RelayFixture {

	private static final String HARMFUL = "POST /stream/same";

	private static final long PERIOD_MILLIS = 200;

	/** Repetitions are counted this long after the third crash. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final int MAX_LATE_REQUESTS = 3;

	private static final long LATE_MILLIS = 100;

	private final AtomicInteger crashes = new AtomicInteger();

	private void startWorkers(CrashingWorker crash) {
		this.crashes.set(0);
		for (WorkerStandIn worker : List.of(this.firstWorker, this.secondWorker)) {
			worker.respondWith((request, out) -> {
				if (request.requestLine().startsWith(HARMFUL)) {
					crash.crash(worker, this.crashes.incrementAndGet());
					out.reset();
				}
				else {
					WorkerStandIn.STREAM_OF_ONE_EVENT.answer(request, out);
				}
			});
		}
		configure("model", "ready", "ready");
	}

	private void repeatUntil(BooleanSupplier isOver) {
		while (!isOver.getAsBoolean()) {
			exchange(HARMFUL, "same", "Token-Count: 1000,10\r\n", "{}");
			pause(PERIOD_MILLIS);
		}
	}

	private void assertRepetitionsAreRefusedInTime() {
		repeatUntil(() -> this.crashes.get() >= 3);
		long contactEnd = System.currentTimeMillis() + CONTACT_MILLIS;
		repeatUntil(() -> System.currentTimeMillis() >= contactEnd);
		int before = this.crashes.get();
		repeatUntil(() -> System.currentTimeMillis() >= contactEnd + CONTACT_MILLIS);
		int late = this.crashes.get() - before;
		Assert.assertTrue(late <= MAX_LATE_REQUESTS, late + " repetitions reached endpoints later");
		Assert.assertTrue(
				exchange("POST /stream/other", "other", "Token-Count: 1000,10\r\n", "{}").startsWith("HTTP/1.1 200"),
				"another request was not served");
	}

	/**
	 * Guards against a request whose crashes count once for each endpoint, because the
	 * entries still name the lifetimes before the crashes.
	 */
	@Test
	public void crashesOfEndpointsWhoseEntriesAreOutdatedCount() {
		startWorkers((worker, crash) -> {
		});
		assertRepetitionsAreRefusedInTime();
	}

	/**
	 * Guards against a request whose crashes count once for each endpoint, because an
	 * entry of an earlier lifetime is carried out late.
	 */
	@Test
	public void crashesOfEndpointsWhoseFirstEntriesAreCarriedOutLateCount() {
		startWorkers((worker, crash) -> {
			this.store.put(Tables.WORKERS, worker.id(), WorkerStandIn.entry("model", "norte-a", "ready",
					worker.address(), WorkerStandIn.FIRST_LIFETIME + crash));
			this.store.putLate(Tables.WORKERS, worker.id(), worker.entry("model", "norte-a", "ready"), LATE_MILLIS);
		});
		assertRepetitionsAreRefusedInTime();
	}

	/**
	 * What happens to the entry of a worker that crashes.
	 */
	@FunctionalInterface
	private interface CrashingWorker {

		void crash(WorkerStandIn worker, int crash) throws IOException;

	}

}
