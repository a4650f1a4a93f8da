import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The workers of one service turn requests away for some seconds with 503 and Retry-After.
 * A machine refuses further requests for this service at once, and each channel that stays
 * open keeps the body of the request that was refused on it.
 */
public final class Case12 {

	private static final int BODY_BYTES = 2 * 1024 * 1024;

	private static final long ARRIVALS_AT = 6_000;

	private static final long TURNED_AWAY_MILLIS = 9_000;

	private static final String RETRY_AFTER_SECONDS = "3";

	/** Clients with long documents, which arrive one after the other. */
	private static final int DOCUMENT_CLIENTS = 48;

	private static final long ARRIVAL_GAP_MILLIS = 100;

	private static final long END_AT = 20_000;

	private static final int LOOKUP_CLIENTS = 12;

	private static final int LOOKUP_WORK_MILLIS = 1_000;

	/** A control: the refused bodies end with the channels. */
	private static final boolean CLOSES_CHANNELS = "1".equals(System.getenv("CLOSE_REFUSED"));

	private static final String CONFIG = "{\"version\":1,\"routes\":[" + route("docs", 10_000) + ","
			+ route("lookups", 4_000) + "],\"services\":[" + service("docs") + "," + service("lookups")
			+ "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
			+ "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"" + Fleet.TENANT_KEY
			+ "\"],\"priority\":1}]}";

	private final Fleet fleet;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger documentsServed = new AtomicInteger();

	private final AtomicInteger documentsRefused = new AtomicInteger();

	private final AtomicInteger lookupsServed = new AtomicInteger();

	private final AtomicInteger lookupsFailed = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	/** Channels that clients keep for further requests. */
	private final List<Fleet.Client> kept = Collections.synchronizedList(new ArrayList<>());

	private final byte[] body = new byte[BODY_BYTES];

	private volatile boolean turnsAway;

	private volatile boolean ended;

	private Case12(Fleet fleet) {
		this.fleet = fleet;
		new Random(12).nextBytes(this.body);
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
			System.exit(new Case12(fleet).run());
		}
		catch (IOException ex) {
			System.err.println("could not run: " + ex);
			System.exit(2);
		}
	}

	private int run() throws IOException {
		this.fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < 2; i++) {
			this.fleet.startWorker("d" + i, "docs", "zone-a", 16).script = (worker, request, socket, out) -> {
				if (this.turnsAway) {
					worker.runs.remove(request.header("Request-Id"));
					Fleet.turnAway(request, out, RETRY_AFTER_SECONDS);
					return;
				}
				Fleet.sleep(300);
				Fleet.writeAnswer(request, out, "done");
			};
			this.fleet.startWorker("l" + i, "lookups", "zone-a", 16).script = (worker, request, socket, out) -> {
				Fleet.sleep(LOOKUP_WORK_MILLIS);
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
		awaitTime(start + ARRIVALS_AT);
		if (Fleet.TROUBLE) {
			this.turnsAway = true;
			this.fleet.note("the workers of the service docs turn requests away, Retry-After " + RETRY_AFTER_SECONDS);
		}
		for (int i = 0; i < DOCUMENT_CLIENTS; i++) {
			startThread(() -> sendDocument(daemon));
			Fleet.sleep(ARRIVAL_GAP_MILLIS);
		}
		awaitTime(start + ARRIVALS_AT + TURNED_AWAY_MILLIS);
		this.turnsAway = false;
		this.fleet.note("documents served " + this.documentsServed + ", refused " + this.documentsRefused
				+ "; the workers of docs take requests");
		awaitTime(start + END_AT);
		Fleet.sleep(500);
		this.ended = true;
		List<Fleet.Daemon> gone = this.fleet.daemons.stream().filter((one) -> !one.process.isAlive()).toList();
		for (Fleet.Daemon one : gone) {
			List<String> lines = Files.readAllLines(one.log());
			this.fleet.note(one.name + " ended by itself with exit code " + one.process.exitValue() + "; its log ends: "
					+ String.join(" | ", lines.subList(Math.max(0, lines.size() - 2), lines.size())));
		}
		this.fleet.note("documents served " + this.documentsServed + ", refused " + this.documentsRefused
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

	// After a refusal the client waits as it was told and tries again on a new channel.
	// It keeps both channels for later requests.
	private void sendDocument(Fleet.Daemon daemon) {
		for (int attempt = 0; attempt < 2 && !this.ended; attempt++) {
			String id = "r" + this.requests.incrementAndGet();
			try {
				Fleet.Client channel = new Fleet.Client(daemon.ip, daemon.callerPort);
				this.kept.add(channel);
				Fleet.Answer answer = channel.send("POST", "/docs/x", "Host: a.example\nRequest-Id: " + id
						+ "\nDeadline-Ms: 10000\nKey: " + Fleet.TENANT_KEY, this.body, 12_000);
				if (answer.status == 200) {
					this.documentsServed.incrementAndGet();
					return;
				}
				this.documentsRefused.incrementAndGet();
				if (CLOSES_CHANNELS) {
					channel.close();
				}
				String retryAfter = answer.header("Retry-After");
				Fleet.sleep(retryAfter.isEmpty() ? 500 : Math.min(3_300, (long) (1_000 * Double.parseDouble(retryAfter))));
			}
			catch (IOException ex) {
				this.fleet.note("document " + id + " got no answer: " + ex.getMessage());
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
