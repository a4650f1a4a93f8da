package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.port.KeyedTablePort.Entry;
import org.poplarloom.port.KeyedTablePort.Page;
import org.poplarloom.wire.message.Message;

/**
 * Keeps an up-to-date copy of a platform table.
 * <p>
 * The copy never goes back, also when the platform is restored. While the platform cannot
 * be read, records are fetched from peers, which read the table for this instance. The
 * listener runs on the scheduler's thread. This class is thread-safe; after the start,
 * state other than the copy belongs to the scheduler's thread.
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

	private final String table;

	private final KeyedTablePort port;

	private final Supplier<ReadTiming> timing;

	private final ScheduledExecutorService scheduler;

	private final TablePeers peers;

	private final Consumer<List<Entry>> listener;

	private final Clock clock;

	private final Random random;

	private final TableCopy copy;

	private LongConsumer eraObserver = (era) -> {
	};

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

	private ScheduledFuture<?> pendingDeferred;

	private TablePosition awaited = TablePosition.NONE;

	/** The address of the last peer that has named the awaited position. */
	private String informant = "";

	/**
	 * Creates a follower, which does nothing until it is started.
	 * @param table the name of the table
	 * @param copy the empty copy
	 * @param port the platform
	 * @param timing supplies the current timing of the reads
	 * @param scheduler runs the reads and the listener, on one thread
	 * @param peers the other instances
	 * @param listener takes the new records of each read, which are not empty; a record
	 * that it cannot apply must not keep it from applying the others
	 * @param clock the source of the time
	 * @param random draws the pauses between reads
	 */
	TableFollower(String table, TableCopy copy, KeyedTablePort port, Supplier<ReadTiming> timing,
			ScheduledExecutorService scheduler, TablePeers peers, Consumer<List<Entry>> listener, Clock clock,
			Random random) {
		this.table = table;
		this.copy = copy;
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
	 * Sets an observer of the platform's eras; called before the start.
	 * @param observer receives the era of the first read and of each restore, on the
	 * scheduler's thread
	 */
	void observeEras(LongConsumer observer) {
		this.eraObserver = observer;
	}

	/**
	 * Starts to read the table.
	 */
	public void start() {
		this.scheduler.execute(this::readNext);
	}

	private void readNext() {
		TablePosition from = this.copy.next();
		long number = ++this.readNumber;
		if (this.pendingRead != null) {
			this.pendingRead.cancel(false);
		}
		this.readStartMillis = this.clock.nowMillis();
		this.readInProgress = true;
		startRead(from).whenCompleteAsync((read, failure) -> {
			if (number != this.readNumber) {
				return;
			}
			this.readInProgress = false;
			try {
				handleRead(from, read, failure);
			}
			catch (RuntimeException | Error ex) {
				logger.error("table={} event=read_failed", this.table, ex);
				retryWhenDue();
			}
		}, this.scheduler);
	}

	private CompletableFuture<Page> startRead(TablePosition from) {
		try {
			return from.equals(TablePosition.NONE) ? this.port.readNewest(this.table)
					: this.port.read(this.table, from, waitMillis());
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	// During an outage, a read that waits would notice only after the wait that it was
	// lost too.
	private long waitMillis() {
		return this.unavailable ? 0 : this.timing.get().waitMillis();
	}

	private void handleRead(TablePosition from, Page page, Throwable failure) {
		if (failure != null) {
			recordFailure(failure);
			retryWhenDue();
			return;
		}
		recordSuccess();
		this.confirmedMillis = this.clock.nowMillis();
		if (from.equals(TablePosition.NONE)) {
			applySnapshot(page);
		}
		else if (page.isExpired() || page.next().isInOtherEraThan(from)) {
			logger.info("table={} event=history_expired position={} era={}", this.table, from, page.next().era());
			readSnapshot();
			return;
		}
		else {
			apply(this.copy.merge(page.records(), page.next(), this.clock.nowMillis()), from);
		}
		this.lastReadMillis = this.clock.nowMillis();
		this.pauseFraction = this.random.nextDouble();
		readWhenDue();
	}

	private void readSnapshot() {
		this.port.readNewest(this.table).whenCompleteAsync((snapshot, failure) -> {
			try {
				if (failure != null) {
					recordFailure(failure);
				}
				else {
					applySnapshot(snapshot);
				}
			}
			catch (RuntimeException | Error ex) {
				logger.error("table={} event=read_failed", this.table, ex);
			}
			retryWhenDue();
		}, this.scheduler);
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

	private void applySnapshot(Page snapshot) {
		TablePosition before = this.copy.next();
		apply(this.copy.mergeSnapshot(snapshot, this.clock.nowMillis()), before);
	}

	private void apply(List<Entry> newRecords, TablePosition before) {
		if (!newRecords.isEmpty()) {
			notifyListener(newRecords);
		}
		scheduleDeferred();
		boolean isFirstRead = before.equals(TablePosition.NONE);
		boolean isOtherEra = this.copy.next().isInOtherEraThan(before);
		if (!isFirstRead && (isOtherEra || !newRecords.isEmpty())) {
			this.peers.notifySome(new Message.TableNotice(this.table, this.copy.next()));
		}
		if (isOtherEra) {
			logger.info("table={} event=era_began position={} before={}", this.table, this.copy.next(), before);
			this.eraObserver.accept(this.copy.next().era());
		}
	}

	private void scheduleDeferred() {
		if (this.pendingDeferred != null) {
			this.pendingDeferred.cancel(false);
			this.pendingDeferred = null;
		}
		OptionalLong dueMillis = this.copy.nextDueMillis();
		if (dueMillis.isPresent() && !this.scheduler.isShutdown()) {
			long delayMillis = Math.max(0, dueMillis.getAsLong() - this.clock.nowMillis());
			this.pendingDeferred = this.scheduler.schedule(this::applyDeferred, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void applyDeferred() {
		List<Entry> due = this.copy.mergeDeferred(this.clock.nowMillis());
		scheduleDeferred();
		if (!due.isEmpty()) {
			logger.info("table={} event=not_written_again keys={}", this.table, due.stream().map(Entry::key).toList());
			notifyListener(due);
		}
	}

	// The records are in the copy already, and whatever fails on them, an error such as a
	// stack overflow too, must end neither the reads nor the scheduled tasks.
	private void notifyListener(List<Entry> entries) {
		try {
			this.listener.accept(entries);
		}
		catch (RuntimeException | Error ex) {
			logger.error("table={} event=listener_failed records={}", this.table, entries.size(), ex);
		}
	}

	/**
	 * Handles the position that a peer has read.
	 * <p>
	 * If the platform does not deliver the records soon, they are fetched from the peer
	 * and from others until they are there, and the read in progress is given up as lost.
	 * @param address the host and port of the peer
	 * @param peerNext the position after the last record that the peer has read
	 */
	public void handlePeerPosition(String address, TablePosition peerNext) {
		if (peerNext.isAfter(this.copy.next())) {
			this.scheduler.execute(() -> awaitPosition(address, peerNext));
		}
	}

	// The last peer that has named the position is the most likely one to be reachable.
	private void awaitPosition(String address, TablePosition position) {
		if (!this.awaited.isAfter(position)) {
			this.informant = address;
		}
		if (position.isAfter(this.awaited)) {
			this.awaited = position;
			this.scheduler.schedule(() -> fetchAwaited(position, 0), PEER_FETCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void fetchAwaited(TablePosition position, int fetches) {
		TablePosition next = this.copy.next();
		if (!position.isAfter(next) || fetches >= MAX_PEER_FETCHES || this.scheduler.isShutdown()) {
			if (this.awaited.equals(position)) {
				this.awaited = TablePosition.NONE;
			}
			return;
		}
		boolean asksInformant = fetches % 2 == 0;
		fetch(() -> asksInformant ? this.peers.query(this.informant, fetchMessage())
				: this.peers.queryAny(fetchMessage()));
		if (fetches == 0 && (this.readInProgress || position.isInOtherEraThan(next))) {
			readNext();
		}
		this.scheduler.schedule(() -> fetchAwaited(position, fetches + 1), PEER_FETCH_PERIOD_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void recordFailure(Throwable failure) {
		if (!this.unavailable) {
			this.unavailable = true;
			logger.warn("table={} event=platform_lost position={} cause=\"{}\"", this.table, this.copy.next(),
					failure.getMessage());
			queryPeers();
		}
	}

	private void queryPeers() {
		if (this.pendingQuery != null) {
			this.pendingQuery.cancel(false);
		}
		if (this.unavailable && !this.scheduler.isShutdown()) {
			fetch(() -> this.peers.queryAny(fetchMessage()));
			this.pendingQuery = this.scheduler.schedule(this::queryPeers, PEER_QUERY_PERIOD_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private void recordSuccess() {
		if (this.unavailable) {
			this.unavailable = false;
			this.recoveredMillis = this.clock.nowMillis();
			logger.info("table={} event=platform_regained position={}", this.table, this.copy.next());
		}
	}

	private Message fetchMessage() {
		return new Message.TableFetch(this.table, this.copy.next());
	}

	private void fetch(Supplier<CompletableFuture<Message>> query) {
		CompletableFuture<Message> reply;
		try {
			reply = query.get();
		}
		catch (RuntimeException ex) {
			logger.warn("table={} event=peer_query_failed cause=\"{}\"", this.table, ex.toString());
			return;
		}
		reply.whenCompleteAsync((message, failure) -> {
			TablePosition before = this.copy.next();
			if (message instanceof Message.TableContent content && content.next().isAfter(before)) {
				List<Entry> entries = content.records().stream().map(TableFollower::toEntry).toList();
				logger.info("table={} event=learnt_from_peer records={} position={} age_ms={}", this.table,
						entries.size(), content.next(), ageMillis());
				apply(this.copy.merge(entries, positionAfter(content, before), this.clock.nowMillis()), before);
			}
		}, this.scheduler);
	}

	// What a peer sends does not show which keys a restore removed, so the table is still
	// to be read in the new era.
	private static TablePosition positionAfter(Message.TableContent content, TablePosition before) {
		boolean isRestored = !before.equals(TablePosition.NONE) && content.next().isInOtherEraThan(before);
		return isRestored ? before : content.next();
	}

	private static Entry toEntry(Message.TableRecord message) {
		return new Entry(message.key(), message.value().getBytes(StandardCharsets.UTF_8), message.position());
	}

	/**
	 * Returns the records that a peer lacks.
	 * <p>
	 * A peer that knows as much as this instance probably cannot read the platform, so
	 * the table is read again unless that was done recently. What the read returns is
	 * announced like all other records.
	 * @param from the position after the last record that the peer has
	 * @return the message of {@link #recordsSince(TablePosition)}
	 */
	public Message handleFetch(TablePosition from) {
		if (!this.copy.next().isAfter(from)) {
			this.scheduler.execute(this::refresh);
		}
		return recordsSince(from);
	}

	private void refresh() {
		boolean isRecent = this.clock.nowMillis() - this.lastReadMillis < MIN_REFRESH_AGE_MILLIS;
		if (!this.readInProgress && !this.unavailable && !isRecent) {
			readNext();
		}
	}

	/**
	 * Returns the records that a peer lacks.
	 * @param from the position after the last record that the peer has
	 * @return a message with the newest record of each key that changed from that
	 * position on
	 */
	public Message recordsSince(TablePosition from) {
		TablePosition next = this.copy.next();
		List<Message.TableRecord> found = this.copy.recordsSince(from).stream().map(TableFollower::toMessage).toList();
		return new Message.TableContent(this.table, next, found);
	}

	private static Message.TableRecord toMessage(Entry entry) {
		return new Message.TableRecord(entry.key(), new String(entry.value(), StandardCharsets.UTF_8),
				entry.position());
	}

	/**
	 * Returns the name of the table.
	 * @return the name
	 */
	public String table() {
		return this.table;
	}

	/**
	 * Returns the position of the next record to read.
	 * @return the position, {@link TablePosition#NONE} if nothing has been read yet
	 */
	public TablePosition next() {
		return this.copy.next();
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
