package org.poplarloom.entry.process;

import java.util.Comparator;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.platform.WorkerEntryFormat;
import org.poplarloom.port.EndpointEntry;
import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Orders the entries of an endpoint by its lifetime and by the number of the entry in it.
 * An endpoint that drains or is gone is not used again because of an older entry.
 * <p>
 * This class has no state and is thread-safe.
 */
final class EndpointRecordOrder implements RecordOrder {

	private static final Logger logger = LoggerFactory.getLogger(EndpointRecordOrder.class);

	@Override
	public boolean isOutdated(Entry restored, Entry known) {
		if (restored.isTombstone() || known.isTombstone()) {
			return restored.isTombstone() != known.isTombstone();
		}
		Optional<EndpointEntry> restoredEntry = read(restored);
		Optional<EndpointEntry> knownEntry = read(known);
		if (restoredEntry.isEmpty() || knownEntry.isEmpty()) {
			return knownEntry.isPresent();
		}
		return isOutdated(restoredEntry.get(), knownEntry.get());
	}

	// Neither entry need be complete: one without a start, or from another writer, cannot
	// be compared.
	@Override
	public boolean isWrittenLate(Entry later, Entry earlier) {
		Optional<EndpointEntry> laterEntry = read(later);
		Optional<EndpointEntry> earlierEntry = read(earlier);
		if (laterEntry.isEmpty() || earlierEntry.isEmpty() || laterEntry.get().lifetime() == 0) {
			return false;
		}
		return Comparator.comparingLong(EndpointEntry::lifetime)
			.thenComparingLong(EndpointEntry::sequence)
			.compare(laterEntry.get(), earlierEntry.get()) < 0;
	}

	private static boolean isOutdated(EndpointEntry restored, EndpointEntry known) {
		if (restored.lifetime() != known.lifetime()) {
			return restored.lifetime() < known.lifetime();
		}
		boolean isDrainingLost = known.isDraining() && !restored.isDraining();
		return isDrainingLost || restored.sequence() < known.sequence();
	}

	private static Optional<EndpointEntry> read(Entry record) {
		try {
			return Optional.of(WorkerEntryFormat.read(record.key(), record.value()));
		}
		catch (RuntimeException | StackOverflowError ex) {
			logger.warn("endpoint={} event=unreadable_entry position={} cause=\"{}\"", record.key(), record.position(),
					ex.getMessage());
			return Optional.empty();
		}
	}

}
