package org.poplarloom.standin.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import com.sun.net.httpserver.HttpExchange;

/**
 * The platform's list of live and leaving instances.
 * <p>
 * This class is thread-safe.
 */
public final class InstanceListStandIn extends HttpStandIn {

	private final Map<String, Entry> entries = new ConcurrentSkipListMap<>();

	public InstanceListStandIn(int port) {
		super(port);
	}

	@Override
	protected void handle(HttpExchange exchange) throws IOException {
		respond(exchange, 200, new Listing(List.copyOf(this.entries.values())));
	}

	/**
	 * Adds or replaces an instance.
	 * @param entry the instance
	 */
	public void put(Entry entry) {
		this.entries.put(entry.id(), entry);
	}

	/**
	 * Removes an instance.
	 * @param id the instance
	 */
	public void remove(String id) {
		this.entries.remove(id);
	}

	/**
	 * An instance.
	 *
	 * @param id the name
	 * @param kind {@code entry}, {@code engine} or the name of a plain service
	 * @param zone the availability zone
	 * @param address the host and port
	 * @param isLeaving whether the platform is about to stop it
	 */
	public record Entry(String id, String kind, String zone, String address, boolean isLeaving) {
	}

	/**
	 * The whole list.
	 *
	 * @param instances the instances
	 */
	public record Listing(List<Entry> instances) {
	}

}
