package org.poplarloom.entry.relay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StutteringScript;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * A soak with callers in parallel and endpoints that write earlier answers again,
 * entirely or in part, and that also fail, refuse requests and break off streams.
 * <p>
 * What callers receive is compared with what the endpoints did. Run other seeds with
 * {@code -Dpoplarloom.soak.seeds=FIRST-LAST}; the failure names the seed. The seed
 * determines the choices, but not the order in which threads make them.
 */
public class RelayStutterSoakTests extends RelayFixture {

	private static final String DEFAULT_SEEDS = "1-5";

	private static final int CALLERS = 16;

	private static final long STUTTER_MILLIS = 2_500;

	/** Endpoints that have failed requests are used again after this time. */
	private static final long CALM_MILLIS = 1_000;

	private static final int CALM_REQUESTS = 30;

	private static final int MIN_CALM_SUCCESSES = 24;

	private static final long TIMEOUT_SECONDS = 20;

	/** Exceeds the memory of one endpoint, so that its helper has to reserve memory. */
	private static final int LONG_PROMPT_TOKENS = 450_000;

	private static final String CONFIGURATION = CallerStandIn.configuration(3, "model", "app", 100_000_000, 0.0001)
		.replace("\"service\":\"app\"", "\"service\":\"model\"")
		.replace("\"attempts\":2", "\"attempts\":3");

	/** These statuses promise that the request has not run and never will. */
	private static final List<Integer> PROMISED_NOT_RUN = List.of(408, 421, 429, 503);

	private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

	private final Queue<Response> responses = new ConcurrentLinkedQueue<>();

	private long seed;

	private volatile boolean isCalm;

