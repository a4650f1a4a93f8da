package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort.Entry;
import org.poplarloom.port.KeyedTablePort.Page;

/**
 * The newest record of each key of a platform table.
 * <p>
 * Within an era of the platform, a record replaces only a record at an earlier position,
 * unless it was written late. After a restore, a record that may be older than the known
 * one is deferred: it replaces the known one only if nothing newer has been written when
 * the grace time is over. The position to read from never goes back. This class is
 * thread-safe; one lock guards it and no other lock is taken while it is held.
 */
final class TableCopy {

	/** More keys than are removed while a write can still be carried out. */
	private static final int MAX_REMOVED = 1_000;

	private final RecordOrder order;

	private final RestoreGrace grace;

	private final Map<String, Entry> records = new HashMap<>();

	private final Map<String, DeferredRecord> deferred = new HashMap<>();

	/** What the records of removed keys said before, by which late writes are known. */
	private final Map<String, Entry> removed = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
			return size() > MAX_REMOVED;
		}

	};

	private volatile TablePosition next = TablePosition.NONE;

	/** Where the first snapshot after the last restore ended; what follows is new. */
	private TablePosition restoredEnd = TablePosition.NONE;

	/**
	 * Creates an empty copy.
	 * @param order orders records of different eras
	 * @param grace how long known records are kept after a restore
	 */
	TableCopy(RecordOrder order, RestoreGrace grace) {
		this.order = order;
		this.grace = grace;
	}

	/**
	 * Returns the position from which to continue reading.
	 * @return the position, {@link TablePosition#NONE} if nothing has been read yet
	 */
	TablePosition next() {
		return this.next;
	}

	/**
	 * Merges records.
	 * @param entries the records in ascending order of their positions
	 * @param newNext the position after them
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return those that are newer than the known ones
	 */
	synchronized List<Entry> merge(List<Entry> entries, TablePosition newNext, long nowMillis) {
		List<Entry> newRecords = entries.stream().filter((entry) -> put(entry, nowMillis)).toList();
		this.next = this.next.max(newNext);
		return newRecords;
	}

	/**
	 * Merges the newest records of all keys. A key that the snapshot lacks was removed,
	 * unless the snapshot is older than this copy.
	 * @param snapshot the snapshot
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return the records that are newer than the known ones, with tombstones
	 */
	synchronized List<Entry> mergeSnapshot(Page snapshot, long nowMillis) {
		List<Entry> entries = new ArrayList<>(snapshot.records());
		if (!this.next.isAfter(snapshot.next())) {
			TablePosition last = snapshot.next().withOffset(snapshot.next().offset() - 1);
			for (Entry known : missingFrom(snapshot)) {
				Entry tombstone = new Entry(known.key(), new byte[0], last);
				if (known.position().isInOtherEraThan(last)) {
					defer(tombstone, nowMillis + this.grace.missingMillis());
				}
				else {
					entries.add(tombstone);
				}
			}
			if (snapshot.next().isInOtherEraThan(this.next)) {
				this.restoredEnd = snapshot.next();
			}
		}
		return merge(entries, snapshot.next(), nowMillis);
	}

	private List<Entry> missingFrom(Page snapshot) {
		Set<String> present = snapshot.records().stream().map(Entry::key).collect(Collectors.toSet());
		return this.records.values()
			.stream()
			.filter((known) -> !known.isTombstone() && !present.contains(known.key()))
			.toList();
	}

	/**
	 * Puts the deferred records whose grace time is over in the place of the known ones.
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return these records
	 */
	synchronized List<Entry> mergeDeferred(long nowMillis) {
		List<Entry> due = new ArrayList<>();
		this.deferred.values().removeIf((record) -> {
			boolean isDue = record.dueMillis <= nowMillis;
			if (isDue && record.entry.position().isAfter(this.records.get(record.entry.key()).position())) {
				due.add(record.entry);
			}
			return isDue;
		});
		due.forEach(this::replace);
		return due;
	}

	/**
	 * Returns when the grace time of the next deferred record is over.
	 * @return the time in milliseconds since the epoch, empty if no record is deferred
	 */
	synchronized OptionalLong nextDueMillis() {
		return this.deferred.values().stream().mapToLong(DeferredRecord::dueMillis).min();
	}

	private boolean put(Entry entry, long nowMillis) {
		Entry known = this.records.get(entry.key());
		if (known != null && known.position().isInOtherEraThan(entry.position())) {
			return putAcrossEras(entry, known, nowMillis);
		}
		boolean isLater = known == null || entry.position().isAfter(known.position());
		boolean isLaterLate = known != null && (isLater ? isWrittenLate(entry, known) : isWrittenLate(known, entry));
		if (isLater != isLaterLate) {
			replace(entry);
		}
		return isLater != isLaterLate;
	}

	private boolean isWrittenLate(Entry later, Entry earlier) {
		Entry lastEarlier = earlier.isTombstone() ? this.removed.get(earlier.key()) : earlier;
		return lastEarlier != null && !later.isTombstone() && this.order.isWrittenLate(later, lastEarlier);
	}

	// The entry may also be of the earlier era, from a peer that has read more of it.
	private boolean putAcrossEras(Entry entry, Entry known, long nowMillis) {
		boolean isLater = entry.position().isAfter(known.position());
		Entry later = isLater ? entry : known;
		boolean isLaterOutdated = isOutdated(later, isLater ? known : entry);
		if (isLater != isLaterOutdated) {
			replace(entry);
		}
		if (isLaterOutdated) {
			defer(later, nowMillis + this.grace.outdatedMillis());
		}
		return isLater != isLaterOutdated;
	}

	// A higher offset than that of the earlier record is newer in any case. A lower
	// one is older if it was restored, or newer if it was given out again.
	private boolean isOutdated(Entry later, Entry earlier) {
		boolean isWrittenAfterRestore = !this.restoredEnd.isAfter(later.position())
				&& !this.restoredEnd.isInOtherEraThan(later.position());
		return !isWrittenAfterRestore && later.position().offset() <= earlier.position().offset()
				&& this.order.isOutdated(later, earlier);
	}

	private void replace(Entry entry) {
		Entry replaced = this.records.put(entry.key(), entry);
		if (!entry.isTombstone()) {
			this.removed.remove(entry.key());
		}
		else if (replaced != null && !replaced.isTombstone()) {
			this.removed.put(entry.key(), replaced);
		}
		this.deferred.remove(entry.key());
	}

	private void defer(Entry entry, long dueMillis) {
		DeferredRecord waiting = this.deferred.get(entry.key());
		long firstDueMillis = (waiting != null) ? Math.min(waiting.dueMillis, dueMillis) : dueMillis;
		this.deferred.put(entry.key(), new DeferredRecord(entry, firstDueMillis));
	}

	/**
	 * Returns the newest record of each key that changed from a position on.
	 * @param from the position
	 * @return the records, in no order
	 */
	synchronized List<Entry> recordsSince(TablePosition from) {
		return this.records.values().stream().filter((entry) -> !from.isAfter(entry.position())).toList();
	}

	/**
	 * How long known records are kept after a restore.
	 *
	 * @param missingMillis how long if the platform lacks their key, in milliseconds
	 * @param outdatedMillis how long if the platform shows an older record, in
	 * milliseconds
	 */
	record RestoreGrace(long missingMillis, long outdatedMillis) {
	}

	/**
	 * A record that replaces the known one at a time unless a newer one is read before.
	 */
	private record DeferredRecord(Entry entry, long dueMillis) {
	}

}
