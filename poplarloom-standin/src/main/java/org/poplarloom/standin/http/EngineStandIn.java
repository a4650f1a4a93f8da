package org.poplarloom.standin.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;

import org.poplarloom.core.request.PromptScanner;
import org.poplarloom.core.request.PromptShape;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.engine.Sequence;
import org.poplarloom.standin.engine.SimulatedEngine;

/**
 * An HTTP server with a simulated inference engine.
 * <p>
 * One thread runs the simulated engine in real time, and the thread of each request
 * writes the stream of tokens. A prompt that contains {@link #CRASH_MARKER} crashes the
 * engine. The monitor of the simulated engine also guards the fencing token and the
 * request statistics. This class is thread-safe.
 */
public final class EngineStandIn extends HttpStandIn {

	/** A prompt whose first 4096 bytes contain this text crashes the engine. */
	public static final String CRASH_MARKER = "crash-the-engine";

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long IDLE_PAUSE_NANOS = NANOS_PER_MILLI / 2;

	private static final int CRASH_MARKER_SEARCH_BYTES = 4_096;

	private static final long END_OF_STREAM = -1;

	private static final long ENGINE_CRASHED = -2;

	private final String id;

	private final Collection<String> models;

	private final SimulatedEngine engine;

	private final Map<String, BlockingQueue<Long>> streams = new ConcurrentHashMap<>();

	private final EngineAccounts accounts = new EngineAccounts();

	private volatile boolean isRunning = true;

	private volatile boolean isDraining;

	private volatile long downUntilMillis;

	private final AtomicLong generatedTokens = new AtomicLong();

	private long highestFencingToken;

	private int maxConcurrentRequests;

	private long lastRequestMillis;

	private final Thread engineThread;

	public EngineStandIn(String id, int port, EngineSettings settings, Collection<String> models) {
		super(port);
		this.id = id;
		this.models = List.copyOf(models);
		this.engine = SimulatedEngine.startingAt(settings, System.currentTimeMillis() - settings.coldStartMillis());
		this.engineThread = new Thread(this::runEngine, "engine-" + id);
		this.engineThread.setDaemon(true);
	}

	@Override
	public void start() {
		super.start();
		this.engineThread.start();
	}

	private void runEngine() {
		while (this.isRunning) {
			SimulatedEngine.Step step;
			synchronized (this.engine) {
				step = this.engine.step();
			}
			if (step.millis() == 0) {
				LockSupport.parkNanos(IDLE_PAUSE_NANOS);
				continue;
			}
			LockSupport.parkNanos((long) (step.millis() * NANOS_PER_MILLI));
			step.generated().forEach(this::queueToken);
		}
	}

	private void queueToken(Sequence sequence) {
		this.generatedTokens.incrementAndGet();
		BlockingQueue<Long> stream = this.streams.get(sequence.id());
		if (stream != null) {
			stream.add(sequence.generatedTokens());
			if (sequence.isFinished()) {
				stream.add(END_OF_STREAM);
			}
		}
	}

	@Override
	protected void handle(HttpExchange exchange) throws IOException {
		if (System.currentTimeMillis() < this.downUntilMillis) {
			exchange.close();
			return;
		}
		String path = exchange.getRequestURI().getPath();
		if (path.equals("/load")) {
			respond(exchange, 200, load());
		}
		else if (path.equals("/v1/chat/completions")) {
			handleGeneration(exchange);
		}
		else if (path.equals("/usage")) {
			respond(exchange, 200, this.accounts.report(bootId()));
		}
		else if (path.equals("/kv/segments")) {
			handleSegment(exchange);
		}
		else if (path.startsWith("/kv/export/")) {
			respond(exchange, isPrefilledSegment(path.substring("/kv/export/".length())) ? 200 : 404, "{}");
		}
		else if (path.startsWith("/cancel/")) {
			cancel(path.substring("/cancel/".length()));
			respond(exchange, 200, "{}");
		}
		else if (path.equals("/orders")) {
			handleCommand(exchange);
		}
		else {
			respond(exchange, 404, "{}");
		}
	}

	private void handleCommand(HttpExchange exchange) throws IOException {
		long fencingToken = fencingToken(exchange.getRequestHeaders());
		exchange.getRequestBody().readAllBytes();
		synchronized (this.engine) {
			if (this.engine.settings().isFencingTokenChecked() && fencingToken < this.highestFencingToken) {
				respond(exchange, 409, "{\"error\":\"stale fence\"}");
				return;
			}
			this.highestFencingToken = Math.max(this.highestFencingToken, fencingToken);
		}
		respond(exchange, 200, "{}");
	}

	private String bootId() {
		synchronized (this.engine) {
			return this.id + "-" + this.engine.bootCount();
		}
	}

	private Load load() {
		synchronized (this.engine) {
			EngineSettings settings = this.engine.settings();
			long uptimeMillis = System.currentTimeMillis() - this.engine.startedMillis();
			return new Load(this.id, bootId(), this.isDraining, this.models, settings.slots(), settings.kvTokens(),
					settings.kvTokens() - this.engine.usedKvTokens(), this.engine.size(),
					settings.sustainedTokensPerSecond(), this.highestFencingToken, uptimeMillis,
					this.engine.prefilledSegments());
		}
	}

