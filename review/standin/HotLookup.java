import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Two workers crash, seven seconds apart, while clients look up one page again and again. */
final class HotLookup {

	private static final int WORKERS = 6;

	private static final int SLOTS = 6;

	private static final int WORK_MILLIS = 43;

	private static final int LOOKUPS_PER_S = 60;

	private static final int SWAPS_PER_S = 15;

	/** As on the sheet. */
	private static final long DOWN_MILLIS = 4_500;

	/** An entry is removed after three heartbeats of silence. */
	private static final long HEARTBEATS_MILLIS = 3_600;

	private static final int SETTLED_MILLIS = 8_000;

	private static final int MEASURED_MILLIS = 10_000;

	/** Requests of one route that were sent in the measured time. */
	private static final class Route {

		final AtomicInteger sent = new AtomicInteger();

		final AtomicInteger served = new AtomicInteger();

		double ratio() {
			return (double) this.served.get() / Math.max(1, this.sent.get());
		}

	}

	/** A worker and how many requests it runs. */
	private static final class Server {

		final AtomicInteger running = new AtomicInteger();

		Bench.Worker worker;

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

	private static String configuration(int version, String moreRoutes) {
		return """
				{"version":%d,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/puxa403/",\
				"kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":193,"priority":2,"service":"wuno96b",\
				"attempts":1,"public":false}%s],"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":208,\
				"protocol":"h1","tls":false,"coldPeriodS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,\
				"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
				"tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1}]}""".formatted(version, moreRoutes);
	}

	private static Server start(Bench bench, String id) throws IOException {
		Server server = new Server();
		server.worker = new Bench.Worker(id, 0, (request, in, out) -> {
			bench.log("%s runs %s", id, request.header("Request-Id"));
			server.running.incrementAndGet();
			try {
				Thread.sleep(WORK_MILLIS);
			}
			finally {
				server.running.decrementAndGet();
			}
			Bench.Worker.write(out, Bench.Worker.head(request, 200, "Content-Length: 2") + "ok");
			return true;
		});
		bench.store.put("keyed.servers", id, server.worker.entry("wuno96b", "norte-a", SLOTS, "ready", 0, 1));
		return server;
	}

	private static int run(Bench bench) throws Exception {
		bench.store.put("keyed.op", "config", configuration(7, ""));
		List<Server> servers = new ArrayList<>();
		for (int i = 0; i < WORKERS; i++) {
			servers.add(start(bench, "i-0" + i));
		}
		List<Bench.Daemon> daemons = bench.startDaemons(List.of("norte-a"));
		Thread.sleep(3_000);
		bench.store.put("keyed.op", "config", configuration(9, """
				,{"name":"r-2","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"idempotent","timeoutMs":1200,\
				"targetLatencyMs":193,"priority":2,"service":"wuno96b","attempts":2,"public":false}"""));
		bench.log("configuration 9 acknowledged, with route r-2");
		Thread.sleep(3_000);
		Map<String, Route> measured = new ConcurrentHashMap<>(Map.of("r-1", new Route(), "r-2", new Route()));
		boolean[] isMeasuring = new boolean[1];
		CountDownLatch stop = new CountDownLatch(1);
		Bench.daemonThread(() -> traffic(bench, daemons, LOOKUPS_PER_S, "GET", "/cufi504/fi50/2f", measured.get("r-2"),
				isMeasuring, stop));
		Bench.daemonThread(() -> traffic(bench, daemons, SWAPS_PER_S, "POST", "/puxa403/2f", measured.get("r-1"),
				isMeasuring, stop));
		Thread.sleep(4_000);
		for (int crash = 0; crash < 2; crash++) {
			if (Bench.isTroubled()) {
				Server busiest = servers.stream()
					.max(Comparator.comparingInt((server) -> server.running.get()))
					.orElseThrow();
				bench.log("%s crashes with %d requests", busiest.worker.id, busiest.running.get());
				busiest.worker.close();
				Thread.sleep(HEARTBEATS_MILLIS);
				bench.store.put("keyed.servers", busiest.worker.id, "");
				Thread.sleep(DOWN_MILLIS - HEARTBEATS_MILLIS);
				servers.remove(busiest);
				servers.add(start(bench, "i-1" + crash));
				bench.log("it is back as i-1%d", crash);
				Thread.sleep(2_500);
			}
		}
		Thread.sleep(SETTLED_MILLIS);
		bench.log("measured from here");
		isMeasuring[0] = true;
		Thread.sleep(MEASURED_MILLIS);
		isMeasuring[0] = false;
		Thread.sleep(1_500);
		stop.countDown();
		Route first = measured.get("r-1");
		Route added = measured.get("r-2");
		String counts = String.format("r-1: %d of %d served; r-2, added later: %d of %d served", first.served.get(),
				first.sent.get(), added.served.get(), added.sent.get());
		if (added.sent.get() < 20 || first.ratio() < 0.9) {
			return bench.verdict(Bench.COULD_NOT_RUN, "%s", counts);
		}
		return bench.verdict((added.ratio() < first.ratio() / 4) ? Bench.RULE_BROKEN : Bench.RULE_HELD, "%s", counts);
	}

	private static void traffic(Bench bench, List<Bench.Daemon> daemons, int perSecond, String method, String path,
			Route route, boolean[] isMeasuring, CountDownLatch stop) {
		long start = System.nanoTime();
		try {
			for (int i = 0; !stop.await(Math.max(0, start + i * 1_000_000_000L / perSecond - System.nanoTime()),
					TimeUnit.NANOSECONDS); i++) {
				String id = method + i;
				Bench.Daemon daemon = daemons.get(i % daemons.size());
				Bench.daemonThread(() -> {
					boolean isMeasured = isMeasuring[0];
					int status = ask(bench, daemon, method, path, id);
					if (isMeasured) {
						route.sent.incrementAndGet();
						route.served.addAndGet((status == 200) ? 1 : 0);
					}
				});
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static int ask(Bench bench, Bench.Daemon daemon, String method, String path, String id) {
		try (Socket socket = daemon.connect()) {
			socket.setSoTimeout(2_503);
			OutputStream out = socket.getOutputStream();
			String body = method.equals("GET") ? "" : "swap " + id;
			out.write((method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
					+ "\r\nDeadline-Ms: 2502\r\nKey: k1\r\n"
					+ (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body)
				.getBytes(StandardCharsets.US_ASCII));
			Bench.Message answer = Bench.Message.read(new BufferedInputStream(socket.getInputStream()), false);
			int status = (answer != null) ? answer.status() : 0;
			bench.log("client %s: status %d %s", id, status,
					(status == 200 || status == 0) ? "" : new String(answer.body, StandardCharsets.UTF_8).trim());
			return status;
		}
		catch (IOException ex) {
			bench.log("client %s: %s", id, ex.getMessage());
			return 0;
		}
	}

}
