import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator gets no answer to a version and sends the next one, which the store
 * acknowledges. The store carries out the earlier write some seconds later, and all
 * processes are killed and start again.
 */
public final class Case13 {

	private static final long LATE_MILLIS = 4_000;

	private static final long CONFIG_MILLIS = 2_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final long OBSERVED_MILLIS = 12_000;

	private static final String WITHDRAWN_KEY = "k-withdrawn";

	private final Fleet fleet;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger oldService = new AtomicInteger();

	private final AtomicInteger withdrawnKey = new AtomicInteger();

	private final AtomicInteger newService = new AtomicInteger();

	private Case13(Fleet fleet) {
		this.fleet = fleet;
	}

	// From version 3 on the route leads to another service, and a key is gone.
	private static String config(int version) {
		boolean isNew = version >= 3;
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"pathPrefix\":\"/app/\","
				+ "\"kind\":\"non_idempotent\",\"timeoutMs\":" + (1_200 + version) + ",\"targetLatencyMs\":150,"
				+ "\"priority\":1,\"service\":\"" + (isNew ? "new" : "old") + "\",\"attempts\":1,\"public\":false}],"
				+ "\"services\":[{\"name\":\"old\",\"healthPath\":\"/healthz\",\"maxConns\":208},{\"name\":\"new\","
				+ "\"healthPath\":\"/healthz\",\"maxConns\":208}],\"limits\":{\"maxHeaderBytes\":16384,"
				+ "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team\","
				+ "\"apiKeys\":[\"" + Fleet.TENANT_KEY + "\"" + (isNew ? "" : ",\"" + WITHDRAWN_KEY + "\"")
				+ "],\"priority\":1}]}";
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

	private int run() throws Exception {
		this.fleet.store.put("keyed.op", "config", config(1));
		for (String service : new String[] { "old", "new" }) {
			for (int i = 0; i < 2; i++) {
				this.fleet.startWorker(service + "-" + i, service, "zone-" + "ab".charAt(i), 6).script = (worker, request,
						socket, out) -> Fleet.writeAnswer(request, out, worker.service);
			}
		}
		for (int i = 0; i < 4; i++) {
			this.fleet.startDaemon("edge-" + "ab".charAt(i % 2) + "-" + (i / 2 + 1), "zone-" + "ab".charAt(i % 2), "");
		}
		this.fleet.awaitReady();
		Fleet.sleep(5_000);
		if (Fleet.TROUBLE) {
			this.fleet.store.putLate("keyed.op", "config", config(2), LATE_MILLIS);
			this.fleet.note("version 2 gets no answer and is carried out " + LATE_MILLIS + " ms later");
		}
		Fleet.sleep(1_500);
		this.fleet.store.put("keyed.op", "config", config(3));
		long acknowledged = this.fleet.millis();
		this.fleet.note("version 3 is acknowledged");
		Fleet.sleep(CONFIG_MILLIS);
		probe("before the kill", acknowledged, 500);
		Fleet.sleep(LATE_MILLIS);
		this.fleet.note("all processes are killed and start again");
		for (Fleet.Daemon daemon : this.fleet.daemons) {
			daemon.process.destroyForcibly();
		}
		for (Fleet.Daemon daemon : this.fleet.daemons) {
			daemon.process.waitFor();
		}
		Fleet.sleep(1_400);
		for (Fleet.Daemon daemon : this.fleet.daemons) {
			daemon.start();
		}
		this.fleet.awaitReady();
		Fleet.sleep(CONTACT_MILLIS + 1_000);
		this.oldService.set(0);
		this.newService.set(0);
		this.withdrawnKey.set(0);
		probe("after the start", acknowledged, OBSERVED_MILLIS);
		this.fleet.note("sent over " + (CONTACT_MILLIS + 1_000) + " ms after all machines were ready: run by the new service "
				+ this.newService + ", by the old one " + this.oldService + ", with the withdrawn key " + this.withdrawnKey);
		return (this.oldService.get() > 0 || this.withdrawnKey.get() > 0) ? 1 : 0;
	}

	private void probe(String when, long acknowledged, long durationMillis) throws IOException {
		long end = this.fleet.millis() + durationMillis;
		while (this.fleet.millis() < end) {
			for (Fleet.Daemon daemon : this.fleet.daemons) {
				Fleet.Answer answer = send(daemon, Fleet.TENANT_KEY);
				this.newService.addAndGet(answer.body.equals("new") ? 1 : 0);
				this.oldService.addAndGet(answer.body.equals("old") ? 1 : 0);
				Fleet.Answer withdrawn = send(daemon, WITHDRAWN_KEY);
				this.withdrawnKey.addAndGet((withdrawn.status == 200) ? 1 : 0);
				this.fleet.note(when + ", " + (this.fleet.millis() - acknowledged) + " ms after the answer, " + daemon.name
						+ ": " + answer.status + " " + answer.body.trim() + ", with the withdrawn key " + withdrawn.status);
			}
			Fleet.sleep(500);
		}
	}

	private Fleet.Answer send(Fleet.Daemon daemon, String key) throws IOException {
		try (Fleet.Client channel = new Fleet.Client(daemon.ip, daemon.callerPort)) {
			return channel.send("POST", "/app/x", "Host: a.example\nRequest-Id: r" + this.requests.incrementAndGet()
					+ "\nDeadline-Ms: 1200\nKey: " + key, new byte[0], 4_000);
		}
	}

}
