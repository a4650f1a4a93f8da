import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two machines is partitioned from all workers: its channels to them are reset, and
 * new ones too, right after they have been opened. The other machine reaches the workers.
 */
public final class Case15 {

	private static final long CUT_MILLIS = 12_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final int CLIENTS_PER_MACHINE = 6;

	private static final int WORK_MILLIS = 43;

	private static final int PAUSE_MILLIS = 150;

	private static final String CONFIG = "{\"version\":1,\"routes\":[" + route("orders", "non_idempotent", 1) + ","
			+ route("lookups", "idempotent", 2) + "],\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\","
			+ "\"maxConns\":208,\"coldPeriodS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
			+ "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team\","
			+ "\"apiKeys\":[\"" + Fleet.TENANT_KEY + "\"],\"priority\":1}]}";

	private final Fleet fleet;

	private final AtomicInteger requests = new AtomicInteger();

	private volatile Fleet.Daemon cutMachine;

	private volatile boolean isCounted;

	private volatile boolean ended;

	private final AtomicInteger cutTries = new AtomicInteger();

	private final AtomicInteger cutServed = new AtomicInteger();

	private final AtomicInteger otherTries = new AtomicInteger();

	private final AtomicInteger otherServed = new AtomicInteger();

	private Case15(Fleet fleet) {
		this.fleet = fleet;
	}

	private static String route(String name, String kind, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\"" + kind
				+ "\",\"timeoutMs\":1200,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"app\",\"attempts\":" + attempts
				+ ",\"public\":false}";
	}

	public static void main(String[] arguments) throws Exception {
		try (Fleet fleet = new Fleet(arguments[0])) {
			System.exit(new Case15(fleet).run());
		}
		catch (IOException ex) {
			System.err.println("could not run: " + ex);
			System.exit(2);
		}
	}

	private int run() throws IOException {
		this.fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < 6; i++) {
			this.fleet.startWorker("w" + i, "app", "zone-" + "abc".charAt(i % 3), 6).script = (worker, request, socket,
					out) -> {
				Fleet.sleep(WORK_MILLIS);
				Fleet.writeAnswer(request, out, "done");
			};
		}
		for (int i = 0; i < 6; i++) {
			this.fleet.startDaemon("edge-" + "abc".charAt(i % 3) + "-" + (i / 3 + 1), "zone-" + "abc".charAt(i % 3), "");
		}
		this.fleet.awaitReady();
		Fleet.sleep(5_000);
		Fleet.Daemon cut = this.fleet.daemons.get(0);
		for (Fleet.Daemon daemon : this.fleet.daemons) {
			for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
				String target = (i % 2 == 0) ? "orders" : "lookups";
				Thread client = new Thread(() -> use(daemon, daemon == cut, target), "client");
				client.setDaemon(true);
				client.start();
			}
		}
		Fleet.sleep(4_000);
		if (Fleet.TROUBLE) {
			this.cutMachine = cut;
			this.fleet.workers.forEach((worker) -> worker.refused = cut);
			int channels = 0;
			for (Fleet.Worker worker : this.fleet.workers) {
				channels += worker.reset(cut);
			}
			this.fleet.note(cut.name + " is partitioned from all workers, " + channels + " channels are reset");
		}
		Fleet.sleep(CONTACT_MILLIS);
		this.isCounted = true;
		Fleet.sleep(CUT_MILLIS - CONTACT_MILLIS);
		this.isCounted = false;
		Fleet.sleep(1_500);
		this.fleet.workers.forEach((worker) -> worker.refused = null);
		this.fleet.note("the partition has ended");
		this.ended = true;
		double shareCut = (double) this.cutServed.get() / Math.max(1, this.cutTries.get());
		double shareOther = (double) this.otherServed.get() / Math.max(1, this.otherTries.get());
		int failed = this.cutTries.get() - this.cutServed.get();
		double bound = 10 + (this.cutTries.get() + this.otherTries.get()) / 50.0;
		this.fleet.note("first tries from " + CONTACT_MILLIS + " ms after the cut on: at " + cut.name + " " + this.cutServed
				+ " of " + this.cutTries + " served, at the others " + this.otherServed + " of " + this.otherTries
				+ "; failed there " + failed + ", bound " + bound);
		return (shareCut < shareOther * 2 / 3 && failed > bound) ? 1 : 0;
	}

	private void use(Fleet.Daemon daemon, boolean isAtCut, String target) {
		Fleet.Client channel = null;
		while (!this.ended) {
			String id = "r" + this.requests.incrementAndGet();
			boolean counts = this.isCounted;
			boolean isServed = false;
			try {
				if (channel == null) {
					channel = new Fleet.Client(daemon.ip, daemon.callerPort);
				}
				Fleet.Answer answer = channel.send("POST", "/" + target + "/x", "Host: a.example\nRequest-Id: " + id
						+ "\nDeadline-Ms: 2500\nKey: " + Fleet.TENANT_KEY, new byte[0], 4_000);
				isServed = answer.status == 200;
				if ("close".equalsIgnoreCase(answer.header("Connection"))) {
					channel.close();
					channel = null;
				}
			}
			catch (IOException ex) {
				channel = null;
			}
			if (counts) {
				(isAtCut ? this.cutTries : this.otherTries).incrementAndGet();
				if (isServed) {
					(isAtCut ? this.cutServed : this.otherServed).incrementAndGet();
				}
			}
			Fleet.sleep(PAUSE_MILLIS);
		}
	}

}
