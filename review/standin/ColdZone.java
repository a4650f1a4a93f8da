import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The workers of a zone are down and come back cold while steady traffic runs. */
final class ColdZone {

	private static final int SLOTS = 11;

	/** As on the sheets of the grown installations. */
	private static final double COLD_PER_S = 14;

	private static final double COLD_OVERRUN = 1.5;

	private static final double COLD_SLACK = 5;

	private static final int COLD_MILLIS = 3_000;

	/** A cold worker crashes at a rate well above the one that it tolerates. */
	private static final double CRASH_PER_S = 3 * COLD_PER_S;

	/** 1,460 tokens read at 154 a ms and 80 tokens written at 1.31 ms each. */
	private static final long WORK_MILLIS = 114;

	private static final int REQUESTS_PER_S = 90;

	private static final int TRAFFIC_MILLIS = 14_000;

	private static final List<String> ZONES = List.of("norte-a", "norte-b");

	/** An entry is removed after three heartbeats of silence. */
	private static final long HEARTBEATS_MILLIS = 3_600;

	private static final long DOWN_MILLIS = 4_500;

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

	private static Bench.Worker worker(Bench bench, String id, List<Long> arrivals, long coldUntil) throws IOException {
		Semaphore slots = new Semaphore(SLOTS, true);
		Bench.Worker[] self = new Bench.Worker[1];
		AtomicInteger running = new AtomicInteger();
		self[0] = new Bench.Worker(id, 0, (request, in, out) -> {
			long now = System.nanoTime() / 1_000_000;
			bench.log("%s gets %s", id, request.header("Request-Id"));
			running.incrementAndGet();
			synchronized (arrivals) {
				arrivals.add(now);
				long lastSecond = arrivals.stream().filter((arrival) -> arrival > now - 1_000).count();
				if (now < coldUntil && lastSecond > CRASH_PER_S) {
					bench.log("%s crashes while cold, after %d requests in one second, %d in progress", id, lastSecond,
							running.get());
					self[0].close();
					return false;
				}
			}
			if (!slots.tryAcquire(2, TimeUnit.SECONDS)) {
				Bench.Worker.write(out, "HTTP/1.1 503 X\r\nRequest-Id: " + request.header("Request-Id")
						+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				return true;
			}
			try {
				Thread.sleep(WORK_MILLIS);
			}
			finally {
				slots.release();
				running.decrementAndGet();
			}
			String event = "id: 80\ndata: all\n\n";
			Bench.Worker.write(out, Bench.Worker.head(request, 200,
					"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked") + Integer.toHexString(event.length())
					+ "\r\n" + event + "\r\n0\r\n\r\n");
			return true;
		});
		return self[0];
	}

	private static int run(Bench bench) throws Exception {
		bench.store.put("keyed.op", "config", """
				{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/",\
				"kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"huvo11a",\
				"attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":250}],\
				"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":919,"protocol":"h1","tls":false,\
				"coldPeriodS":3.0,"coldPerS":14.0,"engine":{"slots":11,"kvCapacityTokens":405000,"kvTokenBytes":163840,\
				"linkMbps":400000.0,"stride":34,"models":[{"name":"m"}],"step_ms":1.31,"per_seq_ms":0.0013,\
				"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,"chunk":2048,"report_lag_ms":200.0,\
				"usual":{"prompt":1460,"answer":80},"hopMs":0.1}}],"limits":{"maxHeaderBytes":16384,\
				"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
				"tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1}]}""");
		List<List<Long>> cold = List.of(new ArrayList<>(), new ArrayList<>());
		List<Bench.Worker> workers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			Bench.Worker worker = worker(bench, "i-0" + i, new ArrayList<>(), 0);
			workers.add(worker);
			bench.store.put("keyed.servers", worker.id, worker.entry("huvo11a", ZONES.get(i / 2), SLOTS, "ready", 0, 1));
		}
		List<Bench.Daemon> daemons = bench.startDaemons(ZONES);
		Thread.sleep(6_000);
		AtomicInteger served = new AtomicInteger();
		AtomicInteger other = new AtomicInteger();
		long start = System.nanoTime();
		Bench.daemonThread(() -> traffic(daemons, served, other));
		Thread.sleep(5_000);
		long coldFrom = Long.MAX_VALUE;
		if (Bench.isTroubled()) {
			for (Bench.Worker worker : workers.subList(0, 2)) {
				worker.close();
				bench.log("%s is down", worker.id);
			}
			Thread.sleep(HEARTBEATS_MILLIS);
			for (Bench.Worker worker : workers.subList(0, 2)) {
				bench.store.put("keyed.servers", worker.id, "");
			}
			Thread.sleep(DOWN_MILLIS - HEARTBEATS_MILLIS);
			coldFrom = System.nanoTime() / 1_000_000;
			List<Bench.Worker> back = new ArrayList<>();
			for (int i = 0; i < 2; i++) {
				Bench.Worker worker = worker(bench, "i-1" + i, cold.get(i), coldFrom + COLD_MILLIS);
				back.add(worker);
				bench.store.put("keyed.servers", worker.id,
						worker.entry("huvo11a", ZONES.get(0), SLOTS, "ready", COLD_MILLIS, 1));
				bench.log("%s is back, cold for %d ms", worker.id, COLD_MILLIS);
			}
			Thread.sleep(COLD_MILLIS);
			for (Bench.Worker worker : back) {
				if (!worker.isClosed()) {
					bench.store.put("keyed.servers", worker.id,
							worker.entry("huvo11a", ZONES.get(0), SLOTS, "ready", 0, 2));
					bench.log("%s is warm", worker.id);
				}
			}
			Thread.sleep(HEARTBEATS_MILLIS - COLD_MILLIS);
			for (Bench.Worker worker : back) {
				if (worker.isClosed()) {
					bench.store.put("keyed.servers", worker.id, "");
				}
			}
		}
		Thread.sleep(Math.max(0, TRAFFIC_MILLIS + 1_000 - (System.nanoTime() - start) / 1_000_000));
		int most = Math.max(mostInOneSecond(cold.get(0), coldFrom), mostInOneSecond(cold.get(1), coldFrom));
		double bound = COLD_PER_S * COLD_OVERRUN + COLD_SLACK;
		String counts = String.format("%d answered 200, %d otherwise; a cold worker got %d requests in one second, bound %.0f",
				served.get(), other.get(), most, bound);
		if (served.get() < REQUESTS_PER_S * 5) {
			return bench.verdict(Bench.COULD_NOT_RUN, "%s", counts);
		}
		return bench.verdict((most > bound) ? Bench.RULE_BROKEN : Bench.RULE_HELD, "%s", counts);
	}

