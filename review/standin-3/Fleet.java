import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.poplarloom.platform.standin.StoreStandIn;

/**
 * Starts daemons with the command of the deploy file and gives them a store, workers and
 * clients on loopback addresses. All of it ends with {@link #close()}.
 */
final class Fleet implements AutoCloseable {

	static final String TENANT_KEY = "k-review-3";

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	/** A block of loopback addresses of its own, so that fixed ports do not collide. */
	private final String block;

	final StoreStandIn store = new StoreStandIn(500);

	final List<Daemon> daemons = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	private final Path folder = Files.createTempDirectory("poplarloom-review");

	private final PrintWriter record;

	private final long startNanos = System.nanoTime();

	private final Random random = new Random();

	private volatile boolean closed;

	Fleet(String recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
		this.block = "127." + (20 + this.random.nextInt(200)) + "." + this.random.nextInt(250);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		Thread beats = new Thread(this::beat, "beats");
		beats.setDaemon(true);
		beats.start();
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void note(String text) {
		this.record.println(String.format("%7d ms  %s", millis(), text));
		this.record.flush();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
			return socket.getLocalPort();
		}
	}

	Daemon startDaemon(String name, String zone, String extraSettings) throws IOException {
		Daemon daemon = new Daemon(name, zone, this.block + "." + (10 + this.daemons.size()), extraSettings);
		this.daemons.add(daemon);
		daemon.start();
		return daemon;
	}

	Worker startWorker(String id, String service, String zone, int slots) throws IOException {
		Worker worker = new Worker(id, service, zone, slots, this.block + "." + (100 + this.workers.size()));
		this.workers.add(worker);
		worker.start();
		return worker;
	}

	/** Workers write their entries every 1.2 s, as the settings say. */
	private void beat() {
		while (!this.closed) {
			sleep(1_200);
			this.workers.forEach(Worker::beat);
		}
	}

