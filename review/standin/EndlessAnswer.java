import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Some workers send bytes that are no answer, without end, until the caller closes. */
final class EndlessAnswer {

	private static final int WORKERS = 10;

	/** A share of 0.6, as the sheet has it for workers that hand out wrong bytes. */
	private static final int FAULTY_WORKERS = 6;

	private static final int SLOTS = 11;

	private static final long WORK_MILLIS = 1_000;

	private static final int BLOCK_BYTES = 16_384;

	private static final long BLOCK_MILLIS = 16;

	private static final int REQUESTS_PER_S = 75;

	/** Two thirds of them reach the first machine: the platform spreads channels unevenly. */
	private static final int CLIENTS = 400;

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final int DEADLINE_MILLIS = 12_000;

	private static final long TROUBLE_FROM_MILLIS = 5_000;

	private static final long TROUBLE_UNTIL_MILLIS = 25_000;

	private static final long TRAFFIC_MILLIS = 36_000;

	private static final String ENDED = "channel ended without an answer";

	private static final Map<String, Request> REQUESTS = new ConcurrentHashMap<>();

	private static volatile boolean endless;

	/** A request of a client. */
	private static final class Request {

		final String id;

		volatile long sent;

		volatile boolean isKeptChannel;

		volatile boolean isAtSoundWorker;

		volatile String result = "";

		volatile long millis;

