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
import org.poplarloom.standin.engine.EngineModel;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.engine.Sequence;

/**
 * A model engine behind HTTP.
 * <p>
 * One thread runs the engine model in real time and each request's thread writes its
 * stream. A prompt that contains {@link #CRASH_MARKER} crashes the engine. The engine's
 * lock guards the model. This class is thread-safe.
 */
public final class EngineStandIn extends HttpStandIn {

	/** Crashes the engine that runs a prompt with this text. */
	public static final String CRASH_MARKER = "crash-the-engine";

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long END_OF_ANSWER = -1;

	private static final long LOST = -2;

	private final String id;

	private final Collection<String> models;

	private final EngineModel model;

	private final Map<String, BlockingQueue<Long>> streams = new ConcurrentHashMap<>();

	private final EngineAccounts accounts = new EngineAccounts();

	private volatile boolean running = true;

	private volatile boolean leaving;

	private volatile long downUntilMillis;

	private final AtomicLong producedTokens = new AtomicLong();

	private long highestFence;

	private int highestConcurrency;

	private long lastRequestMillis;

	private final Thread loop;

	public EngineStandIn(String id, int port, EngineSettings settings, Collection<String> models) {
		super(port);
		this.id = id;
		this.models = List.copyOf(models);
		this.model = EngineModel.startingAt(settings, System.currentTimeMillis() - settings.coldMillis());
		this.loop = new Thread(this::run, "engine-" + id);
		this.loop.setDaemon(true);
	}

	@Override
	public void start() {
		super.start();
		this.loop.start();
	}

	private void run() {
		while (this.running) {
			EngineModel.Step step;
			synchronized (this.model) {
				step = this.model.step();
			}
			if (step.millis() == 0) {
				LockSupport.parkNanos(NANOS_PER_MILLI / 2);
				continue;
			}
			LockSupport.parkNanos((long) (step.millis() * NANOS_PER_MILLI));
			step.produced().forEach(this::deliver);
		}
	}

