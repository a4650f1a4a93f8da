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
 * Keeps a copy of a platform table.
 * <p>
 * Of each key only newer records are taken, so the copy never goes back. While the
 * platform cannot be read, peers are asked for what they have read. Listeners run on the
 * scheduler's thread. This class is thread-safe; one lock guards the copy and no other
 * lock is taken while it is held.
 */
public final class TableFollower {

	private static final Logger logger = LoggerFactory.getLogger(TableFollower.class);

	/** The store bears some hundred calls a second from all instances together. */
	private static final long FAILURE_PAUSE_MILLIS = 400;

	private static final long TIMING_CHECK_MILLIS = 250;

	/** Time for the platform itself to deliver what peers have already read. */
	private static final long NOTICE_PATIENCE_MILLIS = 250;

	private static final long NOT_READ = -1;

	private final String table;

	private final KeyedTablePort port;

	private final Supplier<Timing> timing;

	private final ScheduledExecutorService scheduler;

	private final Function<Message, CompletableFuture<Message>> peers;

	private final Consumer<Message> notices;

	private final Consumer<Entry> listener;

	private final Clock clock;

	private final Map<String, Entry> records = new HashMap<>();

	private volatile long next = NOT_READ;

	private volatile boolean lost;

	private volatile long regainedMillis;

	private long finishedMillis;

	/**
	 * Creates a follower, which does nothing before it is started.
	 * @param table the name of the table
	 * @param port the platform
	 * @param timing says how often the table is read now
	 * @param scheduler runs the calls and the listener
	 * @param peers sends a question to any peer
	 * @param notices sends a notice to a few peers
	 * @param listener takes each record that is new
	 * @param clock the time
	 */
	public TableFollower(String table, KeyedTablePort port, Supplier<Timing> timing, ScheduledExecutorService scheduler,
			Function<Message, CompletableFuture<Message>> peers, Consumer<Message> notices, Consumer<Entry> listener,
			Clock clock) {
		this.table = table;
		this.port = port;
		this.timing = timing;
		this.scheduler = scheduler;
		this.peers = peers;
		this.notices = notices;
		this.listener = listener;
		this.clock = clock;
	}

	/**
	 * Starts to read.
	 */
	public void start() {
		this.scheduler.execute(this::step);
	}

	private void step() {
		long from = this.next;
		CompletableFuture<Page> page = (from == NOT_READ) ? this.port.newest(this.table)
				: this.port.read(this.table, from, this.timing.get().waitMillis());
		page.whenCompleteAsync((read, failure) -> {
			try {
				finishStep(from, read, failure);
			}
			catch (RuntimeException ex) {
				logger.error("table={} event=listener_failed", this.table, ex);
				again(FAILURE_PAUSE_MILLIS);
			}
		}, this.scheduler);
	}

	private void finishStep(long from, Page page, Throwable failure) {
		if (failure != null) {
			noteLoss(failure);
			askPeer();
			again(FAILURE_PAUSE_MILLIS);
			return;
		}
		noteRegain();
		if (page.isExpired()) {
			logger.info("table={} event=history_expired offset={}", this.table, from);
			this.port.newest(this.table).whenCompleteAsync((read, problem) -> {
				if (problem == null) {
					takeSnapshot(read);
				}
				again(FAILURE_PAUSE_MILLIS);
			}, this.scheduler);
			return;
		}
		if (from == NOT_READ) {
			takeSnapshot(page);
		}
		else {
			take(page.records(), page.end());
		}
		this.finishedMillis = this.clock.nowMillis();
		stepWhenDue();
	}

	// The timing may change during a pause, so it is looked at again and again.
	private void stepWhenDue() {
		long left = this.finishedMillis + this.timing.get().pauseMillis() - this.clock.nowMillis();
		if (left <= 0) {
			step();
		}
		else if (!this.scheduler.isShutdown()) {
			this.scheduler.schedule(this::stepWhenDue, Math.min(left, TIMING_CHECK_MILLIS), TimeUnit.MILLISECONDS);
		}
	}

	private void again(long millis) {
		if (!this.scheduler.isShutdown()) {
			this.scheduler.schedule(this::step, millis, TimeUnit.MILLISECONDS);
		}
	}

