import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once and look things up with long queries. A machine keeps the target
 * of each of the last 20,000 requests that it has served, however long they are.
 */
public final class Case13 {

	/** Below the 8 KB of a request line and the 16 KB of the operator's limit. */
	private static final int QUERY_CHARACTERS = 8_050;

	private static final double QUERIES_PER_SECOND = 105;

	private static final double BURST_FACTOR = 2.9;

	private static final long BURST_MILLIS = 9_500;

	private static final long[] BURSTS_AT = { 12_000, 24_000, 36_000, 48_000, 60_000 };

	private static final long END_AT = 95_000;

	private static final int QUERY_CLIENTS = 40;

	private static final int LOOKUP_CLIENTS = 24;

	private static final int MIN_LOOKUP_WORK_MILLIS = 700;

	private static final int MAX_LOOKUP_WORK_MILLIS = 1_300;

	private static final String CONFIG = "{\"version\":1,\"routes\":[" + route("docs", 4_000) + ","
			+ route("lookups", 4_000) + "],\"services\":[" + service("docs") + "," + service("lookups")
			+ "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
			+ "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"" + Fleet.TENANT_KEY
			+ "\"],\"priority\":1}]}";

	private final Fleet fleet;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger queriesServed = new AtomicInteger();

	private final AtomicInteger queriesFailed = new AtomicInteger();

	private final AtomicInteger lookupsServed = new AtomicInteger();

	private final AtomicInteger lookupsFailed = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private final Semaphore due = new Semaphore(0);

	private final String query;

	private volatile double factor = 1;

	private volatile boolean ended;

	private Case13(Fleet fleet) {
		this.fleet = fleet;
		StringBuilder characters = new StringBuilder();
		new Random(13).ints(QUERY_CHARACTERS, 'a', 'z' + 1).forEach((character) -> characters.append((char) character));
		this.query = characters.toString();
	}

	private static String route(String name, int timeoutMillis) {
		return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"pathPrefix\":\"/" + name
				+ "/\",\"kind\":\"idempotent\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":2000,"
				+ "\"priority\":1,\"service\":\"" + name + "\",\"attempts\":2,\"public\":false}";
	}

	private static String service(String name) {
		return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":400,\"coldPeriodS\":0.0,"
				+ "\"coldPerS\":0.0}";
	}

	public static void main(String[] arguments) throws Exception {
		try (Fleet fleet = new Fleet(arguments[0])) {
			System.exit(new Case13(fleet).run());
		}
		catch (IOException ex) {
			System.err.println("could not run: " + ex);
			System.exit(2);
		}
	}

