package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Tests of endpoints that are cold while callers send all that warm ones could serve.
 * <p>
 * They guard against a cold endpoint that gets requests at a rate well above the one that
 * it tolerates, and crashes.
 */
public class RelayColdEndpointsTests extends RelayFixture {

	private static final double COLD_RATE = 14;

	private static final double MAX_OVERRUN = 1.5;

	private static final double MAX_SLACK = 5;

	private static final long SECOND_MILLIS = 1_000;

	private static final long COLD_MILLIS = 60_000;

	private static final long LOAD_MILLIS = 3_000;

	/** An instance hears of a new entry within this time. */
	private static final long NOTICE_MILLIS = 1_500;

	private static final int CALLERS = 6;

	private final AtomicInteger requests = new AtomicInteger();

	private List<Long> firstArrivals;

	private List<Long> secondArrivals;

	@DataProvider
	public static Object[][] kinds() {
		return new Object[][] { { "app", "GET /again/x", "" },
				{ "model", "POST /stream/x", "Token-Count: 1460,80\r\n" } };
	}

	@BeforeMethod(dependsOnMethods = "start")
	public void recordArrivals() {
		this.firstArrivals = recordArrivals(this.firstWorker);
		this.secondArrivals = recordArrivals(this.secondWorker);
	}

	private static List<Long> recordArrivals(WorkerStandIn worker) {
		List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
		worker.respondWith((request, out) -> {
			arrivals.add(System.nanoTime() / 1_000_000);
			WorkerStandIn.ANSWER_OF_EACH_KIND.answer(request, out);
		});
		return arrivals;
	}

	@Test(dataProvider = "kinds")
	public void endpointsThatReturnColdTogetherGetWhatTheyTolerate(String service, String path, String headers)
			throws InterruptedException {
		this.store.putAll(Tables.WORKERS, coldEntries(service, 1));
		publish(CallerStandIn.coldConfiguration(3, "model", "app", COLD_RATE), service);
		load(path, headers, LOAD_MILLIS);
		assertTolerated(0);
		Assert.assertFalse(this.firstArrivals.isEmpty());
		Assert.assertFalse(this.secondArrivals.isEmpty());
	}

	@Test(dataProvider = "kinds")
	public void endpointsThatBecomeColdWhileBusyGetWhatTheyTolerate(String service, String path, String headers)
			throws InterruptedException {
		publish(CallerStandIn.coldConfiguration(3, "model", "app", COLD_RATE), service, "ready", "ready");
		load(path, headers, SECOND_MILLIS);
		this.store.putAll(Tables.WORKERS, coldEntries(service, 2));
		load(path, headers, NOTICE_MILLIS);
		long noticedMillis = System.nanoTime() / 1_000_000;
		load(path, headers, LOAD_MILLIS);
		assertTolerated(noticedMillis);
	}

	private Map<String, String> coldEntries(String service, int sequence) {
		return Map.of(this.firstWorker.id(), this.firstWorker.coldEntry(service, "norte-a", COLD_MILLIS, sequence),
				this.secondWorker.id(), this.secondWorker.coldEntry(service, "norte-a", COLD_MILLIS, sequence));
	}

	private void load(String path, String headers, long millis) throws InterruptedException {
		long end = System.nanoTime() + millis * 1_000_000;
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			Thread caller = new Thread(() -> {
				while (System.nanoTime() < end) {
					exchange(path, "load-" + this.requests.incrementAndGet(), headers, "");
				}
			});
			callers.add(caller);
			caller.start();
		}
		for (Thread caller : callers) {
			caller.join();
		}
	}

	private void assertTolerated(long fromMillis) {
		double max = COLD_RATE * MAX_OVERRUN + MAX_SLACK;
		for (List<Long> arrivals : List.of(this.firstArrivals, this.secondArrivals)) {
			List<Long> counted = arrivals.stream().filter((arrival) -> arrival >= fromMillis).sorted().toList();
			for (long start : counted) {
				long count = counted.stream()
					.filter((arrival) -> arrival >= start && arrival < start + SECOND_MILLIS)
					.count();
				Assert.assertTrue(count <= max, count + " requests in one second, at most " + max);
			}
		}
	}

}
