package org.poplarloom.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;

/**
 * Six daemons in three zones, two workers in each, and callers that send orders. In the mode
 * {@code outage} a worker starts again under its id while the store is down; in the mode
 * {@code again} a worker becomes cold again shortly after its first cold period; in the mode
 * {@code late} the store carries out an entry of a cold worker late.
 */
public final class ColdWorkers {

	private static final int COLD_PER_SECOND = 6;

	/** {@code coldPerS} x {@code coldOverrun} + {@code coldSlack}. */
	private static final int MAX_COLD_REQUESTS = 6 * 3 / 2 + 5;

	/** "Well above" the rate that the worker tolerates. */
	private static final int CRASH_REQUESTS = 4 * COLD_PER_SECOND;

	private static final double COLD_SECONDS = 5;

	/** The rule's seconds begin this long after the machines could know of the cold period. */
	private static final double GRACE_SECONDS = 2;

	private static final int WORKERS_PER_ZONE = 2;

	private static final long WORK_MILLIS = 150;

	private ColdWorkers() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
		int exitCode = 2;
		try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
			exitCode = run(arguments[0], record, hasTrouble);
			record.write("exit %d", exitCode);
		}
		finally {
			System.exit(exitCode);
		}
	}

	private static int run(String mode, Record record, boolean hasTrouble) throws Exception {
		StoreStandIn store = new StoreStandIn(500);
		store.put("keyed.op", "config",
				CallerStandIn.coldConfiguration(3, "model", "app", COLD_PER_SECOND)
					.replace("{\"name\":\"app\"", "{\"name\":\"app\",\"healthPath\":\"/healthz\",\"coldPeriodS\":5.0"));
		List<Worker> workers = new ArrayList<>();
		for (String zone : Deployment.ZONES) {
			for (int i = 0; i < WORKERS_PER_ZONE; i++) {
				Worker worker = new Worker(record, store, "i-" + zone.substring("norte-".length()) + i, zone, WORK_MILLIS,
						CRASH_REQUESTS);
				workers.add(worker);
			}
		}
		Worker observed = workers.get(0);
		for (Worker worker : workers) {
			if (worker != observed || !mode.equals("again")) {
				worker.start(0);
			}
		}
		Deployment deployment = Deployment.start(store, record);
		if (!deployment.awaitServing()) {
			return 2;
		}
		deployment.startCallers();
		Worker.pause(6_000);
		double fromSeconds = switch (mode) {
			case "again" -> becomeColdAgain(observed, record, hasTrouble) + GRACE_SECONDS;
			case "late" -> becomeColdBesideLateWrite(observed, record, hasTrouble) + GRACE_SECONDS;
			case "outage" -> startAgainInOutage(workers, store, record, hasTrouble) + GRACE_SECONDS;
			default -> throw new IllegalArgumentException(mode);
		};
		deployment.stop();
		return judge(observed, fromSeconds, record);
	}

	// A new worker starts, cold. It becomes cold again 0.3 s after the end of its first
	// cold period, before it has written an entry in between.
	private static double becomeColdAgain(Worker observed, Record record, boolean hasTrouble) throws IOException {
		observed.start(COLD_SECONDS);
		Worker.pause(5_300);
		if (hasTrouble) {
			observed.becomeCold(COLD_SECONDS);
			while (observed.coldAckSeconds() == Double.MAX_VALUE) {
				Worker.pause(10);
			}
			observed.crashFrom(observed.coldAckSeconds() + GRACE_SECONDS);
		}
		Worker.pause(7_000);
		return hasTrouble ? observed.coldAckSeconds() : 0;
	}

	private static double startAgainInOutage(List<Worker> workers, StoreStandIn store, Record record,
			boolean hasTrouble) throws IOException {
		Worker observed = workers.get(0);
		if (hasTrouble) {
			workers.forEach((worker) -> worker.setStoreAway(true));
			store.setDown(true);
			record.write("the store is down: 503 to all calls");
		}
		Worker.pause(500);
		observed.stop("killed");
		Worker.pause(1_000);
		double startSeconds = record.seconds();
		observed.crashFrom(startSeconds + GRACE_SECONDS);
		observed.start(COLD_SECONDS);
		Worker.pause(6_500);
		store.setDown(false);
		workers.forEach((worker) -> worker.setStoreAway(false));
		record.write("the store is up");
		Worker.pause(2_000);
		return startSeconds;
	}

	// The store gives no answer to an entry that names no cold period, and carries it out
	// 3.7 s later. In between the worker becomes cold and says so in three entries.
	private static double becomeColdBesideLateWrite(Worker observed, Record record, boolean hasTrouble) {
		awaitEntry(observed);
		if (hasTrouble) {
			observed.loseNextAnswer();
		}
		awaitEntry(observed);
		Worker.pause(1_100);
		observed.becomeCold(COLD_SECONDS);
		for (int i = 0; i < 3; i++) {
			awaitEntry(observed);
		}
		observed.crashFrom(observed.coldAckSeconds() + GRACE_SECONDS);
		if (hasTrouble) {
			observed.carryOutLate();
		}
		Worker.pause(4_000);
		return observed.coldAckSeconds();
	}

	private static void awaitEntry(Worker worker) {
		int sequence = worker.sequence();
		while (worker.sequence() == sequence) {
			Worker.pause(5);
		}
	}

	private static int judge(Worker observed, double fromSeconds, Record record) {
		int most = 0;
		double at = 0;
		for (double start : observed.coldArrivals().tailMap(fromSeconds).keySet()) {
			int count = observed.coldArrivals().subMap(start, true, start + 1, false).size();
			if (count > most) {
				most = count;
				at = start;
			}
		}
		record.write("most requests that cold worker %s got in a second that began after %.3f: %d, from %.3f on; "
				+ "allowed: %d", observed.id(), fromSeconds, most, at, MAX_COLD_REQUESTS);
		record.write("crashes of %s while it was cold: %d; requests that it was running then: %d", observed.id(),
				observed.crashes(), observed.lost());
		return (most > MAX_COLD_REQUESTS) ? 1 : 0;
	}

}
