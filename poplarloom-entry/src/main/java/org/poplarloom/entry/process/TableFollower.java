package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
 * the platform cannot be read, records are fetched from peers, which read the table for
 * this instance. The listener runs on the scheduler's thread. This class is thread-safe;
 * one lock guards the copy and no other lock is taken while it is held.
 */
public final class TableFollower {

	private static final Logger logger = LoggerFactory.getLogger(TableFollower.class);

	/**
	 * The shortest time from the start of a read that fails to the next one: the store
	 * can serve only some hundred calls a second from all instances.
	 */
	private static final long RETRY_PERIOD_MILLIS = 400;

	private static final long TIMING_CHECK_MILLIS = 250;

	/**
	 * Leaves the platform time to deliver records that a peer has already read before
	 * they are fetched from that peer.
	 */
	private static final long PEER_FETCH_DELAY_MILLIS = 150;

	private static final long PEER_FETCH_PERIOD_MILLIS = 300;

	/** A peer that still names the offset starts the attempts again. */
	private static final int MAX_PEER_FETCHES = 10;

	/** While the platform cannot be read, peers are queried this often. */
	private static final long PEER_QUERY_PERIOD_MILLIS = 400;

	/** A copy is read again for a peer if its last read is at least this old. */
	private static final long MIN_REFRESH_AGE_MILLIS = 400;

	private static final long NOTHING_READ = -1;

	private final String table;

	private final KeyedTablePort port;

	private final Supplier<ReadTiming> timing;

	private final ScheduledExecutorService scheduler;

	private final TablePeers peers;

	private final Consumer<List<Entry>> listener;

	private final Clock clock;

	private final Random random;

	private final Map<String, Entry> records = new HashMap<>();

	private volatile long nextOffset = NOTHING_READ;

	private volatile boolean unavailable;

	private volatile long recoveredMillis;

	private long readStartMillis;

	private boolean readInProgress;

	private long lastReadMillis;

	/** Where the current pause lies between the shortest and the longest, 0 to 1. */
	private double pauseFraction;

	private volatile long confirmedMillis;

	private long readNumber;

	private ScheduledFuture<?> pendingRead;

	private ScheduledFuture<?> pendingQuery;

	private long awaitedOffset = NOTHING_READ;

	/** The address of the last peer that has named the awaited offset. */
	private String informant = "";

	/**
	 * Creates a follower, which does nothing until it is started.
	 * @param table the name of the table
	 * @param port the platform
	 * @param timing supplies the current timing of the reads
	 * @param scheduler runs the reads and the listener, on one thread
	 * @param peers the other instances
	 * @param listener takes the new records of each read, which are not empty; a record
	 * that it cannot apply must not keep it from applying the others
	 * @param clock the source of the time
	 * @param random draws the pauses between reads
	 */
	public TableFollower(String table, KeyedTablePort port, Supplier<ReadTiming> timing,
			ScheduledExecutorService scheduler, TablePeers peers, Consumer<List<Entry>> listener, Clock clock,
			Random random) {
		this.table = table;
		this.port = port;
		this.timing = timing;
		this.scheduler = scheduler;
		this.peers = peers;
		this.listener = listener;
		this.clock = clock;
		this.random = random;
		this.confirmedMillis = clock.nowMillis();
	}

	/**
	 * Starts to read the table.
	 */
	public void start() {
		this.scheduler.execute(this::readNext);
	}

	private void readNext() {
		long from = this.nextOffset;
		long number = ++this.readNumber;
		if (this.pendingRead != null) {
			this.pendingRead.cancel(false);
		}
		this.readStartMillis = this.clock.nowMillis();
		this.readInProgress = true;
		CompletableFuture<Page> page = (from == NOTHING_READ) ? this.port.readNewest(this.table)
				: this.port.read(this.table, from, waitMillis());
		page.whenCompleteAsync((read, failure) -> {
			if (number != this.readNumber) {
				return;
			}
			this.readInProgress = false;
			try {
				handleRead(from, read, failure);
			}
			catch (RuntimeException ex) {
				logger.error("table={} event=listener_failed", this.table, ex);
				retryWhenDue();
			}
		}, this.scheduler);
	}

	// During an outage, a read that waits would notice only after the wait that it was
	// lost too.
	private long waitMillis() {
		return this.unavailable ? 0 : this.timing.get().waitMillis();
	}

