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
import org.poplarloom.core.usage.UsageLedger;
import org.poplarloom.core.usage.UsagePage;
import org.poplarloom.core.version.Documents;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.port.LogPort;

/**
 * Publishes the two usage ledgers of an instance on the log: one that counts what callers
 * used and one that counts what endpoints reported.
 * <p>
 * A page is appended again until the log has confirmed it; a page that is on the log
 * twice counts once. Usage since the last page is lost if the process crashes. This class
 * is thread-safe; its lock is not held during input or output.
 */
public final class UsagePublisher {

	/** The prefix of the names of the streams that hold pages, one stream a day. */
	public static final String STREAM_PREFIX = "usage-";

	private static final Logger logger = LoggerFactory.getLogger(UsagePublisher.class);

	private static final DateTimeFormatter DAY = DateTimeFormatter.ofPattern("yyyyMMdd").withZone(ZoneOffset.UTC);

	private static final long MIN_PUBLISH_PERIOD_MILLIS = 5_000;

	private static final long PUBLISH_PERIOD_MILLIS_PER_INSTANCE = 150;

	private static final long RETENTION_MILLIS = 2 * UsageLedger.Key.PERIOD_MILLIS;

	private final LogPort log;

	private final OwnerKey key;

	private final String writer;

	private final Clock clock;

	private final Map<UsagePage.Kind, UsageLedger> ledgers = new EnumMap<>(UsagePage.Kind.class);

	private final Map<UsagePage.Kind, UsagePage> lastConfirmed = new EnumMap<>(UsagePage.Kind.class);

	private final Map<UsagePage.Kind, UsagePage> unconfirmed = new EnumMap<>(UsagePage.Kind.class);

	private long lastPublishMillis;

	public UsagePublisher(LogPort log, OwnerKey key, String writer, Clock clock) {
		this.log = log;
		this.key = key;
		this.writer = writer;
		this.clock = clock;
		for (UsagePage.Kind kind : UsagePage.Kind.values()) {
			this.ledgers.put(kind, new UsageLedger());
		}
	}

	/**
	 * Returns the name under which this instance counts usage and signs pages.
	 * @return the instance and its incarnation
	 */
	public String writer() {
		return this.writer;
	}

	/**
	 * Returns one of the ledgers.
	 * @param kind whose view of the usage
	 * @return the ledger
	 */
	public UsageLedger ledger(UsagePage.Kind kind) {
		return this.ledgers.get(kind);
	}

	/**
	 * Returns whether pages are due and, if so, starts the next period.
	 * <p>
	 * The period grows with the number of instances, so that all instances together
	 * append at most about 14 pages a second.
	 * @param instances the number of instances in the system
	 * @return true if pages are due
	 */
	public synchronized boolean startIfDue(int instances) {
		long now = this.clock.nowMillis();
		boolean isDue = now - this.lastPublishMillis >= Math.max(MIN_PUBLISH_PERIOD_MILLIS,
				PUBLISH_PERIOD_MILLIS_PER_INSTANCE * instances);
		if (isDue) {
			this.lastPublishMillis = now;
		}
		return isDue;
	}

	/**
	 * Records the totals that an endpoint reported. An account that cannot be read is
	 * logged and skipped.
	 * @param endpoint the endpoint
	 * @param usage its totals
	 */
	public void recordEndpointUsage(EndpointId endpoint, EndpointPort.EngineUsage usage) {
		for (EndpointPort.AccountTotals totals : usage.accounts()) {
			try {
				UsageLedger.Key account = UsageLedger.Key.parse(totals.account(), endpoint);
				this.ledgers.get(UsagePage.Kind.ENDPOINT)
					.mergeTotal(new UsageLedger.Line(usage.bootId(), account,
							new UsageLedger.Totals(totals.requests(), totals.promptTokens(), totals.answerTokens())));
			}
			catch (PoplarloomException ex) {
				logger.debug("endpoint {} reported usage that cannot be counted: {}", endpoint, ex.getMessage());
			}
		}
	}

	/**
	 * Publishes what has changed in both ledgers.
	 * @return completes when the log has confirmed the pages or cannot be reached
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
				logger.debug("the log has not confirmed usage page {}: {}", page.sequence(), failure.getMessage());
				return Mono.empty();
			})
			.then();
	}

	private String stream() {
		return STREAM_PREFIX + DAY.format(Instant.ofEpochMilli(this.clock.nowMillis()));
	}

	private synchronized UsagePage nextPage(UsagePage.Kind kind) {
		UsagePage unconfirmedPage = this.unconfirmed.get(kind);
		if (unconfirmedPage != null) {
			return unconfirmedPage;
		}
		List<UsageLedger.Line> lines = this.ledgers.get(kind).unpublished();
		if (lines.isEmpty()) {
			return null;
		}
		UsagePage page = UsagePage.after(this.lastConfirmed.get(kind), this.writer, kind, this.key, lines);
		this.unconfirmed.put(kind, page);
		return page;
	}

	private synchronized void confirm(UsagePage page) {
		this.unconfirmed.remove(page.kind());
		this.lastConfirmed.put(page.kind(), page);
		UsageLedger ledger = this.ledgers.get(page.kind());
		ledger.markPublished(page.lines());
		ledger.prune(this.clock.nowMillis() - RETENTION_MILLIS);
	}

}
