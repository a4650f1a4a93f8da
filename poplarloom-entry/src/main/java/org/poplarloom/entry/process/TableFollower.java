package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.port.KeyedTablePort.Entry;
import org.poplarloom.port.KeyedTablePort.Page;
import org.poplarloom.wire.message.Message;

/**
 * Keeps an up-to-date copy of a platform table.
 * <p>
 * A record replaces only an older record of its key, so the copy never goes back. While
 * the platform cannot be read, records are fetched from peers. The listener runs on the
 * scheduler's thread. This class is thread-safe; one lock guards the copy and no other
 * lock is taken while it is held.
 */
public final class TableFollower {

	private static final Logger logger = LoggerFactory.getLogger(TableFollower.class);

	/** The store can serve only some hundred calls a second from all instances. */
	private static final long RETRY_DELAY_MILLIS = 400;

	private static final long TIMING_CHECK_MILLIS = 250;

	/**
	 * Leaves the platform time to deliver records that a peer has already read before
	 * they are fetched from a peer.
	 */
	private static final long PEER_FETCH_DELAY_MILLIS = 250;

	private static final long NOTHING_READ = -1;

	private final String table;

	private final KeyedTablePort port;

	private final Supplier<Timing> timing;

	private final ScheduledExecutorService scheduler;

	private final Function<Message, CompletableFuture<Message>> peerRequests;

	private final Consumer<Message> peerNotices;

	private final Consumer<List<Entry>> listener;

	private final Clock clock;

	private final Map<String, Entry> records = new HashMap<>();

	private volatile long nextOffset = NOTHING_READ;

	private volatile boolean unavailable;

	private volatile long recoveredMillis;

	private long lastReadMillis;

	/**
	 * Creates a follower, which does nothing until it is started.
	 * @param table the name of the table
	 * @param port the platform
	 * @param timing supplies the current timing of the reads
	 * @param scheduler runs the reads and the listener
	 * @param peerRequests sends a request to one peer
	 * @param peerNotices sends a notice to a few peers
	 * @param listener takes the new records of each read, which are not empty; a record
	 * that it cannot apply must not keep it from applying the others
	 * @param clock the source of the time
	 */
	public TableFollower(String table, KeyedTablePort port, Supplier<Timing> timing, ScheduledExecutorService scheduler,
			Function<Message, CompletableFuture<Message>> peerRequests, Consumer<Message> peerNotices,
			Consumer<List<Entry>> listener, Clock clock) {
		this.table = table;
		this.port = port;
		this.timing = timing;
		this.scheduler = scheduler;
		this.peerRequests = peerRequests;
		this.peerNotices = peerNotices;
		this.listener = listener;
		this.clock = clock;
	}

	/**
	 * Starts to read the table.
	 */
	public void start() {
		this.scheduler.execute(this::readNext);
	}

	private void readNext() {
		long from = this.nextOffset;
		CompletableFuture<Page> page = (from == NOTHING_READ) ? this.port.readNewest(this.table)
				: this.port.read(this.table, from, this.timing.get().waitMillis());
		page.whenCompleteAsync((read, failure) -> {
			try {
				handleRead(from, read, failure);
			}
			catch (RuntimeException ex) {
				logger.error("table={} event=listener_failed", this.table, ex);
				readAfter(RETRY_DELAY_MILLIS);
			}
		}, this.scheduler);
	}

	private void handleRead(long from, Page page, Throwable failure) {
		if (failure != null) {
			recordFailure(failure);
			fetchFromPeer();
			readAfter(RETRY_DELAY_MILLIS);
			return;
		}
		recordSuccess();
		if (page.isExpired()) {
			logger.info("table={} event=history_expired offset={}", this.table, from);
			this.port.readNewest(this.table).whenCompleteAsync((snapshot, snapshotFailure) -> {
				if (snapshotFailure == null) {
					applySnapshot(snapshot);
				}
				readAfter(RETRY_DELAY_MILLIS);
			}, this.scheduler);
			return;
		}
		if (from == NOTHING_READ) {
			applySnapshot(page);
		}
		else {
			apply(page.records(), page.nextOffset());
		}
		this.lastReadMillis = this.clock.nowMillis();
		readWhenDue();
	}

	// The timing may change during the pause, so it is checked periodically.
	private void readWhenDue() {
		long remainingMillis = this.lastReadMillis + this.timing.get().pauseMillis() - this.clock.nowMillis();
		if (remainingMillis <= 0) {
			readNext();
		}
		else if (!this.scheduler.isShutdown()) {
			this.scheduler.schedule(this::readWhenDue, Math.min(remainingMillis, TIMING_CHECK_MILLIS),
					TimeUnit.MILLISECONDS);
		}
	}