	void awaitReady() throws IOException {
		for (Daemon daemon : this.daemons) {
			long end = millis() + 20_000;
			while (!daemon.isReady()) {
				if (millis() > end || !daemon.process.isAlive()) {
					throw new IOException(daemon.name + " is not ready");
				}
				sleep(100);
			}
		}
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		for (Daemon daemon : this.daemons) {
			daemon.process.destroyForcibly();
		}
		for (Daemon daemon : this.daemons) {
			try {
				daemon.process.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.workers.forEach(Worker::stop);
		this.store.close();
		File[] files = this.folder.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
		this.record.flush();
	}

	/**
	 * A process of the product.
	 */
	final class Daemon {

		final String name;

		final String zone;

		final String ip;

		final int callerPort;

		final int readyPort;

		private final String extraSettings;

		volatile Process process;

		/** Whether the script itself has ended the process. */
		volatile boolean stopped;

		Daemon(String name, String zone, String ip, String extraSettings) throws IOException {
			this.name = name;
			this.zone = zone;
			this.ip = ip;
			this.extraSettings = extraSettings;
			this.callerPort = freePort(ip);
			this.readyPort = freePort(ip);
		}

		void start() throws IOException {
			Path settings = Fleet.this.folder.resolve(this.name + ".conf");
			Files.writeString(settings, String.join("\n", "node=" + this.name, "role=poplarloom", "machineClass=edge",
					"serves=edge,control_plane", "ip=" + this.ip, "zone=" + this.zone, "region=area",
					"listen.front=" + this.ip + ":" + this.callerPort, "listen.ready=" + this.ip + ":" + this.readyPort,
					"listen.control=" + this.ip + ":8229", "portRange=7340,7355",
					"seeds=" + Fleet.this.block + ".10:8229", "firstStart=true", "limits.cpuShare=0.51",
					"limits.cores=1", "limits.memoryMb=352", "limits.maxFds=2118", "discovery=platform", "entry=vip",
					"heartbeatMs=1200",
					"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans",
					"bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.configMs=2000",
					"bounds.retryBudgetRatio=0.2", "bounds.budgetSlack=217",
					"platform.address=" + Fleet.this.store.address(), "platform.form=log", this.extraSettings, ""));
			String deploy = Files.readString(Path.of("deploy/system.toml"));
			List<String> command = List.of(match(deploy, "run = \"([^\"]*)\"").split(" "));
			ProcessBuilder builder = new ProcessBuilder(command);
			builder.environment().put("POPLARLOOM_CONFIG", settings.toString());
			builder.environment().put("POPLARLOOM_PEER_KEY", match(deploy, "POPLARLOOM_PEER_KEY = \"([^\"]*)\""));
			builder.redirectErrorStream(true);
			builder.redirectOutput(log().toFile());
			this.process = builder.start();
			note("daemon " + this.name + " started, zone " + this.zone + ", callers " + this.ip + ":" + this.callerPort);
		}

		Path log() {
			String kept = System.getenv("KEEP_LOGS");
			return ((kept != null) ? Path.of(kept) : Fleet.this.folder).resolve(this.name + ".log");
		}

		boolean isReady() {
			try (Client client = new Client(this.ip, this.readyPort)) {
				return client.send("GET", "/ready", "Host: x", new byte[0], 2_000).status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Returns the local ports of the TCP sockets that the process has open. */
		Set<Integer> localPorts() throws IOException {
			Set<String> inodes = new HashSet<>();
			File[] descriptors = new File("/proc/" + this.process.pid() + "/fd").listFiles();
			for (File descriptor : (descriptors != null) ? descriptors : new File[0]) {
				try {
					String target = Files.readSymbolicLink(descriptor.toPath()).toString();
					if (target.startsWith("socket:[")) {
						inodes.add(target.substring(8, target.length() - 1));
					}
				}
				catch (IOException ex) {
					// The process has closed it.
				}
			}
			Set<Integer> ports = new HashSet<>();
			for (String table : new String[] { "/proc/net/tcp", "/proc/net/tcp6" }) {
				for (String line : Files.exists(Path.of(table)) ? Files.readAllLines(Path.of(table)) : List.<String>of()) {
					String[] fields = line.trim().split("\\s+");
					if (fields.length > 9 && inodes.contains(fields[9])) {
						ports.add(Integer.parseInt(fields[1].substring(fields[1].lastIndexOf(':') + 1), 16));
					}
				}
			}
			return ports;
		}

		void signal(String signal) throws IOException {
			note("SIG" + signal + " to " + this.name);
			try {
				new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

	private static String match(String text, String pattern) throws IOException {
		Matcher matcher = Pattern.compile(pattern).matcher(text);
		if (!matcher.find()) {
			throw new IOException("the deploy file has no " + pattern);
		}
		return matcher.group(1);
	}

	/**
	 * A request as a worker has received it.
	 */
	static final class Received {

		final String method;

		final String target;

		final Map<String, String> headers;

		final byte[] body;

		Received(String method, String target, Map<String, String> headers, byte[] body) {
			this.method = method;
			this.target = target;
			this.headers = headers;
			this.body = body;
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

	}

	/** Answers a request that the worker runs. */
	interface Script {

		void answer(Worker worker, Received request, Socket socket, OutputStream out) throws IOException;

	}

	/**
	 * A worker: it checks Expect-Instance, reports its state, accepts orders and runs
	 * requests by a script.
	 */
	final class Worker {

		final String id;

		final String service;

		final String zone;

		final int slots;

		final InetSocketAddress address;

		final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

		/** Starts of runs by request id. */
		final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

		volatile Script script = (worker, request, socket, out) -> writeAnswer(request, out, "ok");

		volatile ServerSocket server;

		/** The process whose new channels are reset, or null. */
		volatile Daemon refused;

		volatile long born;

		volatile String state = "ready";

		volatile long coldLeftMillis;

		private volatile int sequence;

		Worker(String id, String service, String zone, int slots, String ip) throws IOException {
			this.id = id;
			this.service = service;
			this.zone = zone;
			this.slots = slots;
			this.address = new InetSocketAddress(ip, freePort(ip));
		}

		String hostPort() {
			return this.address.getHostString() + ":" + this.address.getPort();
		}

		synchronized void start() throws IOException {
			this.born = System.currentTimeMillis();
			openPort();
			note("worker " + this.id + " runs at " + hostPort() + ", born " + this.born);
			publish();
		}

		/** Ends the process of the worker without notice. */
		synchronized void stop() {
			ServerSocket closing = this.server;
			this.server = null;
			if (closing != null) {
				close(closing);
				this.sockets.forEach((socket) -> close(socket));
				this.sockets.clear();
				note("worker " + this.id + " ended");
			}
		}

		/** Refuses new channels; those that are open live on. */
		synchronized void closePort() {
			close(this.server);
		}

		/** Accepts new channels again. */
		synchronized void openPort() throws IOException {
			ServerSocket opened = new ServerSocket();
			opened.setReuseAddress(true);
			opened.bind(this.address, 200);
			this.server = opened;
			Thread acceptor = new Thread(() -> accept(opened), "worker " + this.id);
			acceptor.setDaemon(true);
			acceptor.start();
		}

		/** Resets the channels that a process has opened. */
		int reset(Daemon daemon) throws IOException {
			Set<Integer> ports = daemon.localPorts();
			int count = 0;
			for (Socket socket : this.sockets) {
				if (ports.contains(socket.getPort())) {
					socket.setSoLinger(true, 0);
					socket.close();
					count++;
				}
			}
			return count;
		}

		private void close(AutoCloseable closeable) {
			try {
				closeable.close();
			}
			catch (Exception ex) {
				note("not closed: " + ex);
			}
		}

		synchronized void publish() {
			String entry = "{\"service\":\"" + this.service + "\",\"address\":\"" + hostPort() + "\",\"zone\":\""
					+ this.zone + "\",\"version\":\"v1\",\"slots\":" + this.slots + ",\"state\":\"" + this.state
					+ "\",\"coldLeftMs\":" + this.coldLeftMillis + ",\"seq\":" + (++this.sequence) + ",\"born\":"
					+ this.born + "}";
			Fleet.this.store.put("keyed.servers", this.id, entry);
		}

		void beat() {
			if (this.server != null) {
				publish();
			}
		}

		private void accept(ServerSocket opened) {
			while (!opened.isClosed()) {
				try {
					Socket socket = opened.accept();
					Daemon cut = this.refused;
					if (cut != null && cut.localPorts().contains(socket.getPort())) {
						socket.setSoLinger(true, 0);
						socket.close();
						continue;
					}
					this.sockets.add(socket);
					Thread thread = new Thread(() -> serve(socket), "connection of " + this.id);
					thread.setDaemon(true);
					thread.start();
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream in = socket.getInputStream();
				OutputStream out = socket.getOutputStream();
				for (Received request = read(in); request != null; request = read(in)) {
					answer(request, socket, out);
				}
			}
			catch (IOException ex) {
				// The peer or the end of the worker has closed the connection.
			}
			finally {
				this.sockets.remove(socket);
			}
		}

		private void answer(Received request, Socket socket, OutputStream out) throws IOException {
			if (request.target.equals("/report")) {
				write(out, "HTTP/1.1 200 OK\r\n", "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
						+ "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
						+ "\"kvTotal\":405000,\"handles\":0,\"born\":" + this.born + "}");
				return;
			}
			if (request.target.equals("/order")) {
				write(out, "HTTP/1.1 200 OK\r\n", "{\"free\":405000,\"born\":" + this.born + "}");
				return;
			}
			String expected = request.header("Expect-Instance");
			if (!expected.isEmpty() && !expected.equals(this.id)) {
				write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + this.id + "\r\nRequest-Id: "
						+ request.header("Request-Id") + "\r\n", "");
				return;
			}
			this.runs.computeIfAbsent(request.header("Request-Id"), (id) -> new AtomicInteger()).incrementAndGet();
			this.script.answer(this, request, socket, out);
		}

	}

	private static void write(OutputStream out, String head, String body) throws IOException {
		out.write((head + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static String answerHead(Received request, String headers) {
		return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nRequest-Id: " + request.header("Request-Id") + "\r\nServer-Stamp: 3e1b."
				+ request.header("Request-Id") + "\r\n" + headers + "\r\n";
	}

	static void writeAnswer(Received request, OutputStream out, String body) throws IOException {
		out.write((answerHead(request, "Content-Length: " + body.length() + "\r\n") + body)
			.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	/** Refuses a request that was not run, and says for how long no others are wanted. */
	static void turnAway(Received request, OutputStream out, String retryAfterSeconds) throws IOException {
		out.write(("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nRetry-After: " + retryAfterSeconds + "\r\nContent-Length: 0\r\n\r\n")
			.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	static Received read(InputStream in) throws IOException {
		String first = readLine(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = readHeaders(in);
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
		String[] words = first.split(" ");
		return new Received(words[0], words[1], headers, body);
	}

	private static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		return headers;
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

	/**
	 * An answer that a client has received whole.
	 */
	static final class Answer {

		final int status;

		final Map<String, String> headers;

		final String body;

		Answer(int status, Map<String, String> headers, String body) {
			this.status = status;
			this.headers = headers;
			this.body = body;
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

	}

	/**
	 * A client's channel, which is kept for further requests.
	 */
	static final class Client implements AutoCloseable {

		final Socket socket = new Socket();

		Client(String host, int port) throws IOException {
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(host, port), 1_000);
		}

		/**
		 * Sends a request and waits for the whole answer.
		 * @return the answer
		 * @throws IOException if the channel ends before, or after the timeout
		 */
		Answer send(String method, String target, String headers, byte[] body, int timeoutMillis) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			String length = (body.length > 0 || method.equals("POST")) ? "Content-Length: " + body.length + "\r\n" : "";
			out.write((method + " " + target + " HTTP/1.1\r\n" + headers.trim().replaceAll("\\s*\n\\s*", "\r\n") + "\r\n"
					+ length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			out.flush();
			this.socket.setSoTimeout(timeoutMillis);
			InputStream in = this.socket.getInputStream();
			String status = readLine(in);
			if (status == null) {
				throw new IOException("channel closed");
			}
			Map<String, String> answerHeaders = readHeaders(in);
			String content = "chunked".equals(answerHeaders.get("Transfer-Encoding")) ? readChunks(in)
					: new String(readFully(in, Integer.parseInt(answerHeaders.getOrDefault("Content-Length", "0"))),
							StandardCharsets.UTF_8);
			return new Answer(Integer.parseInt(status.split(" ")[1]), answerHeaders, content);
		}

		private static byte[] readFully(InputStream in, int length) throws IOException {
			byte[] bytes = in.readNBytes(length);
			if (bytes.length < length) {
				throw new IOException("channel closed inside the body");
			}
			return bytes;
		}

		private static String readChunks(InputStream in) throws IOException {
			StringBuilder content = new StringBuilder();
			while (true) {
				String line = readLine(in);
				if (line == null) {
					throw new IOException("channel closed inside the stream");
				}
				int size = Integer.parseInt(line.trim(), 16);
				content.append(new String(readFully(in, size), StandardCharsets.UTF_8));
				readLine(in);
				if (size == 0) {
					return content.toString();
				}
			}
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
