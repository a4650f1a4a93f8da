package org.poplarloom.standin.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import org.poplarloom.core.version.Documents;

/**
 * An HTTP server on the loopback address with injected faults.
 * <p>
 * Several threads handle requests at the same time. This class is thread-safe, and
 * subclasses must be.
 */
public abstract class HttpStandIn implements AutoCloseable {

	private static final String NO_DELAY_PROPERTY = "sun.net.httpserver.nodelay";

	private static final int ACCEPT_BACKLOG = 1024;

	private final Faults faults = new Faults();

	private final HttpServer server;

	private final ExecutorService executor;

	static {
		System.setProperty(NO_DELAY_PROPERTY, "true");
	}

	protected HttpStandIn(int port) {
		ThreadFactory factory = (task) -> {
			Thread thread = new Thread(task, getClass().getSimpleName());
			thread.setDaemon(true);
			return thread;
		};
		this.executor = Executors.newCachedThreadPool(factory);
		try {
			this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), ACCEPT_BACKLOG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::dispatch);
	}

	/**
	 * Starts to accept requests.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * Returns the address.
	 * @return the host and port
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/**
	 * Returns the base URL.
	 * @return the URL without a trailing slash
	 */
	public String url() {
		return "http://" + address();
	}

	/**
	 * Returns the faults to inject.
	 * @return the faults of this stand-in
	 */
	public Faults faults() {
		return this.faults;
	}

	private void dispatch(HttpExchange exchange) {
		try (exchange) {
			if (this.faults.isDown()) {
				respond(exchange, 503, "{\"error\":\"down\"}");
				return;
			}
			handle(exchange);
		}
		catch (IOException | IllegalStateException ex) {
			exchange.close();
		}
	}

	protected abstract void handle(HttpExchange exchange) throws IOException;

	protected void respond(HttpExchange exchange, int status, Object body) throws IOException {
		if (this.faults.isNextResponseDropped()) {
			exchange.close();
			return;
		}
		String text = (body instanceof String json) ? json : Documents.write(body);
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
		exchange.getResponseBody().write(bytes);
	}

	protected static String readText(HttpExchange exchange) throws IOException {
		return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
	}

	protected static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> parameters = new HashMap<>();
		String query = exchange.getRequestURI().getQuery();
		if (query != null) {
			for (String pair : query.split("&")) {
				String[] parts = pair.split("=", 2);
				parameters.put(parts[0], (parts.length > 1) ? parts[1] : "");
			}
		}
		return parameters;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

}
