package org.poplarloom.standin.http;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import com.sun.net.httpserver.HttpExchange;

/**
 * A plain service that counts how many times each order takes effect.
 * <p>
 * This class is thread-safe.
 */
public final class ServiceStandIn extends HttpStandIn {

	private final Map<String, Integer> executionCounts = new ConcurrentHashMap<>();

	private volatile long answerDelayMillis;

	private final AtomicReference<Crash> nextCrash = new AtomicReference<>(Crash.NONE);

	public ServiceStandIn(int port) {
		super(port);
	}

	@Override
	protected void handle(HttpExchange exchange) throws IOException {
		String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
		String body = readText(exchange);
		Crash crash = this.nextCrash.getAndSet(Crash.NONE);
		if (crash == Crash.BEFORE_EFFECT) {
			exchange.close();
			return;
		}
		int count = this.executionCounts.merge((key != null) ? key : body, 1, Integer::sum);
		if (crash == Crash.AFTER_EFFECT) {
			exchange.close();
			return;
		}
		pause(this.answerDelayMillis);
		respond(exchange, 200, Map.of("accepted", true, "count", count));
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Delays each answer, after the order took effect.
	 * @param millis the delay in milliseconds
	 */
	public void delayAnswers(long millis) {
		this.answerDelayMillis = millis;
	}

	/**
	 * Closes the connection of the next request without a response.
	 * @param crash when the connection is closed
	 */
	public void crashNext(Crash crash) {
		this.nextCrash.set(crash);
	}

	/**
	 * Returns how many times each order took effect.
	 * @return counts by idempotency key, or by body for requests without a key
	 */
	public Map<String, Integer> executionCounts() {
		return Map.copyOf(this.executionCounts);
	}

	/**
	 * When the connection of a request is closed without a response.
	 */
	public enum Crash {

		/** Never: the request gets a response. */
		NONE,
		/** Before the order takes effect. */
		BEFORE_EFFECT,
		/** After the order took effect. */
		AFTER_EFFECT

	}

}
