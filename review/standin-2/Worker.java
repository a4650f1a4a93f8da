package org.poplarloom.review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.poplarloom.platform.standin.StoreStandIn;

/**
 * A worker that can be cold. It writes its entry at each start and every
 * {@link #STATUS_MILLIS}, and names the rest of its cold period there and in its health
 * responses. While it is cold it crashes if it gets requests at a rate far above the one
 * that it tolerates. This class is thread-safe.
 */
final class Worker {

	private static final long STATUS_MILLIS = 1_200;

	private static final long CRASH_DOWN_MILLIS = 1_500;

	private final Record record;

	private final StoreStandIn store;

	private final String id;

	private final String zone;

	private final int port;

	private final long workMillis;

	/** Requests within a second, while it is cold, at which it crashes. */
	private final int crashRequests;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	/** The arrivals while it was cold, by the time in seconds. */
	private final ConcurrentSkipListMap<Double, String> coldArrivals = new ConcurrentSkipListMap<>();

	private final Set<String> running = ConcurrentHashMap.newKeySet();

	/** The request lines by request, one character for each byte. */
	private final Map<String, String> requestLines = new ConcurrentHashMap<>();

	private final AtomicInteger crashes = new AtomicInteger();

	/** Requests that were running when it ended, except where the case itself ended it. */
	private final AtomicInteger lost = new AtomicInteger();

	private volatile ServerSocket server;

	private volatile boolean storeAway;

	private volatile double coldUntilSeconds;

	/** When the store first acknowledged an entry that names the present cold period. */
	private volatile double coldAckSeconds = Double.MAX_VALUE;

	/** Arrivals from then on count for a crash. */
	private volatile double crashFromSeconds = Double.MAX_VALUE;

	private long bornMillis;

	private int sequence;

	private boolean isAnswerLost;

	private String lateEntry;

	private double nextStatusSeconds;