	@DataProvider
	public static Object[] seeds() {
		String[] bounds = System.getProperty("poplarloom.soak.seeds", DEFAULT_SEEDS).split("-");
		return IntStream.rangeClosed(Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1]))
			.boxed()
			.toArray();
	}

	/**
	 * Guards against answers of other requests, promises that do not hold, requests that
	 * run twice and streams with gaps, whatever an endpoint writes again.
	 */
	@Test(dataProvider = "seeds")
	public void callersReceiveWhatTheEndpointsAnsweredToThem(int chosenSeed) throws Exception {
		this.seed = chosenSeed;
		this.runs.clear();
		this.responses.clear();
		this.isCalm = false;
		Random random = new Random(chosenSeed);
		double probability = 0.05 + 0.35 * random.nextDouble();
		List<StutteringScript> scripts = new ArrayList<>();
		try (WorkerStandIn thirdWorker = new WorkerStandIn("i-3")) {
			List<WorkerStandIn> workers = List.of(this.firstWorker, this.secondWorker, thirdWorker);
			this.store.put(Tables.WORKERS, thirdWorker.id(), thirdWorker.entry("model", "norte-a", "ready"));
			publish(CONFIGURATION, "model", "ready", "ready");
			for (WorkerStandIn worker : workers) {
				StutteringScript script = new StutteringScript((request, out) -> answer(worker, request, out),
						probability, random.nextLong());
				scripts.add(script);
				worker.respondWith(script);
			}
			call(random);
			scripts.forEach(StutteringScript::stop);
			this.isCalm = true;
			checkService();
		}
		List<String> faults = new ArrayList<>();
		this.responses.forEach((response) -> addFault(response, faults));
		this.runs.forEach((id, attempts) -> {
			if (id.startsWith("once") && attempts.size() > 1) {
				faults.add("TWICE: " + id + " ran " + attempts.size() + " times");
			}
		});
		Assert.assertTrue(faults.isEmpty(), "seed " + chosenSeed + ", " + faults.size() + " faults in "
				+ this.responses.size() + " responses:\n" + String.join("\n", faults));
	}

	private void call(Random random) throws InterruptedException, ExecutionException, TimeoutException {
		ExecutorService threads = Executors.newFixedThreadPool(CALLERS, (task) -> {
			Thread thread = new Thread(task, "caller");
			thread.setDaemon(true);
			return thread;
		});
		try {
			List<Future<?>> callers = new ArrayList<>();
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STUTTER_MILLIS);
			for (int i = 0; i < CALLERS; i++) {
				Caller caller = new Caller("c" + (10 + i), new Random(random.nextLong()));
				callers.add(threads.submit(() -> caller.callUntil(endNanos)));
			}
			for (Future<?> caller : callers) {
				caller.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			}
		}
		finally {
			threads.shutdownNow();
		}
	}

	// Endpoints that stutter must not be lost for good.
	private void checkService() {
		pause(CALM_MILLIS);
		Caller caller = new Caller("calm", new Random(this.seed));
		int before = this.responses.size();
		for (int i = 0; i < CALM_REQUESTS; i++) {
			caller.call(i);
		}
		long successes = this.responses.stream().skip(before).filter((response) -> response.status == 200).count();
		Assert.assertTrue(successes >= MIN_CALM_SUCCESSES, "seed " + this.seed + ": " + successes + " of "
				+ CALM_REQUESTS + " requests succeeded after the stutter");
	}

	private void answer(WorkerStandIn worker, WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out)
			throws IOException {
		String id = request.header("Request-Id");
		Random random = new Random(Objects.hash(this.seed, id, worker.id(), request.body()));
		if (request.requestLine().startsWith("POST /order")) {
			boolean isRefused = !this.isCalm && random.nextInt(4) == 0;
			out.write((isRefused ? "HTTP/1.1 409 Full" : "HTTP/1.1 200 OK")
					+ "\r\nContent-Length: 10\r\n\r\n{\"free\":1}");
		}
		else if (request.requestLine().startsWith("GET /report")) {
			out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"busy\":0}");
		}
		else {
			pause(random.nextInt(8));
			int choice = this.isCalm ? Integer.MAX_VALUE : random.nextInt(20);
			if (choice < 6) {
				refuse(choice, request, out);
			}
			else if (choice < 8) {
				fail(worker, request, out, random);
			}
			else if (id.startsWith("stream")) {
				stream(worker, request, out, random, choice < 10);
			}
			else {
				String body = "body of " + id + " by " + worker.id() + " " + "x".repeat(random.nextInt(200));
				Run run = addRun(id, new Run(200, stamp(id, worker), body));
				write(run, id, "text/plain", random, out);
			}
		}
	}

	private static void refuse(int choice, WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out)
			throws IOException {
		String status = List.of("503 Busy", "421 Misdirected", "429 Many").get(choice % 3);
		String id = (choice < 3) ? "Request-Id: " + request.header("Request-Id") + "\r\n" : "";
		String helpers = request.header("Helpers");
		String faulty = helpers.isEmpty() ? "" : "At-Server: " + helpers.split("[/,]")[0] + "\r\n";
		out.write("HTTP/1.1 " + status + "\r\n" + faulty + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
	}

	private void fail(WorkerStandIn worker, WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out,
			Random random) throws IOException {
		String id = request.header("Request-Id");
		Run run = addRun(id, new Run(500, stamp(id, worker), "id: 99\ndata: failure of " + id + "\n\n"));
		write(run, id, random.nextBoolean() ? "text/event-stream" : "text/plain", random, out);
	}

	private void stream(WorkerStandIn worker, WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out,
			Random random, boolean isBrokenOff) throws IOException {
		String id = request.header("Request-Id");
		String last = request.header("Last-Event-Id");
		int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
		Run run = addRun(id, new Run(200, stamp(id, worker), ""));
		out.write(head(run, id, random, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"));
		for (int i = first; i <= eventCount(id); i++) {
			if (isBrokenOff && i > first) {
				out.close();
				return;
			}
			out.write(chunk(event(id, i)));
		}
		out.write("0\r\n\r\n");
	}

	private static void write(Run run, String id, String contentType, Random random, WorkerStandIn.ResponseWriter out)
			throws IOException {
		if (random.nextBoolean()) {
			out.write(head(run, id, random, "Content-Type: " + contentType, "Content-Length: " + run.body.length())
					+ run.body);
		}
		else {
			int half = run.body.length() / 2;
			out.write(head(run, id, random, "Content-Type: " + contentType, "Transfer-Encoding: chunked"));
			out.write(chunk(run.body.substring(0, half)) + chunk(run.body.substring(half)) + "0\r\n\r\n");
		}
	}

	private static String head(Run run, String id, Random random, String... headerLines) {
		List<String> lines = new ArrayList<>(Arrays.asList(headerLines));
		lines.addAll(List.of("Request-Id: " + id, "Server-Stamp: " + run.stamp, "Server-Load: 1,0,4"));
		Collections.shuffle(lines, random);
		return "HTTP/1.1 " + run.status + ((run.status == 200) ? " OK" : " Internal Server Error") + "\r\n"
				+ String.join("\r\n", lines) + "\r\n\r\n";
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private static String stamp(String id, WorkerStandIn worker) {
		return "3e1b." + id + "." + worker.id();
	}

	private static int eventCount(String id) {
		return 2 + Math.floorMod(id.hashCode(), 4);
	}

	private static String event(String id, int number) {
		return "id: " + number + "\ndata: piece " + number + " of " + id + "\n\n";
	}

	private static String events(String id) {
		return IntStream.rangeClosed(1, eventCount(id)).mapToObj((i) -> event(id, i)).collect(Collectors.joining());
	}

	private Run addRun(String id, Run run) {
		this.runs.computeIfAbsent(id, (key) -> new CopyOnWriteArrayList<>()).add(run);
		return run;
	}

	private void addFault(Response response, List<String> faults) {
		List<Run> attempts = this.runs.getOrDefault(response.id, List.of());
		boolean isStream = response.id.startsWith("stream");
		if (response.isFollowedByBytes) {
			faults.add("MIXED, bytes after the answer: " + response);
		}
		if (response.status == 200 && isStream) {
			String expected = events(response.id);
			if (attempts.stream().noneMatch((run) -> run.status == 200 && run.stamp.equals(response.stamp))) {
				faults.add("MIXED: " + response + ", runs " + attempts);
			}
			if (response.isComplete ? !response.body.equals(expected) : !expected.startsWith(response.body)) {
				faults.add("ORDER: " + response + ", expected " + expected);
			}
		}
		else if (response.status / 100 == 2 || !response.stamp.isEmpty()) {
			boolean isOfRun = attempts.stream()
				.anyMatch((run) -> run.status == response.status && run.stamp.equals(response.stamp)
						&& (!response.isComplete || run.body.equals(response.body)));
			if (!isOfRun) {
				faults.add("MIXED: " + response + ", runs " + attempts);
			}
		}
		if (PROMISED_NOT_RUN.contains(response.status) && response.id.startsWith("once") && !attempts.isEmpty()) {
			faults.add("REFUSED: " + response + ", runs " + attempts);
		}
	}

	/**
	 * What an endpoint answered to a request that it ran.
	 */
	private record Run(int status, String stamp, String body) {
	}

	/**
	 * What a caller received; the status is 0 if it received no head.
	 */
	private record Response(String id, int status, String stamp, String body, boolean isComplete,
			boolean isFollowedByBytes) {
	}

	/**
	 * A caller that sends one request after the other, on kept connections and new ones.
	 * This class is not thread-safe.
	 */
	private final class Caller {

		private final String name;

		private final Random random;

		private CallerStandIn connection;

		Caller(String name, Random random) {
			this.name = name;
			this.random = random;
		}

		void callUntil(long endNanos) {
			for (int i = 0; System.nanoTime() < endNanos; i++) {
				call(i);
			}
			close();
		}

		void call(int number) {
			String route = List.of("once", "once", "again", "stream").get(this.random.nextInt(4));
			// Of one length, like the ids of callers, so that a part of one is no other
			// one.
			String id = String.format(Locale.ROOT, "%s-%s-%05d", route, this.name, number);
			try {
				if (this.connection == null || this.random.nextInt(4) == 0) {
					close();
					this.connection = new CallerStandIn(RelayStutterSoakTests.this.callerAddress);
				}
				boolean isFollowedByBytes = this.connection.hasUnreadBytes();
				int tokens = (this.random.nextInt(25) == 0) ? LONG_PROMPT_TOKENS : 0;
				this.connection.send("POST /" + route + "/" + id, id,
						"Deadline-Ms: 500\r\n" + ((tokens > 0) ? "Token-Count: " + tokens + ",100\r\n" : ""), id);
				read(id, isFollowedByBytes);
			}
			catch (IOException ex) {
				// A connection that is closed or reset promises nothing.
				close();
			}
		}

		private void read(String id, boolean isFollowedByBytes) throws IOException {
			String head = this.connection.readUntil("\r\n\r\n");
			if (!head.endsWith("\r\n\r\n")) {
				RelayStutterSoakTests.this.responses.add(new Response(id, 0, "", "", false, isFollowedByBytes));
				close();
				return;
			}
			int status = Integer.parseInt(head.split(" ", 3)[1]);
			StringBuilder body = new StringBuilder();
			boolean isComplete;
			if (header(head, "Transfer-Encoding").equalsIgnoreCase("chunked")) {
				isComplete = readChunks(body);
			}
			else {
				int length = Integer.parseInt(header(head, "Content-Length"));
				body.append(this.connection.read(length));
				isComplete = body.length() == length;
			}
			RelayStutterSoakTests.this.responses.add(new Response(id, status, header(head, "Server-Stamp"),
					body.toString(), isComplete, isFollowedByBytes));
			if (!isComplete || header(head, "Connection").equalsIgnoreCase("close")) {
				close();
			}
		}

		private boolean readChunks(StringBuilder body) throws IOException {
			while (true) {
				String sizeLine = this.connection.readUntil("\r\n");
				if (!sizeLine.endsWith("\r\n")) {
					return false;
				}
				int size = Integer.parseInt(sizeLine.trim(), 16);
				String chunk = this.connection.read(size + 2);
				body.append(chunk, 0, Math.min(size, chunk.length()));
				if (size == 0 || chunk.length() < size + 2) {
					return size == 0 && chunk.length() == 2;
				}
			}
		}

		private static String header(String head, String name) {
			for (String line : head.split("\r\n")) {
				if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
					return line.substring(name.length() + 1).trim();
				}
			}
			return "";
		}

		private void close() {
			try {
				if (this.connection != null) {
					this.connection.close();
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			this.connection = null;
		}

	}

}
