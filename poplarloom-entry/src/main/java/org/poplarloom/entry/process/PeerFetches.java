package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort.Entry;
import org.poplarloom.wire.message.Message;

/**
 * Fetches records of a platform table from peers, which have read them: those that a peer
 * has named, and, while the platform cannot be read, all others.
 * <p>
 * An instance that reads the table leaves the platform some time to deliver a record. One
 * that does not read fetches at once, one fetch at a time, so that a burst of records
 * costs few fetches. All methods are called on the scheduler's thread.
 */
final class PeerFetches {

	private static final Logger logger = LoggerFactory.getLogger(PeerFetches.class);

	/**
	 * Leaves the platform time to deliver records that a peer has already read before
	 * they are fetched from that peer.
	 */
	private static final long DELAY_MILLIS = 150;

	private static final long PERIOD_MILLIS = 300;

	/** A peer that still names the offset starts the attempts again. */
	private static final int MAX_FETCHES = 10;

	/** While the platform cannot be read, peers are queried this often. */
	private static final long QUERY_PERIOD_MILLIS = 400;

	/**
	 * When a fetch of an instance that does not read is repeated. It is longer than the
	 * transfer of a large configuration to all members of a zone takes.
	 */
	private static final long DIRECT_PERIOD_MILLIS = 500;

	private final String table;

	private final TableCopy copy;

	private final TablePeers peers;

	private final ScheduledExecutorService scheduler;

	private final Reads reads;

	private ScheduledFuture<?> pendingQuery;

	private ScheduledFuture<?> pendingDirect;

	private long directNumber;

	private boolean directInProgress;

	private boolean isFetchingAll;

	private TablePosition awaited = TablePosition.NONE;

	/** The address of the last peer that has named the awaited position. */
	private String informant = "";

	/**
	 * Creates an object that fetches nothing yet.
	 * @param table the name of the table
	 * @param copy the copy that lacks records
	 * @param peers the other instances
	 * @param scheduler runs the fetches and merges what they return
	 * @param reads the reads of the table from the platform
	 */
	PeerFetches(String table, TableCopy copy, TablePeers peers, ScheduledExecutorService scheduler, Reads reads) {
		this.table = table;
		this.copy = copy;
		this.peers = peers;
		this.scheduler = scheduler;
		this.reads = reads;
	}

