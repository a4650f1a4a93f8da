package org.poplarloom.entry.process;

import java.util.Arrays;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.platform.ConfigurationFormat;
import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Orders configurations by their versions. Evacuations have none, so of two that differ
 * the known record is kept after a restore, and otherwise the one at the later position.
 * <p>
 * This class has no state and is thread-safe.
 */
final class OperatorRecordOrder implements RecordOrder {

	private static final Logger logger = LoggerFactory.getLogger(OperatorRecordOrder.class);

	@Override
	public boolean isOutdated(Entry restored, Entry known) {
		if (restored.key().equals(ConfigurationFormat.CONFIGURATION_KEY) && !restored.isTombstone()) {
			return version(restored) < version(known);
		}
		return !Arrays.equals(restored.value(), known.value());
	}

	// A configuration that cannot be read is no version, and the one before stays in
	// force.
	@Override
	public boolean isWrittenLate(Entry later, Entry earlier) {
		if (!later.key().equals(ConfigurationFormat.CONFIGURATION_KEY)) {
			return false;
		}
		OptionalLong laterVersion = readVersion(later);
		OptionalLong earlierVersion = readVersion(earlier);
		return laterVersion.isPresent() && earlierVersion.isPresent()
				&& laterVersion.getAsLong() < earlierVersion.getAsLong();
	}

	private static long version(Entry record) {
		return record.isTombstone() ? 0 : readVersion(record).orElse(0);
	}

	private static OptionalLong readVersion(Entry record) {
		try {
			return OptionalLong.of(ConfigurationFormat.readVersion(record.value()));
		}
		catch (RuntimeException | StackOverflowError ex) {
			logger.warn("event=unreadable_operator_record key={} position={} cause=\"{}\"", record.key(),
					record.position(), ex.getMessage());
			return OptionalLong.empty();
		}
	}

}