	Worker(Record record, StoreStandIn store, String id, String zone, long workMillis, int crashRequests)
			throws IOException {
		this.record = record;
		this.store = store;
		this.id = id;
		this.zone = zone;
		this.workMillis = workMillis;
		this.crashRequests = crashRequests;
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			this.port = free.getLocalPort();
		}
	}

	String id() {
		return this.id;
	}

	Map<String, String> requestLines() {
		return this.requestLines;
	}

	ConcurrentSkipListMap<Double, String> coldArrivals() {
		return this.coldArrivals;
	}

	int crashes() {
		return this.crashes.get();
	}

	int lost() {
		return this.lost.get();
	}

	double coldAckSeconds() {
		return this.coldAckSeconds;
	}

	/** The store gives no answer to the next entry. */
	synchronized void loseNextAnswer() {
		this.isAnswerLost = true;
	}

	/** The store carries out the entry that it gave no answer to. */
	synchronized void carryOutLate() {
		this.store.put("keyed.servers", this.id, this.lateEntry);
		this.record.write("the store carries out the entry of %s that it gave no answer to: %s", this.id,
				this.lateEntry);
	}

	synchronized int sequence() {
		return this.sequence;
	}

	void crashFrom(double seconds) {
		this.crashFromSeconds = seconds;
	}

	/** While the store is away, the worker cannot write its entry. */
	void setStoreAway(boolean isAway) {
		this.storeAway = isAway;
	}

	/** Starts the process, cold for a time. */
	synchronized void start(double coldSeconds) throws IOException {
		ServerSocket opened = new ServerSocket();
		opened.setReuseAddress(true);
		opened.bind(new InetSocketAddress("127.0.0.1", this.port), 500);
		this.bornMillis = System.currentTimeMillis();
		this.sequence = 0;
		this.coldUntilSeconds = this.record.seconds() + coldSeconds;
		this.server = opened;
		startDaemon(() -> accept(opened));
		this.record.write("worker %s starts, cold for %.1f s", this.id, coldSeconds);
		writeStatus();
		startDaemon(() -> writeStatusWhile(opened));
	}

	/** Makes the worker cold again; its next entry says so. */
	void becomeCold(double coldSeconds) {
		this.coldAckSeconds = Double.MAX_VALUE;
		this.coldUntilSeconds = this.record.seconds() + coldSeconds;
		this.record.write("worker %s becomes cold again for %.1f s", this.id, coldSeconds);
	}

	/** Ends the process. */
	synchronized void stop(String reason) throws IOException {
		ServerSocket closed = this.server;
		this.server = null;
		closed.close();
		int cut = this.running.size();
		this.record.write("worker %s ends (%s), running %d: %s", this.id, reason, cut, this.running);
		this.running.clear();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	private static void startDaemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void writeStatusWhile(ServerSocket current) {
		while (this.server == current) {
			pause(20);
			if (this.record.seconds() >= this.nextStatusSeconds) {
				writeStatus();
			}
		}
	}

	private synchronized void writeStatus() {
		this.nextStatusSeconds = this.record.seconds() + STATUS_MILLIS / 1e3;
		if (this.server == null || this.storeAway) {
			return;
		}
		this.sequence++;
		long coldMillis = coldMillis();
		String entry = String.format(Locale.ROOT,
				"{\"service\":\"app\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
						+ "\"slots\":24,\"state\":\"ready\",\"coldLeftMs\":%d,\"seq\":%d,\"born\":%d}",
				this.port, this.zone, coldMillis, this.sequence, this.bornMillis);
		if (this.isAnswerLost) {
			this.isAnswerLost = false;
			this.lateEntry = entry;
			this.record.write("the store gives no answer to the entry of %s: %s", this.id, entry);
			return;
		}
		this.store.put("keyed.servers", this.id, entry);
		if (coldMillis > 0) {
			this.coldAckSeconds = Math.min(this.coldAckSeconds, this.record.seconds());
			this.record.write("the store acknowledges the entry of %s with coldLeftMs %d", this.id, coldMillis);
		}
	}

	private long coldMillis() {
		return Math.max(0, Math.round((this.coldUntilSeconds - this.record.seconds()) * 1e3));
	}

	private void accept(ServerSocket current) {
		while (this.server == current) {
			try {
				Socket connection = current.accept();
				startDaemon(() -> serve(connection, current));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection, ServerSocket current) {
		this.connections.add(connection);
		try (connection) {
			connection.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(connection.getInputStream());
			for (String line = readLine(in); line != null && this.server == current; line = readLine(in)) {
				Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
				for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
					headers.put(header.substring(0, header.indexOf(':')).trim(),
							header.substring(header.indexOf(':') + 1).trim());
				}
				in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
				String answer = answer(line, headers, current);
				connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			// The peer or the end of the process has closed the connection.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private String answer(String requestLine, Map<String, String> headers, ServerSocket current) throws IOException {
		if (requestLine.startsWith("GET /healthz")) {
			return "HTTP/1.1 200 OK\r\nInstance-Id: " + this.id + "\r\nCold-Ms: " + coldMillis()
					+ "\r\nContent-Length: 0\r\n\r\n";
		}
		if (requestLine.startsWith("GET /report")) {
			String report = "{\"busy\":false,\"seq\":0,\"born\":" + this.bornMillis + "}";
			return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + report.length() + "\r\n\r\n"
					+ report;
		}
		String request = headers.getOrDefault("Request-Id", "");
		if (!headers.getOrDefault("Expect-Instance", this.id).equals(this.id)) {
			return "HTTP/1.1 421 Misdirected\r\nRequest-Id: " + request
					+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
		}
		this.requestLines.put(request, requestLine);
		double now = this.record.seconds();
		boolean isCold = now < this.coldUntilSeconds;
		this.record.write("worker %s gets %s%s", this.id, request, isCold ? ", cold" : "");
		this.running.add(request);
		if (isCold) {
			this.coldArrivals.put(now, request);
			double from = Math.max(now - 1, this.crashFromSeconds);
			if (from < now && this.coldArrivals.subMap(from, false, now, true).size() > this.crashRequests) {
				crash();
			}
		}
		pause(this.workMillis);
		if (this.server != current) {
			throw new IOException("the process has ended");
		}
		this.running.remove(request);
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nServer-Stamp: 3e1b." + request
				+ "\r\nContent-Length: 2\r\n\r\nok";
	}

	private void crash() throws IOException {
		synchronized (this) {
			if (this.server == null) {
				return;
			}
			this.crashes.incrementAndGet();
			this.lost.addAndGet(this.running.size());
			stop("crash under load while cold");
		}
		startDaemon(() -> {
			pause(CRASH_DOWN_MILLIS);
			try {
				start(0);
			}
			catch (IOException ex) {
				this.record.write("worker %s cannot start: %s", this.id, ex);
			}
		});
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				return null;
			}
			line.write(next);
		}
		return line.toString(StandardCharsets.ISO_8859_1).trim();
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
