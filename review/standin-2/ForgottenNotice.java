package org.poplarloom.review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * A worker that leaves says so in all its answers. Another writer publishes an entry under the
 * worker's id in which a field is missing.
 */
public final class ForgottenNotice {

	private static final int WORKERS_PER_ZONE = 2;

	private static final long WORK_MILLIS = 150;

	private static final long STATUS_MILLIS = 1_200;

	private static final double DRAIN_SECONDS = 2;

	/** From the first answer that says that the worker leaves to the other writer's entry. */
	private static final long ODD_ENTRY_MILLIS = 3_000;

	/** How long the worker serves after that; then it exits. */
	private static final long LINGER_MILLIS = 1_500;

	private static volatile boolean leaving;

	private ForgottenNotice() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
		int exitCode = 2;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			exitCode = run(record, hasTrouble);
			record.write("exit %d", exitCode);
		}
		finally {
			System.exit(exitCode);
		}
	}

	private static int run(Record record, boolean hasTrouble) throws Exception {
		StoreStandIn store = new StoreStandIn(500);
		store.put("keyed.op", "config", CallerStandIn.configuration(3, "model", "app"));
		Set<String> arrivals = ConcurrentHashMap.newKeySet();
		List<WorkerStandIn> workers = new ArrayList<>();
		for (String zone : Deployment.ZONES) {
			for (int i = 0; i < WORKERS_PER_ZONE; i++) {
				WorkerStandIn worker = new WorkerStandIn("i-" + zone.substring("norte-".length()) + i);
				boolean isObserved = workers.isEmpty();
				worker.respondWith((request, out) -> {
					if (request.id().isEmpty()) {
						out.answer(request, "{\"born\":" + WorkerStandIn.FIRST_LIFETIME + "}");
						return;
					}
					record.write("worker %s gets %s", worker.id(), request.id());
					if (isObserved) {
						arrivals.add(request.id());
					}
					Worker.pause(WORK_MILLIS);
					boolean isNotice = isObserved && leaving;
					out.write(out.head(request, 200, (isNotice ? "Server-Leaving: 1\r\n" : "") + "Content-Length: 2")
							+ "ok");
				});
				workers.add(worker);
				store.put("keyed.servers", worker.id(), entry(worker, zone, 1));
			}
		}
		WorkerStandIn observed = workers.get(0);
		Deployment deployment = Deployment.start(store, record);
		if (!deployment.awaitServing()) {
			return 2;
		}
		deployment.startCallers();
		Thread status = new Thread(() -> {
			for (int sequence = 2;; sequence++) {
				Worker.pause(STATUS_MILLIS);
				store.put("keyed.servers", observed.id(), entry(observed, Deployment.ZONES.get(0), sequence));
			}
		});
		status.setDaemon(true);
		status.start();
		Worker.pause(6_000);
		leaving = true;
		record.write("worker %s leaves: Server-Leaving in all its answers", observed.id());
		Worker.pause(ODD_ENTRY_MILLIS);
		if (hasTrouble) {
			String odd = entry(observed, Deployment.ZONES.get(0), 1).replaceAll(",\"born\":\\d+", "");
			store.put("keyed.servers", observed.id(), odd);
			record.write("another writer publishes an entry under %s: %s", observed.id(), odd);
		}
		Worker.pause(LINGER_MILLIS);
		observed.crash();
		record.write("worker %s exits", observed.id());
		Worker.pause(1_000);
		deployment.stop();
		List<String> late = arrivals.stream().filter((id) -> deployment.isSentAfterNotice(id, DRAIN_SECONDS)).toList();
		record.write("requests that reached %s and were sent over %.0f s after their machine had passed on that it leaves: "
				+ "%d %s", observed.id(), DRAIN_SECONDS, late.size(), late);
		return late.isEmpty() ? 0 : 1;
	}

	private static String entry(WorkerStandIn worker, String zone, int sequence) {
		return WorkerStandIn
			.entry("app", zone, "ready", worker.address(), WorkerStandIn.FIRST_LIFETIME, sequence)
			.replace("\"slots\":4", "\"slots\":24");
	}

}