	private void deliver(Sequence sequence) {
		this.producedTokens.incrementAndGet();
		BlockingQueue<Long> stream = this.streams.get(sequence.id());
		if (stream != null) {
			stream.add(sequence.produced());
			if (sequence.isFinished()) {
				stream.add(END_OF_ANSWER);
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
			generate(exchange);
		}
		else if (path.equals("/usage")) {
			respond(exchange, 200, this.accounts.report(bootId()));
		}
		else if (path.equals("/kv/segments")) {
			prefillSegment(exchange);
		}
		else if (path.startsWith("/kv/export/")) {
			respond(exchange, isExportable(path.substring("/kv/export/".length())) ? 200 : 404, "{}");
		}
		else if (path.startsWith("/cancel/")) {
			cancel(path.substring("/cancel/".length()));
			respond(exchange, 200, "{}");
		}
		else if (path.equals("/orders")) {
			order(exchange);
		}
		else {
			respond(exchange, 404, "{}");
		}
	}

	private void order(HttpExchange exchange) throws IOException {
		long fence = fence(exchange.getRequestHeaders());
		exchange.getRequestBody().readAllBytes();
		synchronized (this.model) {
			if (this.model.settings().checksFence() && fence < this.highestFence) {
				respond(exchange, 409, "{\"error\":\"stale fence\"}");
				return;
			}
			this.highestFence = Math.max(this.highestFence, fence);
		}
		respond(exchange, 200, "{}");
	}

	private String bootId() {
		synchronized (this.model) {
			return this.id + "-" + this.model.boots();
		}
	}

	private Load load() {
		synchronized (this.model) {
			EngineSettings settings = this.model.settings();
			long uptime = System.currentTimeMillis() - this.model.startedMillis();
			return new Load(this.id, bootId(), this.leaving, this.models, settings.slots(), settings.kvTokens(),
					settings.kvTokens() - this.model.usedKvTokens(), this.model.size(),
					settings.sustainedTokensPerSecond(), this.highestFence, uptime, this.model.parked());
		}
	}

	private static String account(HttpExchange exchange) {
		String account = exchange.getRequestHeaders().getFirst("X-Account");
		return (account != null) ? account : "";
	}

	private static long fence(Headers headers) {
		String fence = headers.getFirst("X-Fence");
		return (fence != null) ? Long.parseLong(fence) : 0;
	}

	private boolean isExportable(String key) {
		synchronized (this.model) {
			return this.model.isParked(key);
		}
	}

	private void prefillSegment(HttpExchange exchange) throws IOException {
		Headers headers = exchange.getRequestHeaders();
		exchange.getRequestBody().readAllBytes();
		if (!SegmentImports.fetch(headers.getFirst("X-Kv-Imports"))) {
			respond(exchange, 424, "{\"error\":\"segment cannot be imported\"}");
			return;
		}
		String key = headers.getFirst("X-Request-Id") + "/" + headers.getFirst("X-Attempt");
		long tokens = Long.parseLong(headers.getFirst("X-Kv-Tokens"));
		Sequence sequence = Sequence.of(key, priority(headers), tokens, 1, 0).withKvTokens(tokens).asSegment();
		BlockingQueue<Long> stream = new LinkedBlockingQueue<>();
		if (!submit(sequence, stream, fence(headers))) {
			respond(exchange, 409, "{\"error\":\"stale fence\"}");
			return;
		}
		boolean isPrefilled = false;
		try {
			isPrefilled = take(stream) != LOST;
			respond(exchange, isPrefilled ? 200 : 500, "{\"handle\":\"" + key + "\"}");
		}
		finally {
			this.streams.remove(key);
			if (!isPrefilled) {
				cancel(key);
			}
		}
	}

	private static int priority(Headers headers) {
		String priority = headers.getFirst("X-Priority");
		return (priority != null) ? Integer.parseInt(priority) : 0;
	}

	private void generate(HttpExchange exchange) throws IOException {
		Headers headers = exchange.getRequestHeaders();
		byte[] body = exchange.getRequestBody().readAllBytes();
		PromptShape shape = PromptScanner.scan(body);
		String requestId = headers.getFirst("X-Request-Id");
		String attempt = headers.getFirst("X-Attempt");
		String key = ((requestId != null) ? requestId : java.util.UUID.randomUUID()) + "/" + attempt;
		if (!SegmentImports.fetch(headers.getFirst("X-Kv-Imports"))) {
			respond(exchange, 424, "{\"error\":\"segment cannot be imported\"}");
			return;
		}
		Sequence sequence = sequence(key, shape, headers);
		String resumeFrom = headers.getFirst("X-Resume-From");
		if (resumeFrom != null) {
			sequence.resumeFrom(Long.parseLong(resumeFrom));
		}
		BlockingQueue<Long> stream = new LinkedBlockingQueue<>();
		boolean isCrash = contains(body, CRASH_MARKER);
		if (!submit(sequence, stream, fence(headers))) {
			respond(exchange, 409, "{\"error\":\"stale fence\"}");
			return;
		}
		if (isCrash) {
			crash();
		}
		try {
			writeStream(exchange, stream, sequence, shape, requestId, attempt);
		}
		finally {
			this.streams.remove(key);
			cancel(key);
		}
	}

	private static Sequence sequence(String key, PromptShape shape, Headers headers) {
		String share = headers.getFirst("X-Kv-Tokens");
		if (share == null) {
			return Sequence.of(key, priority(headers), shape.promptTokens(), shape.answerTokens(), shape.prefixHash());
		}
		long tokens = Long.parseLong(share);
		long prefill = Math.max(1, tokens - shape.answerTokens());
		return Sequence.of(key, priority(headers), prefill, shape.answerTokens(), 0).withKvTokens(tokens);
	}

	private boolean submit(Sequence sequence, BlockingQueue<Long> stream, long fence) {
		boolean bears;
		synchronized (this.model) {
			if (this.model.settings().checksFence() && fence != 0 && fence < this.highestFence) {
				return false;
			}
			this.highestFence = Math.max(this.highestFence, fence);
			this.streams.put(sequence.id(), stream);
			this.lastRequestMillis = System.currentTimeMillis();
			bears = this.model.submit(sequence, System.currentTimeMillis());
			this.highestConcurrency = Math.max(this.highestConcurrency, this.model.size());
		}
		if (!bears) {
			crash();
		}
		return true;
	}

	private void writeStream(HttpExchange exchange, BlockingQueue<Long> stream, Sequence sequence, PromptShape shape,
			String requestId, String attempt) throws IOException {
		OutputStream out = null;
		String head = "data: {\"request\":\"" + requestId + "\",\"attempt\":" + attempt + ",\"position\":";
		while (true) {
			long produced = take(stream);
			if (produced == LOST) {
				throw new IOException("engine crashed");
			}
			if (out == null) {
				exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
				exchange.sendResponseHeaders(200, 0);
				out = exchange.getResponseBody();
			}
			if (produced == END_OF_ANSWER) {
				break;
			}
			String event = head + (produced - 1) + ",\"tokens\":1,\"text\":\"w" + (produced - 1) + " \"}\n\n";
			out.write(event.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		String end = head + sequence.produced() + ",\"tokens\":0,\"text\":\"\",\"finish\":\"stop\",\"promptTokens\":"
				+ shape.promptTokens() + ",\"answerTokens\":" + sequence.produced() + "}\n\n";
		this.accounts.count(account(exchange), shape.promptTokens(), sequence.produced());
		out.write(end.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private static long take(BlockingQueue<Long> stream) throws IOException {
		try {
			return stream.take();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

	private static boolean contains(byte[] body, String marker) {
		int scanned = Math.min(body.length, 4_096);
		return new String(body, 0, scanned, StandardCharsets.ISO_8859_1).contains(marker);
	}

	private void cancel(String key) {
		synchronized (this.model) {
			this.model.cancel(key);
		}
	}

	/**
	 * Ends all streams without an answer and starts the engine again.
	 */
	public void crash() {
		synchronized (this.model) {
			long up = System.currentTimeMillis() + this.model.settings().restartMillis();
			this.downUntilMillis = up;
			this.model.restart(up);
			this.accounts.clear();
			this.streams.values().forEach((stream) -> stream.add(LOST));
		}
	}

	/**
	 * Announces that the platform is about to stop the engine.
	 * @param isLeaving whether it is leaving
	 */
	public void setLeaving(boolean isLeaving) {
		this.leaving = isLeaving;
	}

	/**
	 * Returns how often the engine has started.
	 * @return a number from 1
	 */
	public int boots() {
		synchronized (this.model) {
			return this.model.boots();
		}
	}

	/**
	 * Returns the number of requests that the engine has.
	 * @return a number from 0
	 */
	public int size() {
		synchronized (this.model) {
			return this.model.size();
		}
	}

	/**
	 * Returns the number of tokens produced since the stand-in was made.
	 * @return tokens
	 */
	public long producedTokens() {
		return this.producedTokens.get();
	}

	/**
	 * Returns when the engine got its last request.
	 * @return the time in milliseconds since the epoch, 0 if there was none
	 */
	public long lastRequestMillis() {
		synchronized (this.model) {
			return this.lastRequestMillis;
		}
	}

	/**
	 * Returns the highest fence number seen.
	 * @return a number from 0
	 */
	public long highestFence() {
		synchronized (this.model) {
			return this.highestFence;
		}
	}

	/**
	 * Returns the memory in use.
	 * @return tokens
	 */
	public long usedKvTokens() {
		synchronized (this.model) {
			return this.model.usedKvTokens();
		}
	}

	/**
	 * Returns the most requests that the engine ever had at one time.
	 * @return a number from 0
	 */
	public int highestConcurrency() {
		synchronized (this.model) {
			return this.highestConcurrency;
		}
	}

	@Override
	public void close() {
		this.running = false;
		super.close();
	}

	/**
	 * An engine's load report.
	 *
	 * @param endpoint the engine
	 * @param bootId changes with every start
	 * @param isLeaving whether the platform is about to stop it
	 * @param models the loaded models
	 * @param slots the most requests at one time
	 * @param kvTokens the size of the KV cache
	 * @param kvFreeTokens the free part of the KV cache
	 * @param running the number of requests
	 * @param prefillTokensPerSecond the prefill rate
	 * @param highestFence the highest fence number seen
	 * @param uptimeMillis the time since the start
	 * @param handles the segments of larger prompts that it holds
	 */
	public record Load(String endpoint, String bootId, boolean isLeaving, Collection<String> models, int slots,
			long kvTokens, long kvFreeTokens, int running, double prefillTokensPerSecond, long highestFence,
			long uptimeMillis, List<String> handles) {
	}

}
