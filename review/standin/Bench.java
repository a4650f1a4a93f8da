import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What all scripts of this review share: a store, a small deployment of daemons, an HTTP
 * reader and a record.
 * <p>
 * Daemons are started with the command of the deploy file, each on a loopback address of
 * its own. Everything that a bench starts ends with {@link #close()}.
 */
final class Bench implements AutoCloseable {

	static final int RULE_HELD = 0;

	static final int RULE_BROKEN = 1;

	static final int COULD_NOT_RUN = 2;

	static final int FRONT_PORT = 8227;

	private static final int READY_PORT = 8220;

	private static final int CONTROL_PORT = 8229;

	private static final int METRICS_PORT = 9464;

	final Store store;

	private final Path folder;

	private final Path record;

	private final Path temporary;

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<String> addresses = new ArrayList<>();

	private final String configPrefix;

	Bench(Path folder, int daemonCount) throws IOException {
		this.folder = folder;
		this.record = folder.resolve("record.txt");
		Files.write(this.record, new byte[0]);
		this.temporary = Files.createTempDirectory("poplarloom-review");
		this.store = new Store();
		this.configPrefix = "127." + (20 + (int) (ProcessHandle.current().pid() % 200)) + ".";
		for (int i = 0; this.addresses.size() < daemonCount && i < 250; i++) {
			String address = this.configPrefix + (ProcessHandle.current().pid() / 200 % 250) + "." + (i + 2);
			if (isFree(address)) {
				this.addresses.add(address);
			}
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	static boolean isTroubled() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	private static boolean isFree(String address) {
		for (int port : new int[] { FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, 7340 }) {
			try {
				new ServerSocket(port, 1, InetAddress.getByName(address)).close();
			}
			catch (IOException ex) {
				return false;
			}
		}
		return true;
	}

	/** Writes one line with the time to the record. */
	synchronized void log(String format, Object... values) {
		String line = String.format("%8.3f ", System.nanoTime() / 1e9 % 100_000) + String.format(format, values) + "\n";
		try {
			Files.writeString(this.record, line, StandardOpenOption.APPEND);
		}
		catch (IOException ex) {
			System.err.println("record: " + ex.getMessage());
		}
	}

	/** Ends the case: prints and records the verdict. */
	int verdict(int code, String format, Object... values) {
		String text = ((code == RULE_BROKEN) ? "RULE BROKEN: " : (code == RULE_HELD) ? "rule held: " : "could not run: ")
				+ String.format(format, values);
		log("%s", text);
		System.out.println(text);
		return code;
	}

	/** Starts one daemon per address, in the zones in turn, and waits until all are ready. */
	List<Daemon> startDaemons(List<String> zones) throws Exception {
		for (int i = 0; i < this.addresses.size(); i++) {
			Daemon daemon = new Daemon(i, zones.get(i % zones.size()), zones);
			this.daemons.add(daemon);
			daemon.start();
		}
		for (Daemon daemon : this.daemons) {
			daemon.awaitReady(40_000);
		}
		return this.daemons;
	}

	@Override
	public synchronized void close() {
		for (Daemon daemon : this.daemons) {
			if (daemon.process != null && daemon.process.isAlive()) {
				daemon.process.destroyForcibly();
			}
		}
		for (Daemon daemon : this.daemons) {
			try {
				if (daemon.process != null) {
					daemon.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.store.close();
		try (Stream<Path> files = Files.walk(this.temporary)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// It was deleted by an earlier call.
		}
	}

	/** One instance of the project's daemon. */
	final class Daemon {

		final String name;

		final String ip;

		final Path log;

		private final Path settings;

		Process process;

		Daemon(int index, String zone, List<String> zones) throws IOException {
			this.ip = Bench.this.addresses.get(index);
			this.name = "edge-" + zone + "-" + (index + 1);
			this.settings = Bench.this.temporary.resolve(this.name + ".conf");
			this.log = Bench.this.temporary.resolve(this.name + ".log");
			List<String> lines = new ArrayList<>(List.of("node=" + this.name, "role=poplarloom", "machineClass=edge",
					"serves=edge,control_plane", "ip=" + this.ip, "zone=" + zone, "region=r"));
			zones.stream().distinct().forEach((each) -> lines.add("zones." + each + "=r"));
			lines.addAll(List.of("listen.front=" + this.ip + ":" + FRONT_PORT, "listen.ready=" + this.ip + ":" + READY_PORT,
					"listen.control=" + this.ip + ":" + CONTROL_PORT, "portRange=7340,7355",
					"seeds=" + Bench.this.addresses.get(0) + ":" + CONTROL_PORT, "firstStart=true", "lossCounts=false",
					"limits.cpuShare=0.51", "limits.cores=1", "limits.memoryMb=352", "limits.maxFds=2118",
					"limits.linkMbps=490", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
					"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans",
					"bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lostMs=200",
					"bounds.configMs=2000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
					"bounds.budgetSlack=217", "bounds.coldOverrun=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000",
					"bounds.recoverS=12", "platform.address=" + Bench.this.store.address(), "platform.form=log",
					"platform.writesPerS=400", "platform.readsPerS=2000", "platform.recordBytes=262144"));
			Files.write(this.settings, lines);
		}

		void start() throws IOException {
			String deploy = Files.readString(Path.of("deploy/system.toml"));
			String command = deploy.replaceAll("(?s).*\\nrun = \"([^\"]*)\".*", "$1");
			String key = deploy.replaceAll("(?s).*POPLARLOOM_PEER_KEY = \"([^\"]*)\".*", "$1");
			ProcessBuilder builder = new ProcessBuilder(command.split(" "));
			builder.environment().put("POPLARLOOM_CONFIG", this.settings.toString());
			builder.environment().put("POPLARLOOM_PEER_KEY", key);
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			this.process = builder.start();
			Bench.this.log("daemon %s started, process %d, callers at %s:%d", this.name, this.process.pid(), this.ip,
					FRONT_PORT);
		}

		void awaitReady(long timeoutMillis) throws Exception {
			long end = System.currentTimeMillis() + timeoutMillis;
			while (!isReady()) {
				if (System.currentTimeMillis() > end) {
					throw new IllegalStateException(this.name + " is not ready");
				}
				Thread.sleep(50);
			}
		}

		boolean isReady() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.ip, READY_PORT), 300);
				socket.setSoTimeout(500);
				socket.getOutputStream()
					.write(("GET /ready HTTP/1.1\r\nHost: " + this.ip + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
				Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), false);
				return answer != null && answer.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		Socket connect() throws IOException {
			Socket socket = new Socket();
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(this.ip, FRONT_PORT), 1_000);
			return socket;
		}

		/** Sends a signal by its name. */
		void signal(String signal) throws Exception {
			Bench.this.log("SIG%s to %s", signal, this.name);
			new ProcessBuilder("sh", "-c", "kill -" + signal + " " + this.process.pid()).start().waitFor();
		}

		String logText() {
			try {
				return Files.readString(this.log);
			}
			catch (IOException ex) {
				return "";
			}
		}

	}

	/** The head of an HTTP message, and its body if it has a length or is chunked. */
	static final class Message {

		final String firstLine;

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		private Message(String firstLine) {
			this.firstLine = firstLine;
		}

		int status() {
			return Integer.parseInt(this.firstLine.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String path() {
			return this.firstLine.split(" ")[1];
		}

		/** Reads a message; returns null at the end of the channel before its first byte. */
		static Message read(InputStream in, boolean isRequest) throws IOException {
			Message message = readHead(in);
			if (message == null) {
				return null;
			}
			if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
				ByteArrayOutputStream all = new ByteArrayOutputStream();
				for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
					all.write(chunk);
				}
				message.body = all.toByteArray();
			}
			else if (!message.header("Content-Length").isEmpty()) {
				int length = Integer.parseInt(message.header("Content-Length"));
				message.body = in.readNBytes(length);
				if (message.body.length < length) {
					throw new EOFException("body ended after " + message.body.length + " of " + length + " bytes");
				}
			}
			else if (!isRequest) {
				message.body = in.readAllBytes();
			}
			return message;
		}

		static Message readHead(InputStream in) throws IOException {
			String first = line(in);
			if (first == null) {
				return null;
			}
			Message message = new Message(first);
			for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
				int colon = line.indexOf(':');
				message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
			}
			return message;
		}

		static byte[] readChunk(InputStream in) throws IOException {
			String size = line(in);
			if (size == null) {
				throw new EOFException("channel ended between chunks");
			}
			int length = Integer.parseInt(size.split(";")[0].trim(), 16);
			byte[] chunk = in.readNBytes(length);
			if (chunk.length < length || line(in) == null) {
				throw new EOFException("channel ended inside a chunk");
			}
			return chunk;
		}

		private static String line(InputStream in) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int next = in.read(); next != '\n'; next = in.read()) {
				if (next < 0) {
					if (line.size() > 0) {
						throw new EOFException("channel ended inside a line");
					}
					return null;
				}
				line.write(next);
			}
			return line.toString(StandardCharsets.UTF_8).trim();
		}

	}

	/** The platform's store, as far as the daemons use it: keyed topics of one partition. */
	static final class Store implements AutoCloseable {

		private record Entry(String key, byte[] value) {
		}

		private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));

		private final Map<String, List<Entry>> topics = new LinkedHashMap<>();

		Store() throws IOException {
			daemonThread(this::accept);
		}

		String address() {
			return "127.0.0.1:" + this.server.getLocalPort();
		}

		/** Appends a record; returning from here is the ack. */
		synchronized void put(String topic, String key, String value) {
			topic(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
			notifyAll();
		}

		private List<Entry> topic(String name) {
			return this.topics.computeIfAbsent(name, (key) -> new ArrayList<>());
		}

		private void accept() {
			while (!this.server.isClosed()) {
				try {
					Socket socket = this.server.accept();
					socket.setTcpNoDelay(true);
					daemonThread(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				for (Message call = Message.read(in, true); call != null; call = Message.read(in, true)) {
					Map<String, String> query = new LinkedHashMap<>();
					String[] target = call.path().split("\\?", 2);
					for (String pair : ((target.length > 1) ? target[1] : "").split("&")) {
						String[] parts = pair.split("=", 2);
						query.put(parts[0], (parts.length > 1) ? parts[1] : "");
					}
					byte[] answer = switch (target[0]) {
						case "/log-newest" -> newest(query);
						case "/log-read" -> read(query);
						case "/log-append" -> append(query, call.body);
						default -> null;
					};
					respond(socket.getOutputStream(), (answer != null) ? 200 : 404, (answer != null) ? answer : new byte[0]);
				}
			}
			catch (IOException | InterruptedException ex) {
				// The caller has closed the channel.
			}
		}

		private static void respond(OutputStream out, int status, byte[] body) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			all.write(body);
			out.write(all.toByteArray());
			out.flush();
		}

		private synchronized byte[] newest(Map<String, String> query) {
			List<Entry> entries = topic(query.get("topic"));
			TreeMap<String, Integer> newest = new TreeMap<>();
			for (int i = 0; i < entries.size(); i++) {
				newest.put(entries.get(i).key(), i);
			}
			List<String> rows = new ArrayList<>();
			newest.forEach((key, offset) -> {
				byte[] value = entries.get(offset).value();
				if (value.length > 0 && key.compareTo(query.getOrDefault("after", "")) > 0) {
					rows.add("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
							+ "\",\"offset\":" + offset + "}");
				}
			});
			return ("{\"items\":[" + String.join(",", rows) + "],\"hasMore\":false,\"end\":" + entries.size() + "}")
				.getBytes(StandardCharsets.UTF_8);
		}

		private synchronized byte[] read(Map<String, String> query) throws IOException, InterruptedException {
			List<Entry> entries = topic(query.get("topic"));
			int from = Integer.parseInt(query.get("from"));
			long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
			while (entries.size() <= from && System.currentTimeMillis() < end) {
				wait(Math.max(1, end - System.currentTimeMillis()));
			}
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			DataOutputStream out = new DataOutputStream(bytes);
			out.writeLong(entries.size());
			out.writeLong(0);
			for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
				byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
				out.writeInt(1 + key.length + entry.value().length);
				out.writeByte(key.length);
				out.write(key);
				out.write(entry.value());
			}
			return bytes.toByteArray();
		}

		private synchronized byte[] append(Map<String, String> query, byte[] body) {
			int keyLength = body[4] & 0xff;
			String key = new String(body, 5, keyLength, StandardCharsets.UTF_8);
			byte[] value = Arrays.copyOfRange(body, 5 + keyLength, body.length);
			topic(query.get("topic")).add(new Entry(key, value));
			notifyAll();
			int end = topic(query.get("topic")).size();
			return ("{\"offset\":" + (end - 1) + ",\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public void close() {
			try {
				this.server.close();
			}
			catch (IOException ex) {
				// Nothing depends on it any more.
			}
		}

	}

	/** A worker, which hands each request to its behaviour. */
	static final class Worker implements AutoCloseable {

		/** Answers one request; returns false to close the channel. */
		interface Behaviour {

			boolean answer(Message request, InputStream in, OutputStream out) throws IOException, InterruptedException;

		}

		final String id;

		private final ServerSocket server;

		private final Behaviour behaviour;

		/** Unix milliseconds of its start. */
		volatile long born = System.currentTimeMillis();

		/** Holds up every request while the worker is dark. */
		volatile Gate gate = () -> {
		};

		interface Gate {

			void pass() throws InterruptedException;

		}

		private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

		Worker(String id, int port, Behaviour behaviour) throws IOException {
			this.id = id;
			this.behaviour = behaviour;
			this.server = new ServerSocket();
			this.server.setReuseAddress(true);
			this.server.bind(new InetSocketAddress("127.0.0.1", port), 500);
			daemonThread(this::accept);
		}

		int port() {
			return this.server.getLocalPort();
		}

		String entry(String service, String zone, int slots, String state, int coldLeftMillis, int sequence) {
			return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone
					+ "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldLeftMs\":"
					+ coldLeftMillis + ",\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
					+ "\"seq\":" + sequence + ",\"born\":" + this.born + "}";
		}

		private void accept() {
			while (!this.server.isClosed()) {
				try {
					Socket socket = this.server.accept();
					socket.setTcpNoDelay(true);
					this.channels.add(socket);
					daemonThread(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				for (Message request = Message.read(in, true); request != null; request = Message.read(in, true)) {
					this.gate.pass();
					if (request.path().equals("/report") || request.path().equals("/healthz")) {
						String report = "{\"stage\":\"colocated\",\"busy\":false,\"seq\":0,\"born\":" + this.born + "}";
						write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nInstance-Id: " + this.id
								+ "\r\nContent-Type: application/json\r\nContent-Length: " + report.length() + "\r\n\r\n"
								+ report);
					}
					else if (!request.header("Expect-Instance").isEmpty()
							&& !request.header("Expect-Instance").equals(this.id)) {
						write(socket.getOutputStream(), "HTTP/1.1 421 X\r\nRequest-Id: " + request.header("Request-Id")
								+ "\r\nInstance-Id: " + this.id + "\r\nContent-Length: 0\r\n\r\n");
					}
					else if (!this.behaviour.answer(request, in, socket.getOutputStream())) {
						return;
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				// The caller has closed the channel.
			}
			finally {
				this.channels.remove(socket);
			}
		}

		static String head(Message request, int status, String rest) {
			String id = request.header("Request-Id");
			return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + id + "\r\nServer-Stamp: 3e1b." + id + "\r\n" + rest
					+ "\r\n\r\n";
		}

		static void write(OutputStream out, String text) throws IOException {
			out.write(text.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}

		boolean isClosed() {
			return this.server.isClosed();
		}

		/** Ends like a crashed process: the port and all channels close. */
		@Override
		public void close() throws IOException {
			this.server.close();
			for (Socket channel : this.channels) {
				channel.close();
			}
		}

	}

	static Thread daemonThread(Runnable task) {
		Thread thread = new Thread(null, task, "standin", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

}
