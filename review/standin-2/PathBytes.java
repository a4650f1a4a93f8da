package org.poplarloom.review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;

/**
 * Callers send orders whose path and query name places in Spanish, as UTF-8 bytes or, without
 * the trouble, percent-encoded.
 */
public final class PathBytes {

	private static final int ORDERS_PER_DAEMON = 5;

	private static final long WORK_MILLIS = 20;

	private PathBytes() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
		int exitCode = 2;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			exitCode = run(record, hasTrouble);
			record.write("exit %d", exitCode);
		}
		finally {
			System.exit(exitCode);
		}
	}

	private static int run(Record record, boolean hasTrouble) throws Exception {
		StoreStandIn store = new StoreStandIn(500);
		store.put("keyed.op", "config", CallerStandIn.configuration(3, "model", "app"));
		List<Worker> workers = new ArrayList<>();
		for (String zone : Deployment.ZONES) {
			Worker worker = new Worker(record, store, "i-" + zone.substring("norte-".length()), zone, WORK_MILLIS, 0);
			worker.start(0);
			workers.add(worker);
		}
		Deployment deployment = Deployment.start(store, record);
		if (!deployment.awaitServing()) {
			return 2;
		}
		String target = hasTrouble ? bytesOf("/once/Gij\u00f3n?turno=ma\u00f1ana")
				: "/once/Gij%C3%B3n?turno=ma%C3%B1ana";
		Map<String, String> sent = new LinkedHashMap<>();
		for (Daemon daemon : deployment.daemons()) {
			for (int i = 0; i < ORDERS_PER_DAEMON; i++) {
				String id = daemon.name() + "." + i;
				String requestLine = "POST " + target + " HTTP/1.1";
				sent.put(id, requestLine);
				record.write("%s is sent %s: %s", daemon.name(), id, escaped(requestLine));
				record.write("%s is answered %s", id, exchange(daemon.callerAddress(), requestLine, id));
			}
		}
		deployment.stop();
		int changed = 0;
		for (Worker worker : workers) {
			for (Map.Entry<String, String> run : worker.requestLines().entrySet()) {
				if (sent.containsKey(run.getKey()) && !sent.get(run.getKey()).equals(run.getValue())) {
					changed++;
					record.write("worker %s has run %s: %s", worker.id(), run.getKey(), escaped(run.getValue()));
				}
			}
		}
		record.write("orders that a worker ran with another path or query: %d of %d", changed, sent.size());
		return (changed > 0) ? 1 : 0;
	}

	// One character for each byte.
	private static String bytesOf(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	private static String escaped(String bytes) {
		StringBuilder text = new StringBuilder();
		for (char next : bytes.toCharArray()) {
			text.append((next < 0x7f) ? String.valueOf(next) : "\\x" + Integer.toHexString(next));
		}
		return text.toString();
	}

	private static String exchange(String address, String requestLine, String id) {
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)))) {
			String request = requestLine + "\r\nHost: loom.example\r\nRequest-Id: " + id
					+ "\r\nKey: k1\r\nDeadline-Ms: 2500\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			return answer.isEmpty() ? "not" : answer.split(" ")[1];
		}
		catch (IOException ex) {
			return "not: " + ex;
		}
	}

}
