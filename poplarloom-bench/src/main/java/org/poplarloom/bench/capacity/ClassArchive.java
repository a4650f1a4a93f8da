package org.poplarloom.bench.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;

import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.platform.Tables;
import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Writes the class data sharing archive of the daemon: two daemons serve requests of each
 * kind from stand-ins, and the Java virtual machine of the first one archives the classes
 * that it has loaded when it ends.
 * <p>
 * The archive is written where the command in {@code deploy/system.toml} reads it. This
 * class is not thread-safe.
 */
public final class ClassArchive {

	private static final String READ_FLAG = "-XX:SharedArchiveFile=";

	private static final String WRITE_FLAG = "-XX:ArchiveClassesAtExit=";

	private static final long READY_TIMEOUT_MILLIS = 60_000;

	private static final long POLL_INTERVAL_MILLIS = 200;

	/** Long enough for heartbeats, gossip and a change of configuration. */
	private static final long IDLE_MILLIS = 3_000;

	/** Engines fast enough to prefill a prompt that is larger than one engine. */
	private static final double PREFILL_TOKENS_PER_SECOND = 100_000_000;

	private static final double MILLIS_PER_MILLION_PAIRS = 0.0001;

	private static final String ZONE = "zone-a";

	private static final List<String> SEEDS = List.of("127.101.0.1:1", "127.101.0.2:1");

	private static final RelayProcess.Identity ARCHIVED = new RelayProcess.Identity("archived", ZONE, "127.101.0.1",
			SEEDS);

	private static final RelayProcess.Identity PEER = new RelayProcess.Identity("peer", ZONE, "127.101.0.2", SEEDS);

	private final StoreStandIn store;

	private ClassArchive(StoreStandIn store) {
		this.store = store;
	}

	/**
	 * Writes the archive.
	 */
	public static void write() {
		try (StoreStandIn store = new StoreStandIn();
				WorkerStandIn first = new WorkerStandIn("i-1");
				WorkerStandIn second = new WorkerStandIn("i-2");
				WorkerStandIn plain = new WorkerStandIn("i-3")) {
			new ClassArchive(store).run(first, second, plain);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void run(WorkerStandIn first, WorkerStandIn second, WorkerStandIn plain) throws IOException {
		Path directory = Files.createTempDirectory("class-archive");
		first.respondWith(WorkerStandIn.STREAM_OF_ONE_EVENT);
		second.respondWith(WorkerStandIn.STREAM_OF_ONE_EVENT);
		publish(first, "model", "ready");
		publish(second, "model", "ready");
		publish(plain, "app", "ready");
		RelayProcess archived = RelayProcess.start(ARCHIVED, this.store.address(), directory,
				(argument) -> argument.replace(READ_FLAG, WRITE_FLAG));
		putConfiguration(3);
		// While it is alone it is the home, whose classes it loads too.
		awaitReady(ARCHIVED);
		prompt(ARCHIVED, 2_000);
		RelayProcess peer = RelayProcess.start(PEER, this.store.address(), directory, UnaryOperator.identity());
		awaitReady(PEER);
		for (RelayProcess.Identity identity : List.of(ARCHIVED, PEER)) {
			request(identity, "GET /again/x");
			request(identity, "POST /once/x");
			request(identity, "GET /nowhere/x");
			prompt(identity, 2_000);
			prompt(identity, 300_000);
			prompt(identity, 450_000);
		}
		putConfiguration(4);
		publish(second, "model", "draining");
		this.store.put(Tables.OPERATORS, ConfigurationFormat.EVACUATION_KEY_PREFIX + ZONE, "{}");
		LocalSystem.sleep(IDLE_MILLIS);
		peer.stop();
		archived.stop();
	}

	private void publish(WorkerStandIn worker, String service, String state) {
		this.store.put(Tables.WORKERS, worker.id(), worker.entry(service, ZONE, state));
	}

	private void putConfiguration(int version) {
		this.store.put(Tables.OPERATORS, ConfigurationFormat.CONFIGURATION_KEY, CallerStandIn.configuration(version,
				"model", "app", PREFILL_TOKENS_PER_SECOND, MILLIS_PER_MILLION_PAIRS));
	}

	private static void awaitReady(RelayProcess.Identity identity) {
		long endMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
		while (!request(identity, "GET /again/x").startsWith("HTTP/1.1 200")) {
			if (System.currentTimeMillis() > endMillis) {
				throw new IllegalStateException(
						identity.name() + " serves no request after " + READY_TIMEOUT_MILLIS + " ms");
			}
			LocalSystem.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private static String request(RelayProcess.Identity identity, String methodAndPath) {
		try (CallerStandIn caller = new CallerStandIn(identity.callerAddress())) {
			caller.send(methodAndPath, "archive", "Connection: close\r\n", "");
			return caller.readAll();
		}
		catch (IOException ex) {
			return "";
		}
	}

	private static void prompt(RelayProcess.Identity identity, long tokens) throws IOException {
		try (CallerStandIn caller = new CallerStandIn(identity.callerAddress())) {
			caller.sendPrompt("/stream/x", "archive", tokens);
			caller.readAll();
		}
	}

}
