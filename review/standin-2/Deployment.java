package org.poplarloom.review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;

/**
 * Six daemons in three zones, each on its own loopback address, and callers of each that
 * send orders. This class is not thread-safe; the callers run on threads of their own.
 */
final class Deployment {

	static final List<String> ZONES = List.of("norte-a", "norte-b", "norte-c");

	private static final int DAEMONS_PER_ZONE = 2;

	private static final int CALLERS_PER_DAEMON = 8;

	private static final int BUDGET_SLACK = 100;

	private static final double MAX_START_SECONDS = 40;

	/** Longer than the timeout of a route. */
	private static final long LAST_ANSWERS_MILLIS = 2_500;

	private final Record record;

	private final Path directory;

	private final List<Daemon> daemons = new ArrayList<>();

	private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

	/** When each request was sent. */
	private final Map<String, Double> sentSeconds = new ConcurrentHashMap<>();

	/** When a machine first passed on that a worker leaves, by the prefix of its requests. */
	private final Map<String, Double> noticeSeconds = new ConcurrentHashMap<>();

	private volatile boolean stopping;

	private Deployment(Record record) throws IOException {
		this.record = record;
		this.directory = Files.createTempDirectory("poplarloom-review");
	}

	static Deployment start(StoreStandIn store, Record record) throws IOException {
		Deployment deployment = new Deployment(record);
		Random random = new Random();
		String network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
		for (int zone = 0; zone < ZONES.size(); zone++) {
			for (int i = 1; i <= DAEMONS_PER_ZONE; i++) {
				Daemon daemon = new Daemon(deployment.directory, "edge-" + ZONES.get(zone) + "-" + i, ZONES.get(zone),
						network + "." + (10 * zone + i), store.address(),
						network + ".1:8229," + network + ".11:8229," + network + ".21:8229", BUDGET_SLACK);
				daemon.start();
				deployment.daemons.add(daemon);
			}
		}
		return deployment;
	}

	boolean awaitServing() {
		double end = this.record.seconds() + MAX_START_SECONDS;
		for (Daemon daemon : this.daemons) {
			while (!exchange(daemon.callerAddress(), "start").startsWith("HTTP/1.1 200")) {
				if (this.record.seconds() > end) {
					this.record.write("%s does not serve", daemon.name());
					return false;
				}
				Worker.pause(100);
			}
		}
		return true;
	}

	List<Daemon> daemons() {
		return this.daemons;
	}

	void startCallers() {
		for (Daemon daemon : this.daemons) {
			for (int i = 0; i < CALLERS_PER_DAEMON; i++) {
				String prefix = daemon.name().substring("edge-norte-".length()) + "." + i;
				Thread caller = new Thread(() -> call(daemon, prefix));
				caller.setDaemon(true);
				caller.start();
			}
		}
	}

	private void call(Daemon daemon, String prefix) {
		Random random = new Random(prefix.hashCode());
		for (int i = 0; !this.stopping; i++) {
			String id = prefix + "." + i;
			this.sentSeconds.put(id, this.record.seconds());
			this.record.write("%s is sent %s", daemon.name(), id);
			String answer = exchange(daemon.callerAddress(), id);
			String status = answer.isEmpty() ? "none" : answer.split(" ")[1];
			boolean isNotice = answer.contains("Server-Leaving: 1");
			this.record.write("%s is answered %s%s", id, status, isNotice ? ", Server-Leaving" : "");
			if (isNotice && this.noticeSeconds.putIfAbsent(machineOf(id), this.record.seconds()) == null) {
				this.record.write("%s has passed on for the first time that the worker leaves", daemon.name());
			}
			this.answers.computeIfAbsent(status, (key) -> new AtomicInteger()).incrementAndGet();
			Worker.pause(50 + random.nextInt(50));
		}
	}

	private static String machineOf(String id) {
		return id.substring(0, id.indexOf('.'));
	}

	/**
	 * Returns whether a client sent a request to a machine so long after that machine had
	 * passed on that the worker leaves.
	 */
	boolean isSentAfterNotice(String id, double seconds) {
		Double sent = this.sentSeconds.get(id);
		Double notice = (sent != null) ? this.noticeSeconds.get(machineOf(id)) : null;
		return notice != null && sent > notice + seconds;
	}

	private static String exchange(String address, String id) {
		try (CallerStandIn caller = new CallerStandIn(address)) {
			caller.send("POST /once/x", id, "Connection: close\r\nDeadline-Ms: 2500\r\n", "{}");
			return caller.readAll();
		}
		catch (IOException ex) {
			return "";
		}
	}

	/** Ends the callers and then the daemons, and removes their files. */
	void stop() throws IOException, InterruptedException {
		this.stopping = true;
		Worker.pause(LAST_ANSWERS_MILLIS);
		for (Daemon daemon : this.daemons) {
			daemon.kill();
			daemon.removeFiles();
		}
		Files.delete(this.directory);
		this.record.write("answers: %s", new TreeMap<>(this.answers));
	}

}
