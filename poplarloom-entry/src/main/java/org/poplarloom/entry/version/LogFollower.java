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
 * Reads the configuration stream and applies each record.
 * <p>
 * Reading starts after the configuration in force. If retention has dropped records that
 * were not read, the next snapshot restores them. This class is thread-safe.
 */
public final class LogFollower implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(LogFollower.class);

	private static final long WAIT_MILLIS = 10_000;

	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	private final LogPort log;

	private final ConfigurationKeeper keeper;

	private final Scheduler scheduler;

	private volatile boolean connected;

	private volatile long firstRetained;

	private volatile long next;

	private volatile boolean caughtUp;

	private Disposable loop;

	public LogFollower(LogPort log, ConfigurationKeeper keeper, Scheduler scheduler) {
		this.log = log;
		this.keeper = keeper;
		this.scheduler = scheduler;
	}

	/**
	 * Starts to follow.
	 */
	public void start() {
		this.loop = Mono
			.defer(() -> Mono.from(this.log.read(ConfigurationStream.NAME, this.keeper.nextOffset(), waitMillis())))
			.publishOn(this.scheduler)
			.doOnNext(this::apply)
			.doOnError((failure) -> lost(failure))
			.retryWhen(reactor.util.retry.Retry.fixedDelay(Long.MAX_VALUE, RETRY_DELAY))
			.repeat()
			.subscribe();
	}

	private long waitMillis() {
		return this.caughtUp ? WAIT_MILLIS : 0;
	}

	private void lost(Throwable failure) {
		if (this.connected) {
			logger.warn("log cannot be read: {}", failure.getMessage());
		}
		this.connected = false;
	}

	private void apply(LogPort.Page page) {
		this.connected = true;
		this.firstRetained = page.first();
		page.records().forEach(this::apply);
		this.next = page.next();
		this.caughtUp = this.keeper.nextOffset() >= page.next();
	}

	private void apply(LogPort.Entry entry) {
		StreamRecord read;
		try {
			read = Documents.read(entry.value(), StreamRecord.class);
		}
		catch (RuntimeException ex) {
			logger.error("configuration record {} cannot be read: {}", entry.offset(), ex.getMessage());
			this.keeper.read(entry.offset(), (Publication) null);
			return;
		}
		if (read.snapshot() != null) {
			this.keeper.read(entry.offset(), read.snapshot());
		}
		else {
			this.keeper.read(entry.offset(), read.publication());
		}
	}

	/**
	 * Says whether the log answered the last read.
	 * @return true if it did
	 */
	public boolean isConnected() {
		return this.connected;
	}

	/**
	 * Says whether everything on the log has been applied.
	 * @return true if the last read reached the end
	 */
	public boolean isCaughtUp() {
		return this.caughtUp;
	}

	/**
	 * Returns the offset after the last record of the log.
	 * @return the offset at the last read
	 */
	public long next() {
		return this.next;
	}

	/**
	 * Returns the first offset that the log retains.
	 * @return the offset at the last read
	 */
	public long firstRetained() {
		return this.firstRetained;
	}

	@Override
	public void close() {
		if (this.loop != null) {
			this.loop.dispose();
		}
	}

}