	private static String account(HttpExchange exchange) {
		String account = exchange.getRequestHeaders().getFirst("X-Account");
		return (account != null) ? account : "";
	}

	private static long fencingToken(Headers headers) {
		String fencingToken = headers.getFirst("X-Fence");
		return (fencingToken != null) ? Long.parseLong(fencingToken) : 0;
	}

	private boolean isPrefilledSegment(String sequenceId) {
		synchronized (this.engine) {
			return this.engine.isPrefilledSegment(sequenceId);
		}
	}

	private void handleSegment(HttpExchange exchange) throws IOException {
		Headers headers = exchange.getRequestHeaders();
		exchange.getRequestBody().readAllBytes();
		if (!SegmentImports.fetch(headers.getFirst("X-Kv-Imports"))) {
			respond(exchange, 424, "{\"error\":\"segment cannot be imported\"}");
			return;
		}
		String sequenceId = headers.getFirst("X-Request-Id") + "/" + headers.getFirst("X-Attempt");
		long kvTokens = Long.parseLong(headers.getFirst("X-Kv-Tokens"));
		Sequence sequence = Sequence.of(sequenceId, priority(headers), kvTokens, 1, 0)
			.withKvTokens(kvTokens)
			.asSegment();
		BlockingQueue<Long> stream = new LinkedBlockingQueue<>();
		if (!submit(sequence, stream, fencingToken(headers))) {
			respond(exchange, 409, "{\"error\":\"stale fence\"}");
			return;
		}
		boolean isPrefilled = false;
		try {
			isPrefilled = awaitToken(stream) != ENGINE_CRASHED;
			respond(exchange, isPrefilled ? 200 : 500, "{\"handle\":\"" + sequenceId + "\"}");
		}
		finally {
			this.streams.remove(sequenceId);
			if (!isPrefilled) {
				cancel(sequenceId);
			}
		}
	}

	private static int priority(Headers headers) {
		String priority = headers.getFirst("X-Priority");
		return (priority != null) ? Integer.parseInt(priority) : 0;
	}

	private void handleGeneration(HttpExchange exchange) throws IOException {
		Headers headers = exchange.getRequestHeaders();
		byte[] body = exchange.getRequestBody().readAllBytes();
		PromptShape shape = PromptScanner.scan(body);
		String requestId = headers.getFirst("X-Request-Id");
		String attempt = headers.getFirst("X-Attempt");
		String sequenceId = ((requestId != null) ? requestId : java.util.UUID.randomUUID()) + "/" + attempt;
		if (!SegmentImports.fetch(headers.getFirst("X-Kv-Imports"))) {
			respond(exchange, 424, "{\"error\":\"segment cannot be imported\"}");
			return;
		}
		Sequence sequence = newSequence(sequenceId, shape, headers);
		String resumeFrom = headers.getFirst("X-Resume-From");
		if (resumeFrom != null) {
			sequence.resumeFrom(Long.parseLong(resumeFrom));
		}
		BlockingQueue<Long> stream = new LinkedBlockingQueue<>();
		boolean hasCrashMarker = contains(body, CRASH_MARKER);
		if (!submit(sequence, stream, fencingToken(headers))) {
			respond(exchange, 409, "{\"error\":\"stale fence\"}");
			return;
		}
		if (hasCrashMarker) {
			crash();
		}
		try {
			writeStream(exchange, stream, sequence, shape, requestId, attempt);
		}
		finally {
			this.streams.remove(sequenceId);
			cancel(sequenceId);
		}
	}

	private static Sequence newSequence(String sequenceId, PromptShape shape, Headers headers) {
		String kvTokensHeader = headers.getFirst("X-Kv-Tokens");
		if (kvTokensHeader == null) {
			return Sequence.of(sequenceId, priority(headers), shape.promptTokens(), shape.answerTokens(),
					shape.prefixHash());
		}
		long kvTokens = Long.parseLong(kvTokensHeader);
		long promptTokens = Math.max(1, kvTokens - shape.answerTokens());
		return Sequence.of(sequenceId, priority(headers), promptTokens, shape.answerTokens(), 0).withKvTokens(kvTokens);
	}

	private boolean submit(Sequence sequence, BlockingQueue<Long> stream, long fencingToken) {
		boolean isUp;
		synchronized (this.engine) {
			if (this.engine.settings().isFencingTokenChecked() && fencingToken != 0
					&& fencingToken < this.highestFencingToken) {
				return false;
			}
			this.highestFencingToken = Math.max(this.highestFencingToken, fencingToken);
			this.streams.put(sequence.id(), stream);
			this.lastRequestMillis = System.currentTimeMillis();
			isUp = this.engine.submit(sequence, System.currentTimeMillis());
			this.maxConcurrentRequests = Math.max(this.maxConcurrentRequests, this.engine.size());
		}
		if (!isUp) {
			crash();
		}
		return true;
	}

