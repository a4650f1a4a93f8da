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
 * An HTTP server with an append-only log of named streams, with limited retention.
 * <p>
 * The offsets of a stream start at 0 and have no gaps. This class is thread-safe.
 */
public final class LogStandIn extends HttpStandIn {

	private static final int MAX_PAGE_RECORDS = 1_000;

	private final Map<String, Stream> streams = new TreeMap<>();

	private final AtomicLong appendCount = new AtomicLong();

	public LogStandIn(int port) {
		super(port);
	}

	@Override
	protected void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (path.equals("/streams")) {
			respond(exchange, 200, streamNames(query(exchange).getOrDefault("prefix", "")));
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

	private synchronized List<String> streamNames(String prefix) {
		return this.streams.keySet().stream().filter((name) -> name.startsWith(prefix)).toList();
	}

	/**
	 * Appends records to a stream.
	 * @param name the name of the stream, which is created if it does not exist
	 * @param records the records
	 * @return the offset of the first appended record
	 */
	public synchronized long append(String name, List<String> records) {
		this.appendCount.incrementAndGet();
		Stream stream = this.streams.computeIfAbsent(name, (key) -> new Stream());
		long offset = stream.firstOffset + stream.records.size();
		stream.records.addAll(records);
		notifyAll();
		return offset;
	}

	private synchronized Page read(String name, long from, long waitMillis) {
		long deadlineMillis = System.currentTimeMillis() + waitMillis;
		Stream stream = this.streams.computeIfAbsent(name, (key) -> new Stream());
		while (from >= stream.firstOffset + stream.records.size() && !faults().isDown()) {
			long remainingMillis = deadlineMillis - System.currentTimeMillis();
			if (remainingMillis <= 0) {
				break;
			}
			try {
				wait(remainingMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
		}
		return readPage(stream, from);
	}

	private static Page readPage(Stream stream, long from) {
		long start = Math.max(from, stream.firstOffset);
		List<Entry> entries = new ArrayList<>();
		long nextOffset = stream.firstOffset + stream.records.size();
		for (long offset = start; offset < nextOffset && entries.size() < MAX_PAGE_RECORDS; offset++) {
			entries.add(new Entry(offset, stream.records.get((int) (offset - stream.firstOffset))));
		}
		return new Page(stream.firstOffset, nextOffset, entries);
	}

	/**
	 * Removes the records of a stream before an offset, as if their retention had ended.
	 * @param name the name of the stream, which must exist
	 * @param before the first offset to keep
	 */
	public synchronized void expire(String name, long before) {
		Stream stream = this.streams.get(name);
		int removed = (int) Math.min(stream.records.size(), Math.max(0, before - stream.firstOffset));
		stream.records.subList(0, removed).clear();
		stream.firstOffset += removed;
	}

	/**
	 * Returns the number of append calls that took effect.
	 * @return a number from 0
	 */
	public long appendCount() {
		return this.appendCount.get();
	}

	/**
	 * The retained records of a stream.
	 */
	private static final class Stream {

		private final List<String> records = new ArrayList<>();

		private long firstOffset;

	}

	/**
	 * A request to append records.
	 *
	 * @param records the records
	 */
	public record Batch(List<String> records) {
	}

	/**
	 * One retained record.
	 *
	 * @param offset the offset in the stream
	 * @param value the text of the record
	 */
	public record Entry(long offset, String value) {
	}

	/**
	 * A page of consecutive records of a stream.
	 *
	 * @param first the offset of the first retained record
	 * @param next the offset that the next appended record will get
	 * @param records the records of the page
	 */
	public record Page(long first, long next, List<Entry> records) {
	}

}
