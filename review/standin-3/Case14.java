import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of two machines is partitioned from all workers for some seconds, more than once.
 * It passes its requests on to the other machine, which keeps their bodies after their
 * end.
 */
public final class Case14 {

	private static final int BODY_BYTES = 1024 * 1024;

	private static final int WORK_MILLIS = 500;

	private static final long CUT_MILLIS = 5_500;

	private static final long[] CUTS_AT = { 8_000, 22_000, 36_000, 50_000 };

	private static final long END_AT = 66_000;

	private static final int USERS_AT_CUT_MACHINE = 8;

	private static final int USERS_AT_OTHER_MACHINE = 32;

	private static final int USERS_AT_OTHER_MACHINE_IN_CUT = 18;

	private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"docs\",\"host\":\"a.example\","
			+ "\"pathPrefix\":\"/docs/\",\"kind\":\"idempotent\",\"timeoutMs\":8000,\"targetLatencyMs\":3000,"
			+ "\"priority\":1,\"service\":\"docs\",\"attempts\":2,\"public\":false}],"
			+ "\"services\":[{\"name\":\"docs\",\"healthPath\":\"/healthz\",\"maxConns\":400,\"coldPeriodS\":0.0,"
			+ "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
			+ "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\""
			+ Fleet.TENANT_KEY + "\"],\"priority\":1}]}";

	private final Fleet fleet;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private final byte[] body = new byte[BODY_BYTES];

	private volatile boolean isCut;

	private volatile boolean ended;

	private Case14(Fleet fleet) {
		this.fleet = fleet;
		new Random(14).nextBytes(this.body);
	}

	public static void main(String[] arguments) throws Exception {
		try (Fleet fleet = new Fleet(arguments[0])) {
			System.exit(new Case14(fleet).run());
		}
		catch (IOException ex) {
			System.err.println("could not run: " + ex);
			System.exit(2);
		}
	}

	private int run() throws IOException {
		this.fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < 4; i++) {
			this.fleet.startWorker("w" + i, "docs", "zone-a", 16).script = (worker, request, socket, out) -> {
				Fleet.sleep(WORK_MILLIS);
				Fleet.writeAnswer(request, out, "done");
			};
		}
		Fleet.Daemon cut = this.fleet.startDaemon("edge-a-1", "zone-a", "");
		Fleet.Daemon other = this.fleet.startDaemon("edge-a-2", "zone-a", "");
		this.fleet.awaitReady();
		Fleet.sleep(4_000);
		for (int i = 0; i < USERS_AT_CUT_MACHINE + USERS_AT_OTHER_MACHINE; i++) {
			boolean isAtCut = i < USERS_AT_CUT_MACHINE;
			boolean restsInCut = i >= USERS_AT_CUT_MACHINE + USERS_AT_OTHER_MACHINE_IN_CUT;
			Thread user = new Thread(() -> use(isAtCut ? cut : other, restsInCut), "user");
			user.setDaemon(true);
			user.start();
		}
		long start = this.fleet.millis();
		for (long at : CUTS_AT) {
			awaitTime(start + at);
			if (Fleet.TROUBLE && other.process.isAlive()) {
				cut(cut);
			}
		}
		awaitTime(start + END_AT);
		Fleet.sleep(500);
		this.ended = true;
		List<Fleet.Daemon> gone = this.fleet.daemons.stream().filter((daemon) -> !daemon.process.isAlive()).toList();
		for (Fleet.Daemon daemon : gone) {
			List<String> lines = Files.readAllLines(daemon.log());
			this.fleet.note(daemon.name + " ended by itself with exit code " + daemon.process.exitValue()
					+ "; its log ends: " + String.join(" | ", lines.subList(Math.max(0, lines.size() - 2), lines.size())));
		}
		this.fleet.note("requests " + this.requests + ", served " + this.served + ", failed or refused " + this.failed
				+ ", passed on to a sound worker and closed without an answer " + this.lost
				+ ", processes that ended by themselves " + gone.size());
		return (this.lost.get() > 3) ? 1 : 0;
	}

	private void awaitTime(long millis) {
		while (this.fleet.millis() < millis && this.fleet.daemons.stream().allMatch((daemon) -> daemon.process.isAlive())) {
			Fleet.sleep(50);
		}
	}

	private void cut(Fleet.Daemon daemon) throws IOException {
		this.isCut = true;
		Fleet.sleep(WORK_MILLIS + 300);
		int channels = 0;
		for (Fleet.Worker worker : this.fleet.workers) {
			worker.closePort();
			channels += worker.reset(daemon);
		}
		this.fleet.note(daemon.name + " is partitioned from all workers, " + channels + " channels are reset");
		long end = this.fleet.millis() + CUT_MILLIS;
		while (this.fleet.millis() < end) {
			Fleet.sleep(50);
		}
		for (Fleet.Worker worker : this.fleet.workers) {
			worker.openPort();
		}
		this.isCut = false;
		this.fleet.note("the partition has ended; served so far " + this.served + ", failed or refused " + this.failed);
	}

	private void use(Fleet.Daemon daemon, boolean restsInCut) {
		Fleet.Client channel = null;
		while (!this.ended) {
			if (restsInCut && this.isCut) {
				Fleet.sleep(50);
				continue;
			}
			String id = "r" + this.requests.incrementAndGet();
			try {
				if (channel == null) {
					channel = new Fleet.Client(daemon.ip, daemon.callerPort);
				}
				Fleet.Answer answer = channel.send("POST", "/docs/x", "Host: a.example\nRequest-Id: " + id
						+ "\nDeadline-Ms: 8000\nKey: " + Fleet.TENANT_KEY, this.body, 10_000);
				if (answer.status == 200) {
					this.served.incrementAndGet();
				}
				else {
					this.failed.incrementAndGet();
					String retryAfter = answer.header("Retry-After");
					Fleet.sleep(retryAfter.isEmpty() ? 500 : (long) (1_000 * Double.parseDouble(retryAfter)));
				}
				if ("close".equalsIgnoreCase(answer.header("Connection"))) {
					channel.close();
					channel = null;
				}
			}
			catch (IOException ex) {
				recordEnd(id, daemon, channel, ex);
				channel = null;
				Fleet.sleep(300);
			}
		}
	}

	private void recordEnd(String id, Fleet.Daemon daemon, Fleet.Client channel, IOException cause) {
		boolean isPassedOn = this.fleet.workers.stream().anyMatch((worker) -> worker.runs.containsKey(id));
		if (channel != null && isPassedOn && !this.ended) {
			this.lost.incrementAndGet();
			this.fleet.note("request " + id + " was passed on by " + daemon.name + " and its channel ended: "
					+ cause.getMessage() + (this.isCut ? ", during the partition" : ""));
		}
	}

}