	private void writeStream(HttpExchange exchange, BlockingQueue<Long> stream, Sequence sequence, PromptShape shape,
			String requestId, String attempt) throws IOException {
		OutputStream out = null;
		String eventPrefix = "data: {\"request\":\"" + requestId + "\",\"attempt\":" + attempt + ",\"position\":";
		while (true) {
			long token = awaitToken(stream);
			if (token == ENGINE_CRASHED) {
				throw new IOException("engine crashed");
			}
			if (out == null) {
				exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
				exchange.sendResponseHeaders(200, 0);
				out = exchange.getResponseBody();
			}
			if (token == END_OF_STREAM) {
				break;
			}
			String event = eventPrefix + (token - 1) + ",\"tokens\":1,\"text\":\"w" + (token - 1) + " \"}\n\n";
			out.write(event.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		String lastEvent = eventPrefix + sequence.generatedTokens()
				+ ",\"tokens\":0,\"text\":\"\",\"finish\":\"stop\",\"promptTokens\":" + shape.promptTokens()
				+ ",\"answerTokens\":" + sequence.generatedTokens() + "}\n\n";
		this.accounts.add(account(exchange), shape.promptTokens(), sequence.generatedTokens());
		out.write(lastEvent.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private static long awaitToken(BlockingQueue<Long> stream) throws IOException {
		try {
			return stream.take();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

	private static boolean contains(byte[] body, String marker) {
		int searchedBytes = Math.min(body.length, CRASH_MARKER_SEARCH_BYTES);
		return new String(body, 0, searchedBytes, StandardCharsets.ISO_8859_1).contains(marker);
	}

	private void cancel(String sequenceId) {
		synchronized (this.engine) {
			this.engine.cancel(sequenceId);
		}
	}

	/**
	 * Crashes the engine: aborts all streams, loses its memory and restarts it.
	 */
	public void crash() {
		synchronized (this.engine) {
			long upMillis = System.currentTimeMillis() + this.engine.settings().restartMillis();
			this.downUntilMillis = upMillis;
			this.engine.restart(upMillis);
			this.accounts.clear();
			this.streams.values().forEach((stream) -> stream.add(ENGINE_CRASHED));
		}
	}

	/**
	 * Sets whether the engine reports that the platform is about to stop it.
	 * @param isDraining true if the engine is draining
	 */
	public void setDraining(boolean isDraining) {
		this.isDraining = isDraining;
	}

	/**
	 * Returns how many times the engine has started.
	 * @return a number from 1
	 */
	public int bootCount() {
		synchronized (this.engine) {
			return this.engine.bootCount();
		}
	}

	/**
	 * Returns the number of requests in the engine, running or waiting.
	 * @return a number from 0
	 */
	public int requestCount() {
		synchronized (this.engine) {
			return this.engine.size();
		}
	}

	/**
	 * Returns the number of tokens generated since this object was created.
	 * @return tokens
	 */
	public long generatedTokens() {
		return this.generatedTokens.get();
	}

	/**
	 * Returns when the engine received its last request.
	 * @return the time in milliseconds since the epoch, 0 if there was none
	 */
	public long lastRequestMillis() {
		synchronized (this.engine) {
			return this.lastRequestMillis;
		}
	}

	/**
	 * Returns the highest fencing token received.
	 * @return a number from 0
	 */
	public long highestFencingToken() {
		synchronized (this.engine) {
			return this.highestFencingToken;
		}
	}

	/**
	 * Raises the highest fencing token, as a request of another home does.
	 * @param token the token
	 */
	public void raiseFencingToken(long token) {
		synchronized (this.engine) {
			this.highestFencingToken = Math.max(this.highestFencingToken, token);
		}
	}

	/**
	 * Returns the reserved memory of the KV cache.
	 * @return tokens
	 */
	public long usedKvTokens() {
		synchronized (this.engine) {
			return this.engine.usedKvTokens();
		}
	}

	/**
	 * Returns the maximum number of requests that were in the engine at the same time.
	 * @return a number from 0
	 */
	public int maxConcurrentRequests() {
		synchronized (this.engine) {
			return this.maxConcurrentRequests;
		}
	}

	@Override
	public void close() {
		this.isRunning = false;
		super.close();
	}

	/**
	 * The load report of an engine.
	 *
	 * @param endpoint the id of the engine
	 * @param bootId an id that changes with every start
	 * @param isLeaving whether the engine is draining
	 * @param models the loaded models
	 * @param slots the maximum number of admitted requests
	 * @param kvTokens the size of the KV cache in tokens
	 * @param kvFreeTokens the free memory of the KV cache in tokens
	 * @param running the number of requests, running or waiting
	 * @param prefillTokensPerSecond the sustained prefill rate in tokens per second
	 * @param highestFence the highest fencing token received
	 * @param uptimeMillis the time since the last start in milliseconds
	 * @param handles the ids of the prefilled segments in its memory
	 */
	public record Load(String endpoint, String bootId, boolean isLeaving, Collection<String> models, int slots,
			long kvTokens, long kvFreeTokens, int running, double prefillTokensPerSecond, long highestFence,
			long uptimeMillis, List<String> handles) {
	}

}