	private static int mostInOneSecond(List<Long> arrivals, long coldFrom) {
		int most = 0;
		synchronized (arrivals) {
			for (int first = 0; first < arrivals.size(); first++) {
				int count = 0;
				long end = Math.min(arrivals.get(first) + 1_000, coldFrom + COLD_MILLIS);
				for (int i = first; i < arrivals.size() && arrivals.get(i) < end; i++) {
					count++;
				}
				most = Math.max(most, count);
			}
		}
		return most;
	}

	private static void traffic(List<Bench.Daemon> daemons, AtomicInteger served, AtomicInteger other) {
		int number = 0;
		long start = System.nanoTime();
		while (System.nanoTime() - start < TRAFFIC_MILLIS * 1_000_000L) {
			int index = number++;
			Bench.daemonThread(() -> ask(daemons.get(index % daemons.size()), "q" + index, served, other));
			long next = start + index * 1_000_000_000L / REQUESTS_PER_S;
			try {
				TimeUnit.NANOSECONDS.sleep(Math.max(0, next - System.nanoTime()));
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static void ask(Bench.Daemon daemon, String id, AtomicInteger served, AtomicInteger other) {
		try (Socket socket = daemon.connect()) {
			OutputStream out = socket.getOutputStream();
			out.write(("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
					+ "\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e" + id.hashCode()
					+ ":250\r\nDeadline-Ms: 10008\r\nKey: k1\r\nContent-Length: 4\r\n\r\nhola")
				.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Bench.Message answer = Bench.Message.read(in, false);
			((answer != null && answer.status() == 200) ? served : other).incrementAndGet();
		}
		catch (IOException ex) {
			other.incrementAndGet();
		}
	}

}
