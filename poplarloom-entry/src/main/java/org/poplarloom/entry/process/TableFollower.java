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

	private static final long TIMING_CHECK_MILLIS = 250;

	/** A copy is read again for a peer if its last read is at least this old. */
	private static final long MIN_REFRESH_AGE_MILLIS = 400;

	/**
	 * An instance that fetches from peers takes a longer time without a confirmation for
	 * an outage. Readers confirm copies after at most 1.5 s otherwise.
	 */
	private static final long MAX_CONFIRMATION_GAP_MILLIS = 1_700;

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

	/** Whether this instance notices an outage only by the age of its copy. */
	private volatile boolean reliesOnPeers;

	/** Whether readers of its zone read for this instance, or it reads for others. */
	private volatile boolean isShared;

	/** Whether {@link #reliesOnPeers} stays true after the next read. */
	private boolean isConfirmedByPeers;

	private long readStartMillis;

	private long readWaitMillis;

	private boolean readInProgress;

	/** Whether the next read is to confirm the copy at once, without a wait. */
	private boolean confirmationDue;

	private long lastReadMillis;

	/** Where the current pause lies between the shortest and the longest, 0 to 1. */
	private double pauseFraction;

	private volatile long confirmedMillis;

	/** When the platform itself last confirmed the copy, 0 if never. */
	private volatile long readMillis;

	private long readNumber;

	private ScheduledFuture<?> pendingRead;

	private ScheduledFuture<?> pendingDeferred;

	private final PeerFetches fetches;

	/** All members of a zone fetch the same records at about the same time. */
	private volatile Reply lastReply = new Reply(null, 0, null);

	/** Counts changes of the copy, some of which do not move its position. */
	private volatile long changes;

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
		this.fetches = new PeerFetches(table, copy, peers, scheduler, new Reads());
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
		this.readWaitMillis = from.equals(TablePosition.NONE) ? 0 : waitMillis();
		this.confirmationDue = false;
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
					: this.port.read(this.table, from, this.readWaitMillis);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	// During an outage, a read that waits would notice only after the wait that it was
	// lost too.
	private long waitMillis() {
		return (this.unavailable || this.confirmationDue) ? 0 : this.timing.get().waitMillis();
	}

	private void handleRead(TablePosition from, Page page, Throwable failure) {
		if (failure != null) {
			recordFailure(failure);
			retryWhenDue();
			return;
		}
		recordSuccess();
		this.readMillis = this.clock.nowMillis();
		confirm(this.readMillis);
		this.reliesOnPeers = this.isConfirmedByPeers;
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

	/**
	 * Follows a timing that has changed at once: a read that waits for longer than the
	 * new timing says is replaced by one that does not wait, since others rely on the age
	 * of the copy. Called on the scheduler's thread.
	 * @param confirmedByPeers whether peers confirm the copy more often than own reads
	 */
	void followTiming(boolean confirmedByPeers) {
		ReadTiming now = this.timing.get();
		this.confirmationDue = true;
		this.isShared = true;
		this.isConfirmedByPeers = confirmedByPeers;
		this.reliesOnPeers |= confirmedByPeers;
		if (this.readInProgress) {
			if (!now.isNone() && this.readWaitMillis > now.waitMillis()) {
				readNext();
			}
			return;
		}
		if (this.pendingRead != null) {
			this.pendingRead.cancel(false);
		}
		if (this.unavailable) {
			retryWhenDue();
		}
		else {
			readWhenDue();
		}
	}

	// The timing may change during the pause, so it is checked periodically.
	private void readWhenDue() {
		if (this.timing.get().isNone()) {
			return;
		}
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
			long delayMillis = this.readStartMillis + this.timing.get().retryMillis() - this.clock.nowMillis();
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
		this.changes++;
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
			this.scheduler.execute(() -> this.fetches.await(address, peerNext));
		}
	}

	/**
	 * Handles a peer whose copy says more than this one although it need not have read
	 * further: what the platform shows as the newest record was written late, or restored
	 * from a copy, and this instance knows nothing from before.
	 * @param address the host and port of the peer
	 * @param peerNext the position after the last record that the peer has read
	 */
	void handleNewerContent(String address, TablePosition peerNext) {
		boolean isBehind = peerNext.isAfter(this.copy.next());
		if (!isBehind && !this.copy.next().equals(TablePosition.NONE)) {
			this.scheduler.execute(() -> this.fetches.fetchAll(address));
		}
	}

	private void recordFailure(Throwable failure) {
		if (!this.unavailable) {
			this.unavailable = true;
			logger.warn("table={} event=platform_lost position={} cause=\"{}\"", this.table, this.copy.next(),
					failure.getMessage());
			this.fetches.queryWhileUnavailable();
		}
	}

	private void recordSuccess() {
		if (this.unavailable) {
			this.unavailable = false;
			this.recoveredMillis = this.clock.nowMillis();
			logger.info("table={} event=platform_regained position={}", this.table, this.copy.next());
		}
	}

	/**
	 * Returns the records that a peer lacks.
	 * <p>
	 * A peer that knows as much as this instance probably cannot read the platform, so
	 * the table is read again unless that was done recently. What the read returns is
	 * announced like all other records. An instance that is not to read leaves that to
	 * others.
	 * @param fetch the request of the peer
	 * @return the newest record of each key that changed from the position on that the
	 * peer names
	 */
	public Message handleFetch(Message.TableFetch fetch) {
		if (!this.copy.next().isAfter(fetch.from())) {
			this.scheduler.execute(this::refresh);
		}
		long changesBefore = this.changes;
		TablePosition next = this.copy.next();
		Reply last = this.lastReply;
		if (fetch.equals(last.fetch) && changesBefore == last.changes && next.equals(last.content.next())) {
			return last.content;
		}
		List<Message.TableRecord> found = this.copy.recordsSince(fetch.from())
			.stream()
			.map(TableFollower::toMessage)
			.toList();
		Message.TableContent content = new Message.TableContent(this.table, next, found, fetch.acceptsCompressed());
		this.lastReply = new Reply(fetch, changesBefore, content);
		return content;
	}

	private void refresh() {
		boolean isRecent = this.clock.nowMillis() - this.lastReadMillis < MIN_REFRESH_AGE_MILLIS;
		if (!this.readInProgress && !this.unavailable && !isRecent && !this.timing.get().isNone()) {
			readNext();
		}
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
	 * Records that the copy was complete at a time, which a peer has learnt from the
	 * platform. Called on the scheduler's thread.
	 * @param millis the time in milliseconds since the epoch
	 */
	void confirm(long millis) {
		if (this.reliesOnPeers && millis - this.confirmedMillis > MAX_CONFIRMATION_GAP_MILLIS) {
			this.recoveredMillis = this.clock.nowMillis();
		}
		this.confirmedMillis = Math.max(this.confirmedMillis, millis);
	}

	/**
	 * Returns how long ago a read of this instance last confirmed that the copy is
	 * complete.
	 * @return the age in milliseconds, the time since the epoch if none did
	 */
	long readAgeMillis() {
		return Math.max(0, this.clock.nowMillis() - this.readMillis);
	}

	/**
	 * Returns how long ago the platform last confirmed that the copy is complete, to this
	 * instance or to a peer that has told it.
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
	 * @return the time in milliseconds since the epoch, the current time during an outage
	 * in which readers share what they read, 0 if there was no outage
	 */
	public long recoveredMillis() {
		boolean isOutage = (this.isShared && this.unavailable)
				|| (this.reliesOnPeers && ageMillis() > MAX_CONFIRMATION_GAP_MILLIS);
		return isOutage ? this.clock.nowMillis() : this.recoveredMillis;
	}

	/**
	 * The reply to a fetch, and how often the copy had changed before.
	 */
	private record Reply(Message.TableFetch fetch, long changes, Message.TableContent content) {
	}

	/**
	 * The reads, as the fetches from peers see them.
	 */
	private final class Reads implements PeerFetches.Reads {

		@Override
		public boolean areScheduled() {
			return !TableFollower.this.timing.get().isNone();
		}

		@Override
		public boolean isInProgress() {
			return TableFollower.this.readInProgress;
		}

		@Override
		public boolean areFailing() {
			return TableFollower.this.unavailable;
		}

		@Override
		public void readNow() {
			readNext();
		}

		@Override
		public void merge(List<Entry> records, TablePosition next) {
			TablePosition before = TableFollower.this.copy.next();
			apply(TableFollower.this.copy.merge(records, next, TableFollower.this.clock.nowMillis()), before);
		}

		@Override
		public long ageMillis() {
			return TableFollower.this.ageMillis();
		}

	}

}
