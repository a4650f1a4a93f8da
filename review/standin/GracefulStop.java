import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine gets SIGTERM while requests that it has read wait for a worker. */
final class GracefulStop {

	private static final int CLIENTS = 12;

	private static final int SLOTS = 2;

	private static final long WORK_MILLIS = 2_200;

	private static final int TIMEOUT_MILLIS = 18_000;

	private static final long GRACE_MILLIS = 8_000;

	private static final long LOST_MILLIS = 200;

	/** A request of a client, with times in milliseconds; 0 for what has not happened. */
	private static final class Request {

		final String id;

		volatile long sent;

		volatile long workStarted;

		volatile long workEnded;

		volatile long ended;

		volatile boolean answered;

		Request(String id) {
			this.id = id;
		}

		boolean isAtWork(long from, long to) {
			return this.workStarted > 0 && this.workStarted <= to && (this.workEnded == 0 || this.workEnded >= from);
		}

	}

	private static long now() {
		return System.nanoTime() / 1_000_000;
	}

	public static void main(String[] arguments) throws Exception {
		int code;
		try (Bench bench = new Bench(Path.of(arguments[0]), 2)) {
			code = run(bench);
		}
		catch (IllegalStateException | IOException ex) {
			System.out.println("could not run: " + ex);
			code = Bench.COULD_NOT_RUN;
		}
		System.exit(code);
	}

	private static int run(Bench bench) throws Exception {
		Map<String, Request> requests = new ConcurrentHashMap<>();
		Semaphore slots = new Semaphore(SLOTS, true);
		Bench.Worker worker = new Bench.Worker("i-7f3a91c2", 0, (request, in, out) -> {
			if (!slots.tryAcquire(Long.parseLong(request.header("Deadline-Ms")), TimeUnit.MILLISECONDS)) {
				Bench.Worker.write(out, "HTTP/1.1 503 X\r\nRequest-Id: " + request.header("Request-Id")
						+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				return true;
			}
			Request known = requests.get(request.header("Request-Id"));
			try {
				known.workStarted = now();
				bench.log("worker runs %s, Deadline-Ms %s", known.id, request.header("Deadline-Ms"));
				Thread.sleep(WORK_MILLIS);
			}
			finally {
				known.workEnded = now();
				slots.release();
			}
			Bench.Worker.write(out, Bench.Worker.head(request, 200, "Content-Length: 2") + "ok");
			return true;
		});
		bench.store.put("keyed.op", "config", """
				{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/",\
				"kind":"non_idempotent","timeoutMs":18000,"targetLatencyMs":3000,"priority":1,"service":"wuno96b",\
				"attempts":1,"public":false}],"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":208,\
				"protocol":"h1","tls":false,"coldPeriodS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,\
				"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
				"tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1}]}""");
		bench.store.put("keyed.servers", worker.id, worker.entry("wuno96b", "norte-a", SLOTS, "ready", 0, 1));
		List<Bench.Daemon> daemons = bench.startDaemons(List.of("norte-a"));
		Thread.sleep(6_000);
		Bench.Daemon stopped = daemons.get(1);
		CountDownLatch ended = new CountDownLatch(CLIENTS);
		for (int i = 0; i < CLIENTS; i++) {
			Request request = new Request("c" + i);
			requests.put(request.id, request);
			Bench.daemonThread(() -> {
				ask(bench, stopped, request);
				ended.countDown();
			});
			Thread.sleep(20);
		}
		Thread.sleep(600);
		long stop = now();
		if (Bench.isTroubled()) {
			stopped.signal("TERM");
			bench.log("process ended: %s", stopped.process.waitFor(GRACE_MILLIS + 1_000, TimeUnit.MILLISECONDS));
		}
		ended.await(25, TimeUnit.SECONDS);
		int answered = 0;
		List<String> lost = new ArrayList<>();
		int excused = 0;
		for (Request request : requests.values()) {
			answered += request.answered ? 1 : 0;
			if (!request.answered) {
				boolean isInTime = Bench.isTroubled() && request.ended <= stop + GRACE_MILLIS + 1_000;
				boolean isWorkerLate = request.isAtWork(stop + GRACE_MILLIS * 5 / 6, stop + GRACE_MILLIS);
				boolean isReadInFull = request.ended > request.sent + LOST_MILLIS;
				if (isInTime && isReadInFull && !isWorkerLate && request.ended < request.sent + TIMEOUT_MILLIS) {
					lost.add(request.id);
				}
				else {
					excused++;
				}
			}
		}
		Collections.sort(lost);
		String counts = String.format("%d of %d answered, %d lost %s, %d cut with an excuse", answered, CLIENTS, lost.size(),
				lost, excused);
		if (!Bench.isTroubled() && answered < CLIENTS) {
			return bench.verdict(Bench.COULD_NOT_RUN, "%s", counts);
		}
		return bench.verdict(lost.isEmpty() ? Bench.RULE_HELD : Bench.RULE_BROKEN, "%s", counts);
	}

	private static void ask(Bench bench, Bench.Daemon daemon, Request request) {
		try (Socket socket = daemon.connect()) {
			OutputStream out = socket.getOutputStream();
			out.write(("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + request.id
					+ "\r\nDeadline-Ms: " + TIMEOUT_MILLIS + "\r\nKey: k1\r\nContent-Length: 4\r\n\r\nswap")
				.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			request.sent = now();
			bench.log("client sent %s", request.id);
			Bench.Message answer = Bench.Message.read(new BufferedInputStream(socket.getInputStream()), false);
			request.ended = now();
			request.answered = answer != null;
			bench.log("client %s: %s after %d ms", request.id,
					(answer != null) ? "status " + answer.status() : "channel ended without an answer",
					request.ended - request.sent);
		}
		catch (IOException ex) {
			request.ended = now();
			bench.log("client %s: channel ended without an answer after %d ms: %s", request.id,
					request.ended - request.sent, ex.getMessage());
		}
	}

}