	private void handleRead(long from, Page page, Throwable failure) {
		if (failure != null) {
			recordFailure(failure);
			retryWhenDue();
			return;
		}
		recordSuccess();
		this.confirmedMillis = this.clock.nowMillis();
		if (page.isExpired()) {
			logger.info("table={} event=history_expired offset={}", this.table, from);
			this.port.readNewest(this.table).whenCompleteAsync((snapshot, snapshotFailure) -> {
				if (snapshotFailure == null) {
					applySnapshot(snapshot);
				}
				retryWhenDue();
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
		this.pauseFraction = this.random.nextDouble();
		readWhenDue();
	}

	// The timing may change during the pause, so it is checked periodically.
	private void readWhenDue() {
		long remainingMillis = this.lastReadMillis + this.timing.get().pauseMillis(this.pauseFraction)
				- this.clock.nowMillis();
		if (remainingMillis <= 0) {
			readNext();
		}
		else if (!this.scheduler.isShutdown()) {
			this.pendingRead = this.scheduler.schedule(this::readWhenDue,
					Math.min(remainingMillis, TIMING_CHECK_MILLIS), TimeUnit.MILLISECONDS);
		}
	}

	private void retryWhenDue() {
		if (!this.scheduler.isShutdown()) {
			long delayMillis = this.readStartMillis + RETRY_PERIOD_MILLIS - this.clock.nowMillis();
			this.pendingRead = this.scheduler.schedule(this::readNext, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
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
			this.peers.notifySome(new Message.TableNotice(this.table, this.nextOffset));
		}
	}

	/**
	 * Handles the offset that a peer has read.
	 * <p>
	 * If the platform does not deliver the records soon, they are fetched from the peer
	 * and from others until they are there, and the read in progress is given up as lost.
	 * @param address the host and port of the peer
	 * @param peerNextOffset the offset after the last record that the peer has read
	 */
	public void handlePeerOffset(String address, long peerNextOffset) {
		if (peerNextOffset > this.nextOffset) {
			this.scheduler.execute(() -> awaitOffset(address, peerNextOffset));
		}
	}

	// The last peer that has named the offset is the most likely one to be reachable.
	private void awaitOffset(String address, long offset) {
		if (offset >= this.awaitedOffset) {
			this.informant = address;
		}
		if (offset > this.awaitedOffset) {
			this.awaitedOffset = offset;
			this.scheduler.schedule(() -> fetchAwaited(offset, 0), PEER_FETCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void fetchAwaited(long offset, int fetches) {
		if (this.nextOffset >= offset || fetches >= MAX_PEER_FETCHES || this.scheduler.isShutdown()) {
			if (this.awaitedOffset == offset) {
				this.awaitedOffset = NOTHING_READ;
			}
			return;
		}
		boolean asksInformant = fetches % 2 == 0;
		fetch(asksInformant ? this.peers.query(this.informant, fetchMessage()) : this.peers.queryAny(fetchMessage()));
		if (fetches == 0 && this.readInProgress) {
			readNext();
		}
		this.scheduler.schedule(() -> fetchAwaited(offset, fetches + 1), PEER_FETCH_PERIOD_MILLIS,
				TimeUnit.MILLISECONDS);
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
			queryPeers();
		}
	}

	private void queryPeers() {
		if (this.pendingQuery != null) {
			this.pendingQuery.cancel(false);
		}
		if (this.unavailable && !this.scheduler.isShutdown()) {
			fetch(this.peers.queryAny(fetchMessage()));
			this.pendingQuery = this.scheduler.schedule(this::queryPeers, PEER_QUERY_PERIOD_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private void recordSuccess() {
		if (this.unavailable) {
			this.unavailable = false;
			this.recoveredMillis = this.clock.nowMillis();
			logger.info("table={} event=platform_regained offset={}", this.table, this.nextOffset);
		}
	}

	private Message fetchMessage() {
		return new Message.TableFetch(this.table, this.nextOffset);
	}

	private void fetch(CompletableFuture<Message> reply) {
		reply.whenCompleteAsync((message, failure) -> {
			if (message instanceof Message.TableContent content && content.nextOffset() > this.nextOffset) {
				List<Entry> entries = content.records().stream().map(TableFollower::toEntry).toList();
				logger.info("table={} event=learnt_from_peer records={} offset={} age_ms={}", this.table,
						entries.size(), content.nextOffset(), ageMillis());
				apply(entries, content.nextOffset());
			}
		}, this.scheduler);
	}

	private static Entry toEntry(Message.TableRecord message) {
		return new Entry(message.key(), message.value().getBytes(StandardCharsets.UTF_8), message.offset());
	}

	/**
	 * Returns the records that a peer lacks.
	 * <p>
	 * A peer that knows as much as this instance probably cannot read the platform, so
	 * the table is read again unless that was done recently. What the read returns is
	 * announced like all other records.
	 * @param offset the offset after the last record that the peer has
	 * @return the message of {@link #recordsSince(long)}
	 */
	public Message handleFetch(long offset) {
		if (offset >= this.nextOffset) {
			this.scheduler.execute(this::refresh);
		}
		return recordsSince(offset);
	}

	private void refresh() {
		boolean isRecent = this.clock.nowMillis() - this.lastReadMillis < MIN_REFRESH_AGE_MILLIS;
		if (!this.readInProgress && !this.unavailable && !isRecent) {
			readNext();
		}
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
	 * Returns how long ago the platform last confirmed that the copy is complete.
	 * @return the age in milliseconds, 0 or more
	 */
	public long ageMillis() {
		return Math.max(0, this.clock.nowMillis() - this.confirmedMillis);
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

}
