import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Machines get SIGTERM in turn while clients keep many channels and open and close others.
 * Now and then one of them ends at once instead of completing the requests in progress.
 */
public final class Case11 {

	private static final int MACHINES = 3;

	private static final long LAST_STOP_MILLIS = 98_000;

	private static final int KEPT_CHANNELS = 640;

	private static final int NEW_CHANNEL_CLIENTS = 40;

	private static final long CROWD_LEAD_MILLIS = 800;

	private static final int SLOW_CLIENTS = 12;

	private static final int SLOW_WORK_MILLIS = 1_500;

	private static final int QUICK_WORK_MILLIS = 10;

	/** The platform offers no new channels after two checks of readiness, one a second. */
	private static final long NEW_CHANNELS_AFTER_STOP_MILLIS = 1_500;

	private static final long GRACE_MILLIS = 8_000;

	private static final String CONFIG = "{\"version\":1,\"routes\":[" + route("slow") + "," + route("quick")
			+ "],\"services\":[" + service("slow") + "," + service("quick")
			+ "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
			+ "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"team\",\"apiKeys\":[\"" + Fleet.TENANT_KEY
			+ "\"],\"priority\":1}]}";

	private final Fleet fleet;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger stops = new AtomicInteger();

	private final AtomicInteger stopsThatCut = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	/** One machine at a time is stopped and started again. */
	private final ReentrantLock turn = new ReentrantLock(true);

	private Case11(Fleet fleet) {
		this.fleet = fleet;
	}

	private static String route(String name) {
		return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"pathPrefix\":\"/" + name
				+ "/\",\"kind\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":2000,\"priority\":1,"
				+ "\"service\":\"" + name + "\",\"attempts\":1,\"public\":false}";
	}

	private static String service(String name) {
		return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":900,\"coldPeriodS\":0.0,"
				+ "\"coldPerS\":0.0}";
	}

	public static void main(String[] arguments) throws Exception {
		try (Fleet fleet = new Fleet(arguments[0])) {
			System.exit(new Case11(fleet).run());
		}
		catch (IOException ex) {
			System.err.println("could not run: " + ex);
			System.exit(2);
		}
	}

