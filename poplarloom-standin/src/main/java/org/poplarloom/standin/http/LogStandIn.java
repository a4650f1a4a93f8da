package org.poplarloom.standin.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;

import org.poplarloom.core.version.Documents;

/**
 * An append-only log service with named streams, offsets and limited retention.
 * <p>
 * Offsets of a stream count from 0 without gaps. This class is thread-safe.
 */
public final class LogStandIn extends HttpStandIn {

	private static final int LARGEST_PAGE = 1_000;

	private final Map<String, Stream> streams = new TreeMap<>();

	private final AtomicLong appends = new AtomicLong();

	public LogStandIn(int port) {
		super(port);
	}

	@Override
	protected void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (path.equals("/streams")) {
			respond(exchange, 200, names(query(exchange).getOrDefault("prefix", "")));
			return;
		}
		String name = path.substring("/streams/".length(), path.length() - "/records".length());
		if (exchange.getRequestMethod().equals("POST")) {
			long offset = append(name, Documents.read(readText(exchange), Batch.class).records());
			respond(exchange, 200, Map.of("offset", offset));
			return;
		}
		Map<String, String> parameters = query(exchange);
		long from = Long.parseLong(parameters.getOrDefault("from", "0"));
		long waitMillis = Long.parseLong(parameters.getOrDefault("waitMillis", "0"));
		respond(exchange, 200, read(name, from, waitMillis));
	}

	private synchronized List<String> names(String prefix) {
		return this.streams.keySet().stream().filter((name) -> name.startsWith(prefix)).toList();
	}

	/**
	 * Appends records to a stream.
	 * @param name the stream
	 * @param records the records
	 * @return the offset of the first one
	 */
	public synchronized long append(String name, List<String> records) {
		this.appends.incrementAndGet();
		Stream stream = this.streams.computeIfAbsent(name, (key) -> new Stream());
		long offset = stream.first + stream.records.size();
		stream.records.addAll(records);
		notifyAll();
		return offset;
	}

	private synchronized Page read(String name, long from, long waitMillis) {
		long end = System.currentTimeMillis() + waitMillis;
		Stream stream = this.streams.computeIfAbsent(name, (key) -> new Stream());
		while (from >= stream.first + stream.records.size() && !faults().isDown()) {
			long left = end - System.currentTimeMillis();
			if (left <= 0) {
				break;
			}
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
		}
		return page(stream, from);
	}

	private static Page page(Stream stream, long from) {
		long start = Math.max(from, stream.first);
		List<Entry> entries = new ArrayList<>();
		long next = stream.first + stream.records.size();
		for (long at = start; at < next && entries.size() < LARGEST_PAGE; at++) {
			entries.add(new Entry(at, stream.records.get((int) (at - stream.first))));
		}
		return new Page(stream.first, next, entries);
	}

	/**
	 * Drops the records of a stream before an offset, as retention does.
	 * @param name the stream
	 * @param before the first offset to keep
	 */
	public synchronized void expire(String name, long before) {
		Stream stream = this.streams.get(name);
		int dropped = (int) Math.min(stream.records.size(), Math.max(0, before - stream.first));
		stream.records.subList(0, dropped).clear();
		stream.first += dropped;
	}

	/**
	 * Returns the number of append calls that took effect.
	 * @return a number from 0
	 */
	public long appends() {
		return this.appends.get();
	}

	/**
	 * A stream's retained records.
	 */
	private static final class Stream {

		private final List<String> records = new ArrayList<>();

		private long first;

	}

	/**
	 * Records to append.
	 *
	 * @param records the records
	 */
	public record Batch(List<String> records) {
	}

	/**
	 * One retained record.
	 *
	 * @param offset the offset
	 * @param value the record
	 */
	public record Entry(long offset, String value) {
	}

	/**
	 * A part of a stream.
	 *
	 * @param first the offset of the first retained record
	 * @param next the offset after the last record
	 * @param records the records read
	 */
	public record Page(long first, long next, List<Entry> records) {
	}

}