	// A snapshot may be older than what is known; then missing keys mean nothing.
	private void takeSnapshot(Page page) {
		List<Entry> entries = new ArrayList<>(page.records());
		Set<String> present = entries.stream().map(Entry::key).collect(Collectors.toSet());
		if (page.end() >= this.next) {
			for (Entry known : copy()) {
				if (!present.contains(known.key()) && !known.isRemoval()) {
					entries.add(new Entry(known.key(), new byte[0], page.end() - 1));
				}
			}
		}
		take(entries, page.end());
	}

	private synchronized List<Entry> copy() {
		return new ArrayList<>(this.records.values());
	}

	private void take(List<Entry> entries, long end) {
		boolean isFirst = this.next == NOT_READ;
		boolean hasNews = false;
		for (Entry entry : entries) {
			if (isNew(entry)) {
				hasNews = true;
				this.listener.accept(entry);
			}
		}
		this.next = Math.max(this.next, end);
		if (hasNews && !isFirst) {
			this.notices.accept(new Message.TableNotice(this.table, this.next));
		}
	}

	/**
	 * Takes a peer's word that there are new records.
	 * @param end the offset after the last record that the peer has read
	 */
	public void noticed(long end) {
		this.scheduler.schedule(() -> {
			if (this.next < end) {
				askPeer();
			}
		}, NOTICE_PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized boolean isNew(Entry entry) {
		Entry known = this.records.get(entry.key());
		if (known != null && known.offset() >= entry.offset()) {
			return false;
		}
		this.records.put(entry.key(), entry);
		return true;
	}

	private void noteLoss(Throwable failure) {
		if (!this.lost) {
			this.lost = true;
			logger.warn("table={} event=platform_lost offset={} cause=\"{}\"", this.table, this.next,
					failure.getMessage());
		}
	}

	private void noteRegain() {
		if (this.lost) {
			this.lost = false;
			this.regainedMillis = this.clock.nowMillis();
			logger.info("table={} event=platform_regained offset={}", this.table, this.next);
		}
	}

	private void askPeer() {
		this.peers.apply(new Message.TableFetch(this.table, this.next)).whenCompleteAsync((reply, failure) -> {
			if (reply instanceof Message.TableContent content && content.end() > this.next) {
				List<Entry> entries = content.records().stream().map(TableFollower::entry).toList();
				logger.info("table={} event=learnt_from_peer records={} offset={}", this.table, entries.size(),
						content.end());
				take(entries, content.end());
			}
		}, this.scheduler);
	}

	private static Entry entry(Message.TableRecord message) {
		return new Entry(message.key(), message.value().getBytes(StandardCharsets.UTF_8), message.offset());
	}

	/**
	 * Returns what a peer lacks.
	 * @param offset the offset after the last record that the peer has
	 * @return the newest record of each key from that offset on
	 */
	public synchronized Message recordsSince(long offset) {
		List<Message.TableRecord> found = new ArrayList<>();
		for (Entry entry : this.records.values()) {
			if (entry.offset() >= offset) {
				found.add(new Message.TableRecord(entry.key(), new String(entry.value(), StandardCharsets.UTF_8),
						entry.offset()));
			}
		}
		return new Message.TableContent(this.table, this.next, found);
	}

	/**
	 * Returns the name of the table.
	 * @return the name
	 */
	public String table() {
		return this.table;
	}

	/**
	 * Returns where the next record is read.
	 * @return an offset, negative if nothing was read yet
	 */
	public long offset() {
		return this.next;
	}

	/**
	 * Says whether the last call to the platform failed.
	 * @return true until a call succeeds
	 */
	public boolean isLost() {
		return this.lost;
	}

	/**
	 * Returns when the platform could be read again after it could not.
	 * @return milliseconds, 0 if it was never lost
	 */
	public long regainedMillis() {
		return this.regainedMillis;
	}

	/**
	 * How often a table is read.
	 *
	 * @param waitMillis how long a call waits for a record, in milliseconds
	 * @param pauseMillis the time between two calls, in milliseconds
	 */
	public record Timing(long waitMillis, long pauseMillis) {
	}

}