	private int run() throws IOException {
		this.fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < 2; i++) {
			this.fleet.startWorker("d" + i, "docs", "zone-a", 16).script = (worker, request, socket, out) -> Fleet
				.writeAnswer(request, out, "done");
			this.fleet.startWorker("l" + i, "lookups", "zone-a", 16).script = (worker, request, socket, out) -> {
				Fleet.sleep(ThreadLocalRandom.current().nextInt(MIN_LOOKUP_WORK_MILLIS, MAX_LOOKUP_WORK_MILLIS));
				Fleet.writeAnswer(request, out, "found");
			};
		}
		Fleet.Daemon daemon = this.fleet.startDaemon("edge-a-1", "zone-a", "limits.linkMbps=490");
		this.fleet.awaitReady();
		Fleet.sleep(4_000);
		for (int i = 0; i < LOOKUP_CLIENTS; i++) {
			startThread(() -> lookUp(daemon));
		}
		long start = this.fleet.millis();
		for (int i = 0; i < QUERY_CLIENTS; i++) {
			startThread(() -> query(daemon));
		}
		startThread(this::release);
		for (long at : BURSTS_AT) {
			awaitTime(start + at);
			if (Fleet.TROUBLE && daemon.process.isAlive()) {
				this.factor = BURST_FACTOR;
				awaitTime(start + at + BURST_MILLIS);
				this.factor = 1;
				this.fleet.note("many users have come at once; queries served so far " + this.queriesServed);
			}
		}
		awaitTime(start + END_AT);
		Fleet.sleep(500);
		this.ended = true;
		List<Fleet.Daemon> gone = this.fleet.daemons.stream().filter((one) -> !one.process.isAlive()).toList();
		for (Fleet.Daemon one : gone) {
			List<String> lines = Files.readAllLines(one.log());
			this.fleet.note(one.name + " ended by itself with exit code " + one.process.exitValue() + "; its log ends: "
					+ String.join(" | ", lines.subList(Math.max(0, lines.size() - 2), lines.size())));
		}
		this.fleet.note("queries served " + this.queriesServed + ", failed or refused " + this.queriesFailed
				+ "; lookups served " + this.lookupsServed + ", failed or refused " + this.lookupsFailed
				+ ", passed on to a sound worker and closed without an answer " + this.lost
				+ "; processes that ended by themselves " + gone.size());
		return (this.lost.get() > 3) ? 1 : 0;
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "client");
		thread.setDaemon(true);
		thread.start();
	}

	private void awaitTime(long millis) {
		while (this.fleet.millis() < millis && this.fleet.daemons.stream().allMatch((one) -> one.process.isAlive())) {
			Fleet.sleep(50);
		}
	}

	private void release() {
		double owed = 0;
		long last = this.fleet.millis();
		while (!this.ended) {
			Fleet.sleep(10);
			long now = this.fleet.millis();
			owed += (now - last) * QUERIES_PER_SECOND * this.factor / 1_000;
			last = now;
			this.due.release((int) owed);
			owed -= (int) owed;
		}
	}

	private void query(Fleet.Daemon daemon) {
		Fleet.Client channel = null;
		while (!this.ended) {
			this.due.acquireUninterruptibly();
			String id = "q" + this.requests.incrementAndGet();
			try {
				if (channel == null) {
					channel = new Fleet.Client(daemon.ip, daemon.callerPort);
				}
				Fleet.Answer answer = channel.send("GET", "/docs/find?id=" + id + "&text=" + this.query,
						"Host: a.example\nRequest-Id: " + id + "\nDeadline-Ms: 4000\nKey: " + Fleet.TENANT_KEY, new byte[0],
						6_000);
				(answer.status == 200 ? this.queriesServed : this.queriesFailed).incrementAndGet();
				if ("close".equalsIgnoreCase(answer.header("Connection"))) {
					channel.close();
					channel = null;
				}
			}
			catch (IOException ex) {
				channel = null;
				Fleet.sleep(300);
			}
		}
	}

	private void lookUp(Fleet.Daemon daemon) {
		Fleet.Client channel = null;
		while (!this.ended) {
			String id = "r" + this.requests.incrementAndGet();
			try {
				if (channel == null) {
					channel = new Fleet.Client(daemon.ip, daemon.callerPort);
				}
				Fleet.Answer answer = channel.send("GET", "/lookups/x", "Host: a.example\nRequest-Id: " + id
						+ "\nDeadline-Ms: 4000\nKey: " + Fleet.TENANT_KEY, new byte[0], 6_000);
				(answer.status == 200 ? this.lookupsServed : this.lookupsFailed).incrementAndGet();
				if ("close".equalsIgnoreCase(answer.header("Connection"))) {
					channel.close();
					channel = null;
				}
			}
			catch (IOException ex) {
				boolean isPassedOn = this.fleet.workers.stream().anyMatch((worker) -> worker.runs.containsKey(id));
				if (channel != null && isPassedOn && !this.ended) {
					this.lost.incrementAndGet();
					this.fleet.note("lookup " + id + " was passed on and its channel ended: " + ex.getMessage());
				}
				channel = null;
				Fleet.sleep(300);
			}
		}
	}

}