	private void readAfter(long delayMillis) {
		if (!this.scheduler.isShutdown()) {
			this.scheduler.schedule(this::readNext, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	// A key that the snapshot lacks was removed, unless the snapshot is older than the
	// copy.
	private void applySnapshot(Page page) {
		List<Entry> entries = new ArrayList<>(page.records());
		Set<String> present = entries.stream().map(Entry::key).collect(Collectors.toSet());
		if (page.nextOffset() >= this.nextOffset) {
			for (Entry known : copyRecords()) {
				if (!present.contains(known.key()) && !known.isTombstone()) {
					entries.add(new Entry(known.key(), new byte[0], page.nextOffset() - 1));
				}
			}
		}
		apply(entries, page.nextOffset());
	}

	private synchronized List<Entry> copyRecords() {
		return new ArrayList<>(this.records.values());
	}

	private void apply(List<Entry> entries, long newNextOffset) {
		boolean isFirstRead = this.nextOffset == NOTHING_READ;
		List<Entry> newRecords = entries.stream().filter(this::putIfNewer).toList();
		if (!newRecords.isEmpty()) {
			this.listener.accept(newRecords);
		}
		this.nextOffset = Math.max(this.nextOffset, newNextOffset);
		if (!newRecords.isEmpty() && !isFirstRead) {
			this.peerNotices.accept(new Message.TableNotice(this.table, this.nextOffset));
		}
	}

	/**
	 * Handles a peer's notice that there are new records.
	 * <p>
	 * If the platform does not deliver them soon, they are fetched from a peer.
	 * @param peerNextOffset the offset after the last record that the peer has read
	 */
	public void handleNotice(long peerNextOffset) {
		this.scheduler.schedule(() -> {
			if (this.nextOffset < peerNextOffset) {
				fetchFromPeer();
			}
		}, PEER_FETCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized boolean putIfNewer(Entry entry) {
		Entry known = this.records.get(entry.key());
		if (known != null && known.offset() >= entry.offset()) {
			return false;
		}
		this.records.put(entry.key(), entry);
		return true;
	}

	private void recordFailure(Throwable failure) {
		if (!this.unavailable) {
			this.unavailable = true;
			logger.warn("table={} event=platform_lost offset={} cause=\"{}\"", this.table, this.nextOffset,
					failure.getMessage());
		}
	}

	private void recordSuccess() {
		if (this.unavailable) {
			this.unavailable = false;
			this.recoveredMillis = this.clock.nowMillis();
			logger.info("table={} event=platform_regained offset={}", this.table, this.nextOffset);
		}
	}

	private void fetchFromPeer() {
		this.peerRequests.apply(new Message.TableFetch(this.table, this.nextOffset))
			.whenCompleteAsync((reply, failure) -> {
				if (reply instanceof Message.TableContent content && content.nextOffset() > this.nextOffset) {
					List<Entry> entries = content.records().stream().map(TableFollower::toEntry).toList();
					logger.info("table={} event=learnt_from_peer records={} offset={}", this.table, entries.size(),
							content.nextOffset());
					apply(entries, content.nextOffset());
				}
			}, this.scheduler);
	}

	private static Entry toEntry(Message.TableRecord message) {
		return new Entry(message.key(), message.value().getBytes(StandardCharsets.UTF_8), message.offset());
	}

	/**
	 * Returns the records that a peer lacks.
	 * @param offset the offset after the last record that the peer has
	 * @return a message with the newest record of each key that changed from that offset
	 * on
	 */
	public synchronized Message recordsSince(long offset) {
		List<Message.TableRecord> found = new ArrayList<>();
		for (Entry entry : this.records.values()) {
			if (entry.offset() >= offset) {
				found.add(new Message.TableRecord(entry.key(), new String(entry.value(), StandardCharsets.UTF_8),
						entry.offset()));
			}
		}
		return new Message.TableContent(this.table, this.nextOffset, found);
	}

	/**
	 * Returns the name of the table.
	 * @return the name
	 */
	public String table() {
		return this.table;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return an offset, negative if nothing has been read yet
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns whether the last read from the platform failed.
	 * @return true until a read succeeds
	 */
	public boolean isPlatformUnavailable() {
		return this.unavailable;
	}

	/**
	 * Returns when the platform could last be read again after an outage.
	 * @return the time in milliseconds since the epoch, 0 if there was no outage
	 */
	public long recoveredMillis() {
		return this.recoveredMillis;
	}

	/**
	 * How long a read waits and how often the table is read.
	 *
	 * @param waitMillis how long a read waits for a record, in milliseconds
	 * @param pauseMillis the time between two reads, in milliseconds
	 */
	public record Timing(long waitMillis, long pauseMillis) {
	}

}
