package org.poplarloom.review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

import org.poplarloom.platform.standin.CallerStandIn;
import org.poplarloom.platform.standin.StoreStandIn;
import org.poplarloom.platform.standin.WorkerStandIn;

/**
 * Workers answer streams and write, with the trouble, one more empty line after each event.
 */
public final class BlankLines {

	private static final int STREAMS_PER_DAEMON = 5;

	private static final int EVENTS = 3;

	private static final long EVENT_MILLIS = 20;

	private BlankLines() {
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
		AtomicInteger whole = new AtomicInteger();
		for (String zone : Deployment.ZONES) {
			WorkerStandIn worker = new WorkerStandIn("i-" + zone.substring("norte-".length()));
			worker.respondWith((request, out) -> answer(worker.id(), request, out, record, hasTrouble, whole));
			store.put("keyed.servers", worker.id(), worker.entry("model", zone, "ready"));
			WorkerStandIn plain = new WorkerStandIn("j-" + zone.substring("norte-".length()));
			store.put("keyed.servers", plain.id(), plain.entry("app", zone, "ready"));
		}
		Deployment deployment = Deployment.start(store, record);
		if (!deployment.awaitServing()) {
			return 2;
		}
		int cut = 0;
		for (Daemon daemon : deployment.daemons()) {
			for (int i = 0; i < STREAMS_PER_DAEMON; i++) {
				cut += isCut(daemon, daemon.name() + "." + i, record) ? 1 : 0;
			}
		}
		deployment.stop();
		record.write("streams that a worker ended as whole: %d; kept channels that were closed without the end of the "
				+ "answer: %d; allowed: 3", whole.get(), cut);
		return (cut > 3) ? 1 : 0;
	}

	private static void answer(String worker, WorkerStandIn.ReceivedRequest request, WorkerStandIn.ResponseWriter out,
			Record record, boolean hasTrouble, AtomicInteger whole) throws IOException {
		if (request.id().isEmpty()) {
			out.answer(request, "{}");
			return;
		}
		String last = request.header("Last-Event-Id");
		record.write("worker %s gets %s, Last-Event-Id '%s'", worker, request.id(), last);
		out.write(out.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
		for (int id = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; id <= EVENTS; id++) {
			String event = "id: " + id + "\ndata: piece " + id + "\n\n" + (hasTrouble ? "\n" : "");
			out.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
			Worker.pause(EVENT_MILLIS);
		}
		out.write("0\r\n\r\n");
		whole.incrementAndGet();
		record.write("worker %s has ended the answer to %s", worker, request.id());
	}

	private static boolean isCut(Daemon daemon, String id, Record record) {
		String head = "";
		String body = "";
		try (CallerStandIn caller = new CallerStandIn(daemon.callerAddress())) {
			caller.send("POST /stream/x", id, "Deadline-Ms: 2500\r\nToken-Count: 100,10\r\n", "{}");
			head = caller.readUntil("\r\n\r\n");
			if (head.startsWith("HTTP/1.1 200")) {
				body = caller.readUntil("\r\n0\r\n\r\n");
			}
		}
		catch (IOException ex) {
			record.write("%s: %s", id, ex);
		}
		boolean isCut = head.startsWith("HTTP/1.1 200") && !body.endsWith("\r\n0\r\n\r\n");
		record.write("%s is answered %s%s", id, head.isEmpty() ? "not" : head.split(" ")[1],
				isCut ? ", and the channel is closed before the end of the answer" : "");
		return isCut;
	}

}
