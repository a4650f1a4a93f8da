import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration raises a limit while clients keep their channels open. */
final class RaisedLimit {

	private static final int CLIENTS = 40;

	private static final int OLD_BODY_BYTES = 65_536;

	private static final int NEW_BODY_BYTES = 4_194_304;

	private static final int SMALL_BYTES = 1_000;

	private static final int LARGE_BYTES = 100_000;

	private static final long CONFIG_MILLIS = 2_000;

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

	private static String configuration(int version, int maxBodyBytes) {
		return """
				{"version":%d,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/",\
				"kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":200,"priority":1,"service":"wuno96b",\
				"attempts":1,"public":false}],"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":208,\
				"protocol":"h1","tls":false,"coldPeriodS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,\
				"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
				"tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1}]}""".formatted(version, maxBodyBytes);
	}

	private static int run(Bench bench) throws Exception {
		Bench.Worker worker = new Bench.Worker("i-7f3a91c2", 0, (request, in, out) -> {
			bench.log("worker runs %s, %d bytes", request.header("Request-Id"), request.body.length);
			Bench.Worker.write(out, Bench.Worker.head(request, 200, "Content-Length: 2") + "ok");
			return true;
		});
		// Without the disruption, the higher limit is in force from the start.
		bench.store.put("keyed.op", "config", configuration(7, Bench.isTroubled() ? OLD_BODY_BYTES : NEW_BODY_BYTES));
		bench.store.put("keyed.servers", worker.id, worker.entry("wuno96b", "norte-a", 16, "ready", 0, 1));
		List<Bench.Daemon> daemons = bench.startDaemons(List.of("norte-a"));
		Thread.sleep(4_000);
		AtomicInteger ok = new AtomicInteger();
		AtomicInteger denied = new AtomicInteger();
		AtomicInteger failed = new AtomicInteger();
		CountDownLatch warm = new CountDownLatch(CLIENTS);
		CountDownLatch mayGoOn = new CountDownLatch(1);
		CountDownLatch ended = new CountDownLatch(CLIENTS);
		for (int i = 0; i < CLIENTS; i++) {
			int client = i;
			Bench.daemonThread(() -> {
				try (Socket socket = daemons.get(client % daemons.size()).connect()) {
					socket.setSoTimeout(8_000);
					InputStream in = new BufferedInputStream(socket.getInputStream());
					count(bench, ask(bench, socket.getOutputStream(), in, "a" + client, SMALL_BYTES), ok, denied, failed);
					warm.countDown();
					mayGoOn.await();
					count(bench, ask(bench, socket.getOutputStream(), in, "b" + client, LARGE_BYTES), ok, denied, failed);
				}
				catch (IOException | InterruptedException ex) {
					failed.incrementAndGet();
					bench.log("client %d: %s", client, ex.getMessage());
				}
				ended.countDown();
			});
			Thread.sleep(20);
		}
		warm.await(10, TimeUnit.SECONDS);
		if (Bench.isTroubled()) {
			bench.store.put("keyed.op", "config", configuration(9, NEW_BODY_BYTES));
			bench.log("configuration 9 acknowledged, maxBodyBytes %d instead of %d", NEW_BODY_BYTES, OLD_BODY_BYTES);
		}
		Thread.sleep(CONFIG_MILLIS + 1_500);
		int onNewChannels = 0;
		for (int i = 0; i < 4; i++) {
			try (Socket socket = daemons.get(i % daemons.size()).connect()) {
				int status = ask(bench, socket.getOutputStream(), new BufferedInputStream(socket.getInputStream()), "n" + i,
						LARGE_BYTES);
				onNewChannels += (status == 200) ? 1 : 0;
			}
		}
		mayGoOn.countDown();
		ended.await(15, TimeUnit.SECONDS);
		int requests = 2 * CLIENTS + 4;
		double bound = 5 + requests / 500.0;
		String counts = String.format("%d answered 200, %d denied with 4xx, %d without answer; bound of denied %.1f; "
				+ "on new channels %d of 4 answered 200", ok.get(), denied.get(), failed.get(), bound, onNewChannels);
		if (onNewChannels < 4) {
			return bench.verdict(Bench.COULD_NOT_RUN, "%s", counts);
		}
		return bench.verdict((denied.get() > bound) ? Bench.RULE_BROKEN : Bench.RULE_HELD, "%s", counts);
	}

	private static void count(Bench bench, int status, AtomicInteger ok, AtomicInteger denied, AtomicInteger failed) {
		((status == 200) ? ok : (status >= 400 && status < 500) ? denied : failed).incrementAndGet();
	}

	private static int ask(Bench bench, OutputStream out, InputStream in, String id, int bytes) throws IOException {
		out.write(("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id
				+ "\r\nDeadline-Ms: 5000\r\nKey: k1\r\nContent-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes))
			.getBytes(StandardCharsets.US_ASCII));
		out.flush();
		Bench.Message answer = Bench.Message.read(in, false);
		if (answer == null) {
			throw new IOException("channel ended without an answer to " + id);
		}
		bench.log("client %s: %d bytes, status %d %s", id, bytes, answer.status(),
				new String(answer.body, StandardCharsets.UTF_8).trim());
		return answer.status();
	}

}