		Request(String id) {
			this.id = id;
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

	private static Bench.Worker worker(Bench bench, int number) throws IOException {
		String name = "i-0" + number;
		return new Bench.Worker(name, 0, (request, in, out) -> {
			String id = request.header("Request-Id");
			bench.log("%s gets %s", name, id);
			if (endless && number < FAULTY_WORKERS) {
				Bench.Worker.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Type: text/html\r\n\r\n");
				byte[] block = new byte[BLOCK_BYTES];
				while (true) {
					out.write(block);
					Thread.sleep(BLOCK_MILLIS);
				}
			}
			REQUESTS.get(id).isAtSoundWorker = true;
			Thread.sleep(WORK_MILLIS);
			Bench.Worker.write(out, Bench.Worker.head(request, 200, "Content-Length: 2") + "ok");
			return true;
		});
	}

	private static int run(Bench bench) throws Exception {
		bench.store.put("keyed.op", "config", """
				{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/cufi504/",\
				"kind":"idempotent","timeoutMs":10000,"targetLatencyMs":3000,"priority":1,"service":"wuno96b",\
				"attempts":2,"public":false}],"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":208,\
				"protocol":"h1","tls":false,"coldPeriodS":0.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,\
				"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},\
				"tenants":[{"name":"hule930","apiKeys":["k1"],"priority":1}]}""");
		for (int i = 0; i < WORKERS; i++) {
			Bench.Worker worker = worker(bench, i);
			bench.store.put("keyed.servers", worker.id, worker.entry("wuno96b", "norte-a", SLOTS, "ready", 0, 1));
		}
		List<Bench.Daemon> daemons = bench.startDaemons(List.of("norte-a"));
		Thread.sleep(6_000);
		Map<String, Request> requests = REQUESTS;
		List<Thread> clients = new ArrayList<>();
		long start = now();
		for (int i = 0; i < CLIENTS; i++) {
			int client = i;
			clients.add(Bench.daemonThread(() -> keepAsking(bench, daemons.get((client % 3) / 2), client, start)));
		}
		long[] longestSilence = new long[1];
		Bench.daemonThread(() -> watchReadiness(bench, daemons.get(0), longestSilence));
		if (Bench.isTroubled()) {
			Thread.sleep(TROUBLE_FROM_MILLIS);
			endless = true;
			bench.log("%d workers send endless bytes", FAULTY_WORKERS);
			Thread.sleep(TROUBLE_UNTIL_MILLIS - TROUBLE_FROM_MILLIS);
			endless = false;
			bench.log("they answer soundly again");
		}
		for (Thread client : clients) {
			client.join(Math.max(1, start + TRAFFIC_MILLIS + DEADLINE_MILLIS + 1_000 - now()));
		}
		int served = 0;
		int lost = 0;
		int lasting = 0;
		int unanswered = 0;
		for (Request request : requests.values()) {
			served += request.result.equals("200") ? 1 : 0;
			if (request.millis > TIMEOUT_MILLIS) {
				lasting++;
				boolean hasAnswer = request.millis <= TIMEOUT_MILLIS + 500 && !request.result.equals(ENDED);
				unanswered += hasAnswer ? 0 : 1;
			}
			if (request.isKeptChannel && request.isAtSoundWorker && request.result.equals(ENDED)) {
				lost++;
				bench.log("%s was passed on to a sound worker and its channel ended without an answer", request.id);
			}
		}
		int dead = 0;
		for (Bench.Daemon daemon : daemons) {
			boolean isAlive = daemon.process.isAlive();
			dead += isAlive ? 0 : 1;
			bench.log("%s: alive %s, ready %s", daemon.name, isAlive, isAlive && daemon.isReady());
			daemon.logText().lines().filter((line) -> line.contains("OutOfMemory")).limit(3).forEach((line) -> bench.log("%s: %s",
					daemon.name, line));
		}
		String counts = String.format("%d sent, %d answered 200; %d lasted longer than the timeout, %d of them had no answer 0.5 s "
				+ "after it; %d passed on to a sound worker on a kept channel and closed without an answer; %d of %d "
				+ "processes ended by themselves; %s did not answer /ready for %d ms", requests.size(), served, lasting,
				unanswered, lost, dead, daemons.size(), daemons.get(0).name, longestSilence[0]);
		if (served < 200) {
			return bench.verdict(Bench.COULD_NOT_RUN, "%s", counts);
		}
		boolean isConfigBroken = unanswered >= 8 && unanswered * 4 > lasting;
		boolean isLostBroken = lost > 3;
		return bench.verdict((isConfigBroken || isLostBroken) ? Bench.RULE_BROKEN : Bench.RULE_HELD, "%s%s%s",
				isConfigBroken ? "CONFIG " : "", isLostBroken ? "LOST " : "", counts);
	}

	private static void watchReadiness(Bench bench, Bench.Daemon daemon, long[] longestSilence) {
		long lastReady = now();
		try {
			while (true) {
				if (daemon.isReady()) {
					if (now() - lastReady > longestSilence[0]) {
						longestSilence[0] = now() - lastReady;
					}
					lastReady = now();
				}
				else {
					bench.log("%s does not answer /ready, for %d ms", daemon.name, now() - lastReady);
					longestSilence[0] = Math.max(longestSilence[0], now() - lastReady);
				}
				Thread.sleep(500);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Sends a request each period on one channel, which is opened again when it has ended. */
	private static void keepAsking(Bench bench, Bench.Daemon daemon, int client, long start) {
		long period = CLIENTS * 1_000L / REQUESTS_PER_S;
		long next = start + client * period / CLIENTS;
		Socket socket = null;
		int number = 0;
		try {
			while (next - start < TRAFFIC_MILLIS) {
				Thread.sleep(Math.max(0, next - now()));
				next = Math.max(next + period, now());
				boolean isKept = socket != null;
				if (socket == null) {
					socket = connect(daemon);
				}
				if (socket == null) {
					continue;
				}
				Request request = new Request("c" + client + "-" + number++);
				request.isKeptChannel = isKept;
				REQUESTS.put(request.id, request);
				if (!ask(bench, socket, request)) {
					socket.close();
					socket = null;
				}
			}
		}
		catch (InterruptedException | IOException ex) {
			bench.log("client %d: %s", client, ex.getMessage());
		}
	}

	private static Socket connect(Bench.Daemon daemon) {
		try {
			Socket socket = daemon.connect();
			socket.setSoTimeout(DEADLINE_MILLIS);
			return socket;
		}
		catch (IOException ex) {
			return null;
		}
	}

	private static boolean ask(Bench bench, Socket socket, Request request) {
		request.sent = now();
		try {
			OutputStream out = socket.getOutputStream();
			out.write(("GET /cufi504/" + request.id + "/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + request.id
					+ "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nKey: k1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
			out.flush();
			Bench.Message answer = Bench.Message.read(new BufferedInputStream(socket.getInputStream()), false);
			request.result = (answer != null) ? String.valueOf(answer.status()) : ENDED;
			return answer != null && !answer.header("Connection").equalsIgnoreCase("close");
		}
		catch (SocketTimeoutException ex) {
			request.result = "deadline passed";
			return false;
		}
		catch (IOException ex) {
			request.result = ENDED;
			return false;
		}
		finally {
			request.millis = now() - request.sent;
			bench.log("client %s: %s after %d ms", request.id, request.result, request.millis);
		}
	}

}
