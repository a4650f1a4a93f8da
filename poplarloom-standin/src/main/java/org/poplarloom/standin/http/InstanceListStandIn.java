package org.poplarloom.standin.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;

/**
 * An HTTP server with the platform's list of live and draining instances.
 * <p>
 * If a request has the parameter {@code zone}, the list omits the engines of other zones.
 * A request with the current entity tag gets status 304. This class is thread-safe.
 */
public final class InstanceListStandIn extends HttpStandIn {

	private static final String ENGINE_KIND = "engine";

	private final Map<String, Entry> entries = new ConcurrentSkipListMap<>();

	private final AtomicLong listVersion = new AtomicLong();

	public InstanceListStandIn(int port) {
		super(port);
	}

	@Override
	protected void handle(HttpExchange exchange) throws IOException {
		String zone = query(exchange).get("zone");
		String entityTag = "\"" + this.listVersion.get() + "\"";
		if (entityTag.equals(exchange.getRequestHeaders().getFirst("If-None-Match"))) {
			exchange.sendResponseHeaders(304, -1);
			return;
		}
		exchange.getResponseHeaders().set("ETag", entityTag);
		List<Entry> listed = this.entries.values()
			.stream()
			.filter((entry) -> !entry.kind().equals(ENGINE_KIND) || zone == null || entry.zone().equals(zone))
			.toList();
		respond(exchange, 200, new Listing(listed));
	}

	/**
	 * Adds or replaces an instance.
	 * @param entry the instance
	 */
	public void put(Entry entry) {
		this.entries.put(entry.id(), entry);
		this.listVersion.incrementAndGet();
	}

	/**
	 * Removes an instance.
	 * @param id the id of the instance
	 */
	public void remove(String id) {
		this.entries.remove(id);
		this.listVersion.incrementAndGet();
	}

	/**
	 * An instance in the list.
	 *
	 * @param id the id
	 * @param kind {@code entry}, {@code engine} or the name of a plain service
	 * @param zone the availability zone
	 * @param address the host and port
	 * @param isLeaving whether the instance is draining
	 */
	public record Entry(String id, String kind, String zone, String address, boolean isLeaving) {
	}

	/**
	 * The response with the list.
	 *
	 * @param instances the listed instances
	 */
	public record Listing(List<Entry> instances) {
	}

}
