package org.poplarloom.entry.version;

import java.time.Duration;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.entry.version.ConfigurationStream.StreamRecord;
import org.poplarloom.port.LogPort;

/**
 * Reads the configuration stream of the log and applies each record.
 * <p>
 * Reading starts after the offset of the configuration in force. If retention has dropped
 * records that were not read, the next snapshot or a peer's configuration closes the gap.
 * This class is thread-safe.
 */
public final class ConfigurationFollower implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationFollower.class);

	private static final long LONG_POLL_MILLIS = 10_000;

	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	private final LogPort log;

	private final ActiveConfiguration activeConfiguration;

	private final Scheduler scheduler;

	private volatile boolean connected;

	private volatile long firstRetainedOffset;

	private volatile long endOffset;

	private volatile boolean caughtUp;

	private Disposable subscription;

	public ConfigurationFollower(LogPort log, ActiveConfiguration activeConfiguration, Scheduler scheduler) {
		this.log = log;
		this.activeConfiguration = activeConfiguration;
		this.scheduler = scheduler;
	}

	/**
	 * Starts reading.
	 */
	public void start() {
		this.subscription = Mono
			.defer(() -> Mono
				.from(this.log.read(ConfigurationStream.NAME, this.activeConfiguration.nextOffset(), waitMillis())))
			.publishOn(this.scheduler)
			.doOnNext(this::apply)
			.doOnError(this::disconnected)
			.retryWhen(reactor.util.retry.Retry.fixedDelay(Long.MAX_VALUE, RETRY_DELAY))
			.repeat()
			.subscribe();
	}

	private long waitMillis() {
		return this.caughtUp ? LONG_POLL_MILLIS : 0;
	}

	private void disconnected(Throwable failure) {
		if (this.connected) {
			logger.warn("reading the configuration from the log failed, retrying: {}", failure.getMessage());
		}
		this.connected = false;
	}

	private void apply(LogPort.Page page) {
		this.connected = true;
		this.firstRetainedOffset = page.first();
		page.records().forEach(this::apply);
		this.endOffset = page.next();
		this.caughtUp = this.activeConfiguration.nextOffset() >= page.next();
	}

	private void apply(LogPort.Entry entry) {
		StreamRecord streamRecord;
		try {
			streamRecord = Documents.read(entry.value(), StreamRecord.class);
		}
		catch (RuntimeException ex) {
			logger.error("configuration record at offset {} cannot be parsed and is skipped: {}", entry.offset(),
					ex.getMessage());
			this.activeConfiguration.apply(entry.offset(), (Publication) null);
			return;
		}
		if (streamRecord.snapshot() != null) {
			this.activeConfiguration.apply(entry.offset(), streamRecord.snapshot());
		}
		else {
			this.activeConfiguration.apply(entry.offset(), streamRecord.publication());
		}
	}

	/**
	 * Returns whether the last read of the log succeeded.
	 * @return false before the first read
	 */
	public boolean isConnected() {
		return this.connected;
	}

	/**
	 * Returns whether all records of the log have been applied.
	 * @return true if the last read reached the end of the log
	 */
	public boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Returns the offset after the last record of the log.
	 * @return the offset at the last read
	 */
	public long endOffset() {
		return this.endOffset;
	}

	/**
	 * Returns the first offset that the log retains.
	 * @return the offset at the last read
	 */
	public long firstRetainedOffset() {
		return this.firstRetainedOffset;
	}

	@Override
	public void close() {
		if (this.subscription != null) {
			this.subscription.dispose();
		}
	}

}
