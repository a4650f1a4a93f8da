package org.poplarloom.entry.process;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.usage.OwnerKey;
import org.poplarloom.core.usage.UsageBook;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.core.version.Documents;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.port.LogPort;

/**
 * Publishes the two books of an instance on the log.
 * <p>
 * A page is appended again until the log has confirmed it; a page that stands twice on
 * the log counts once. What was used since the last page is lost if the process crashes.
 * This class is thread-safe; its lock is not held during input or output.
 */
public final class UsagePublisher {

	/** The prefix of the streams that carry pages, one stream a day. */
	public static final String STREAM_PREFIX = "usage-";

	private static final Logger logger = LoggerFactory.getLogger(UsagePublisher.class);

	private static final DateTimeFormatter DAY = DateTimeFormatter.ofPattern("yyyyMMdd").withZone(ZoneOffset.UTC);

	private static final long PUBLISH_MILLIS = 5_000;

	private static final long PUBLISH_MILLIS_PER_INSTANCE = 150;

	private static final long RETAINED_MILLIS = 2 * UsageBook.Key.PERIOD_MILLIS;

	private final LogPort log;

	private final OwnerKey key;

	private final String writer;

	private final Clock clock;

	private final Map<UsagePage.Kind, UsageBook> books = new EnumMap<>(UsagePage.Kind.class);

	private final Map<UsagePage.Kind, UsagePage> published = new EnumMap<>(UsagePage.Kind.class);

	private final Map<UsagePage.Kind, UsagePage> pending = new EnumMap<>(UsagePage.Kind.class);

	private long publishedMillis;

	public UsagePublisher(LogPort log, OwnerKey key, String writer, Clock clock) {
		this.log = log;
		this.key = key;
		this.writer = writer;
		this.clock = clock;
		for (UsagePage.Kind kind : UsagePage.Kind.values()) {
			this.books.put(kind, new UsageBook());
		}
	}

	/**
	 * Returns the name under which this instance counts and signs.
	 * @return the instance and its incarnation
	 */
	public String writer() {
		return this.writer;
	}

	/**
	 * Returns one of the books.
	 * @param kind whose view
	 * @return the book
	 */
	public UsageBook book(UsagePage.Kind kind) {
		return this.books.get(kind);
	}

	/**
	 * Says whether pages are due, and if so counts them as published now.
	 * <p>
	 * The period grows with the system, so that all instances together append at most
	 * about 14 pages a second.
	 * @param instances the number of instances in the system
	 * @return true if it is time to publish
	 */
	public synchronized boolean startIfDue(int instances) {
		long now = this.clock.nowMillis();
		boolean isDue = now - this.publishedMillis >= Math.max(PUBLISH_MILLIS, PUBLISH_MILLIS_PER_INSTANCE * instances);
		if (isDue) {
			this.publishedMillis = now;
		}
		return isDue;
	}

	/**
	 * Takes over what endpoints say they have run.
	 * @param endpoint the endpoint
	 * @param usage its totals
	 */
	public void report(EndpointId endpoint, EndpointPort.EngineUsage usage) {
		for (EndpointPort.AccountTotals totals : usage.accounts()) {
			try {
				UsageBook.Key account = UsageBook.Key.parse(totals.account(), endpoint);
				this.books.get(UsagePage.Kind.ENDPOINT)
					.report(new UsageBook.Line(usage.bootId(), account,
							new UsageBook.Totals(totals.requests(), totals.promptTokens(), totals.answerTokens())));
			}
			catch (PoplarloomException ex) {
				logger.debug("endpoint {} reports {}", endpoint, ex.getMessage());
			}
		}
	}

	/**
	 * Publishes what has changed in both books.
	 * @return completes when the log has confirmed or cannot be reached
	 */
	public Mono<Void> publish() {
		return Flux.fromArray(UsagePage.Kind.values()).concatMap(this::publish).then();
	}

	private Mono<Void> publish(UsagePage.Kind kind) {
		UsagePage page = nextPage(kind);
		if (page == null) {
			return Mono.empty();
		}
		return Mono.from(this.log.append(stream(), List.of(Documents.write(page))))
			.doOnNext((offset) -> confirm(page))
			.onErrorResume((failure) -> {
				logger.debug("usage page {} is not confirmed: {}", page.sequence(), failure.getMessage());
				return Mono.empty();
			})
			.then();
	}

	private String stream() {
		return STREAM_PREFIX + DAY.format(Instant.ofEpochMilli(this.clock.nowMillis()));
	}

	private synchronized UsagePage nextPage(UsagePage.Kind kind) {
		UsagePage waiting = this.pending.get(kind);
		if (waiting != null) {
			return waiting;
		}
		List<UsageBook.Line> lines = this.books.get(kind).unpublished();
		if (lines.isEmpty()) {
			return null;
		}
		UsagePage page = UsagePage.after(this.published.get(kind), this.writer, kind, this.key, lines);
		this.pending.put(kind, page);
		return page;
	}

	private synchronized void confirm(UsagePage page) {
		this.pending.remove(page.kind());
		this.published.put(page.kind(), page);
		UsageBook book = this.books.get(page.kind());
		book.markPublished(page.lines());
		book.forget(this.clock.nowMillis() - RETAINED_MILLIS);
	}

}