	private int run() throws Exception {
		this.fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < 2; i++) {
			startWorker("s" + i, "slow", SLOW_WORK_MILLIS);
			startWorker("q" + i, "quick", QUICK_WORK_MILLIS);
		}
		for (int i = 0; i < MACHINES; i++) {
			this.fleet.startDaemon("edge-a-" + (i + 1), "zone-a", "");
		}
		this.fleet.awaitReady();
		Fleet.sleep(3_000);
		List<Thread> machines = new ArrayList<>();
		for (Fleet.Daemon daemon : this.fleet.daemons) {
			Machine machine = new Machine(daemon);
			Thread thread = new Thread(machine::run, daemon.name);
			thread.start();
			machines.add(thread);
		}
		for (Thread machine : machines) {
			machine.join(Math.max(1, LAST_STOP_MILLIS + 12_000 - this.fleet.millis()));
		}
		this.fleet.note("requests " + this.requests + ", served " + this.served + ", stops " + this.stops
				+ ", stops that cut requests at sound workers " + this.stopsThatCut + ", requests passed on and cut "
				+ this.cut);
		return (this.cut.get() > 0) ? 1 : 0;
	}

	private void startWorker(String id, String service, int workMillis) throws IOException {
		this.fleet.startWorker(id, service, "zone-a", 128).script = (worker, request, socket, out) -> {
			Fleet.sleep(workMillis);
			Fleet.writeAnswer(request, out, "done");
		};
	}

	private static Thread startThread(Runnable task) {
		Thread thread = new Thread(task, "client");
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private static String head(String id) {
		return "Host: a.example\nRequest-Id: " + id + "\nDeadline-Ms: 5000\nKey: " + Fleet.TENANT_KEY;
	}

	/**
	 * A machine with its clients.
	 */
	private final class Machine {

		private final Fleet.Daemon daemon;

		private final AtomicInteger newChannels = new AtomicInteger();

		private final AtomicInteger cutInLife = new AtomicInteger();

		private volatile boolean admits = true;

		/** Many users come at once to the machine that is stopped next. */
		private volatile boolean isCrowded;

		private volatile boolean isStopping;

		private volatile long stopMillis;

		Machine(Fleet.Daemon daemon) {
			this.daemon = daemon;
		}

		void run() {
			for (int i = 0; i < SLOW_CLIENTS; i++) {
				startThread(() -> use("/slow/x", true));
			}
			for (int i = 0; i < NEW_CHANNEL_CLIENTS; i++) {
				startThread(() -> use("/quick/x", false));
			}
			try {
				while (Case11.this.fleet.millis() < LAST_STOP_MILLIS) {
					stopInTurn();
				}
			}
			catch (IOException | InterruptedException ex) {
				Case11.this.fleet.note(this.daemon.name + " is given up: " + ex);
			}
			this.admits = false;
		}

		private void stopInTurn() throws IOException, InterruptedException {
			Fleet.sleep(1_500);
			Case11.this.turn.lock();
			try {
				if (Case11.this.fleet.millis() >= LAST_STOP_MILLIS) {
					return;
				}
				List<Fleet.Client> kept = openChannels();
				this.isCrowded = true;
				Fleet.sleep(CROWD_LEAD_MILLIS);
				if (Fleet.TROUBLE) {
					stop(kept.size());
				}
				else {
					Fleet.sleep(3_000);
				}
				for (Fleet.Client channel : kept) {
					channel.close();
				}
			}
			finally {
				this.isCrowded = false;
				Case11.this.turn.unlock();
			}
			awaitReady();
		}

		private void stop(int keptChannels) throws IOException, InterruptedException {
			int channelsBefore = this.newChannels.getAndSet(0);
			this.cutInLife.set(0);
			this.stopMillis = Case11.this.fleet.millis();
			this.isStopping = true;
			this.daemon.signal("TERM");
			long newChannelsEnd = this.stopMillis + NEW_CHANNELS_AFTER_STOP_MILLIS;
			boolean hasEnded = false;
			while (!hasEnded && Case11.this.fleet.millis() < this.stopMillis + GRACE_MILLIS) {
				hasEnded = this.daemon.process.waitFor(20, TimeUnit.MILLISECONDS);
				this.admits &= !hasEnded && Case11.this.fleet.millis() < newChannelsEnd;
			}
			long tookMillis = Case11.this.fleet.millis() - this.stopMillis;
			this.admits = false;
			if (!hasEnded) {
				this.daemon.signal("KILL");
				this.daemon.process.waitFor();
			}
			Fleet.sleep(300);
			int lost = this.cutInLife.get();
			Case11.this.stops.incrementAndGet();
			Case11.this.stopsThatCut.addAndGet((lost > 0) ? 1 : 0);
			Case11.this.cut.addAndGet(lost);
			Case11.this.fleet.note(this.daemon.name + " ended after " + tookMillis + " ms; " + keptChannels
					+ " channels kept, " + channelsBefore + " others in this life; requests that were passed on and cut "
					+ lost);
			List<String> trace = Files.readAllLines(this.daemon.log())
				.stream()
				.filter((line) -> line.startsWith("Exception in thread"))
				.toList();
			if (!trace.isEmpty()) {
				Case11.this.fleet.note("the log of " + this.daemon.name + ": " + trace.get(0));
			}
			this.isCrowded = false;
			this.daemon.start();
		}

		private void awaitReady() {
			long end = Case11.this.fleet.millis() + 10_000;
			while (!this.daemon.isReady() && Case11.this.fleet.millis() < end) {
				Fleet.sleep(50);
			}
			this.isStopping = false;
			this.admits = true;
		}

		private List<Fleet.Client> openChannels() throws InterruptedException {
			List<Fleet.Client> kept = Collections.synchronizedList(new ArrayList<>());
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < 32; i++) {
				threads.add(startThread(() -> {
					for (int k = 0; k < KEPT_CHANNELS / 32; k++) {
						try {
							Fleet.Client channel = new Fleet.Client(this.daemon.ip, this.daemon.callerPort);
							kept.add(channel);
							channel.send("POST", "/quick/x", head("k" + Case11.this.requests.incrementAndGet()), new byte[0],
									3_000);
						}
						catch (IOException ex) {
							Case11.this.fleet.note("a kept channel could not be used: " + ex.getMessage());
						}
					}
				}));
			}
			for (Thread thread : threads) {
				thread.join();
			}
			return kept;
		}

		private void use(String target, boolean keepsChannel) {
			Fleet.Client channel = null;
			while (true) {
				if (!this.admits || (!keepsChannel && !this.isCrowded)) {
					channel = null;
					Fleet.sleep(20);
					continue;
				}
				String id = "r" + Case11.this.requests.incrementAndGet();
				long sentMillis = Case11.this.fleet.millis();
				try {
					if (channel == null) {
						channel = new Fleet.Client(this.daemon.ip, this.daemon.callerPort);
						this.newChannels.incrementAndGet();
					}
					Fleet.Answer answer = channel.send("POST", target, head(id), new byte[0], 8_000);
					if (answer.status == 200) {
						Case11.this.served.incrementAndGet();
					}
					if (!keepsChannel || "close".equalsIgnoreCase(answer.header("Connection"))) {
						channel.close();
						channel = null;
					}
				}
				catch (IOException ex) {
					recordEnd(id, target, sentMillis, ex);
					channel = null;
					Fleet.sleep(100);
				}
			}
		}

		private void recordEnd(String id, String target, long sentMillis, IOException cause) {
			boolean isPassedOn = Case11.this.fleet.workers.stream().anyMatch((worker) -> worker.runs.containsKey(id));
			if (isPassedOn && this.isStopping) {
				this.cutInLife.incrementAndGet();
				Case11.this.fleet.note("request " + id + " for " + target + ", sent " + (sentMillis - this.stopMillis)
						+ " ms after SIGTERM, was passed on by " + this.daemon.name + " and its channel ended: "
						+ cause.getMessage());
			}
		}

	}

}