	/**
	 * Fetches the records before a position, from the peer that has named it and from
	 * others, until they are there.
	 * @param address the host and port of the peer
	 * @param position the position
	 */
	void await(String address, TablePosition position) {
		// The last peer that has named the position is the most likely one to be
		// reachable.
		if (!this.awaited.isAfter(position)) {
			this.informant = address;
		}
		if (!position.isAfter(this.awaited)) {
			return;
		}
		this.awaited = position;
		if (this.reads.areScheduled()) {
			this.scheduler.schedule(() -> fetchAwaited(position, 0), DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (!this.directInProgress) {
			fetchDirectly(0);
		}
	}

	/**
	 * Fetches all records of a peer's copy, unless that was done just before. The
	 * position up to which the table was read stays as it is.
	 * @param address the host and port of the peer
	 */
	void fetchAll(String address) {
		if (this.isFetchingAll || this.scheduler.isShutdown()) {
			return;
		}
		this.isFetchingAll = true;
		this.scheduler.schedule(() -> this.isFetchingAll = false, DIRECT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
		Message query = new Message.TableFetch(this.table, TablePosition.NONE, true);
		receive(() -> this.peers.query(address, query)).thenAcceptAsync((reply) -> {
			if (reply instanceof Message.TableContent content) {
				logger.info("table={} event=learnt_from_peer records={} position={} age_ms={}", this.table,
						content.records().size(), content.next(), this.reads.ageMillis());
				this.reads.merge(content.records().stream().map(PeerFetches::toEntry).toList(), this.copy.next());
			}
		}, this.scheduler);
	}

	private void fetchAwaited(TablePosition position, int fetches) {
		TablePosition next = this.copy.next();
		if (!position.isAfter(next) || fetches >= MAX_FETCHES || this.scheduler.isShutdown()) {
			if (this.awaited.equals(position)) {
				this.awaited = TablePosition.NONE;
			}
			return;
		}
		fetchOnce(fetches);
		if (fetches == 0 && (this.reads.isInProgress() || position.isInOtherEraThan(next))) {
			this.reads.readNow();
		}
		this.scheduler.schedule(() -> fetchAwaited(position, fetches + 1), PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	private CompletableFuture<Boolean> fetchOnce(int fetches) {
		boolean asksInformant = fetches % 2 == 0;
		return fetch(() -> asksInformant ? this.peers.query(this.informant, fetchMessage())
				: this.peers.queryAny(fetchMessage()));
	}

	// What a peer sends of another era does not show which keys a restore removed, so the
	// table is read once then.
	private void fetchDirectly(int fetches) {
		TablePosition next = this.copy.next();
		this.directInProgress = this.awaited.isAfter(next) && fetches < MAX_FETCHES && !this.scheduler.isShutdown();
		if (this.pendingDirect != null) {
			this.pendingDirect.cancel(false);
		}
		if (!this.directInProgress) {
			this.awaited = TablePosition.NONE;
			return;
		}
		long number = ++this.directNumber;
		fetchOnce(fetches).thenAccept((isAdvanced) -> {
			if (isAdvanced && number == this.directNumber) {
				fetchDirectly(0);
			}
		});
		if (fetches == 0 && this.awaited.isInOtherEraThan(next)) {
			this.reads.readNow();
		}
		this.pendingDirect = this.scheduler.schedule(() -> fetchDirectly(fetches + 1), DIRECT_PERIOD_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Queries peers from now on for as long as the platform cannot be read.
	 */
	void queryWhileUnavailable() {
		if (this.pendingQuery != null) {
			this.pendingQuery.cancel(false);
		}
		if (this.reads.areFailing() && !this.scheduler.isShutdown()) {
			fetch(() -> this.peers.queryAny(fetchMessage()));
			this.pendingQuery = this.scheduler.schedule(this::queryWhileUnavailable, QUERY_PERIOD_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private Message fetchMessage() {
		return new Message.TableFetch(this.table, this.copy.next(), true);
	}

	// Returns whether the copy has advanced; fails if no peer replies.
	private CompletableFuture<Boolean> fetch(Supplier<CompletableFuture<Message>> query) {
		return receive(query).thenApplyAsync(this::merge, this.scheduler);
	}

	private CompletableFuture<Message> receive(Supplier<CompletableFuture<Message>> query) {
		try {
			return query.get();
		}
		catch (RuntimeException ex) {
			logger.warn("table={} event=peer_query_failed cause=\"{}\"", this.table, ex.toString());
			return CompletableFuture.failedFuture(ex);
		}
	}

	private boolean merge(Message message) {
		TablePosition before = this.copy.next();
		if (!(message instanceof Message.TableContent content) || !content.next().isAfter(before)) {
			return false;
		}
		List<Entry> entries = content.records().stream().map(PeerFetches::toEntry).toList();
		logger.info("table={} event=learnt_from_peer records={} position={} age_ms={}", this.table, entries.size(),
				content.next(), this.reads.ageMillis());
		this.reads.merge(entries, positionAfter(content, before));
		return this.copy.next().isAfter(before);
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
	 * The reads of the table from the platform. Implementations are called on the
	 * scheduler's thread only.
	 */
	interface Reads {

		/**
		 * Returns whether this instance reads the table.
		 * @return false if it fetches the records from peers
		 */
		boolean areScheduled();

		/**
		 * Returns whether a read is in progress.
		 * @return true from the start of a read to its end
		 */
		boolean isInProgress();

		/**
		 * Returns whether the last read failed.
		 * @return true until a read succeeds
		 */
		boolean areFailing();

		/**
		 * Reads the table now; a read in progress is given up as lost.
		 */
		void readNow();

		/**
		 * Takes records of a peer.
		 * @param records the records
		 * @param next the position after them
		 */
		void merge(List<Entry> records, TablePosition next);

		/**
		 * Returns the age of the copy.
		 * @return the age in milliseconds
		 */
		long ageMillis();

	}

}
