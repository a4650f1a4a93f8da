package org.poplarloom.entry.process;

import java.util.Arrays;

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

	@Override
	public boolean isWrittenLate(Entry later, Entry earlier) {
		return later.key().equals(ConfigurationFormat.CONFIGURATION_KEY) && version(later) < version(earlier);
	}

	private static long version(Entry record) {
		if (record.isTombstone()) {
			return 0;
		}
		try {
			return ConfigurationFormat.readVersion(record.value());
		}
		catch (RuntimeException | StackOverflowError ex) {
			logger.warn("event=unreadable_operator_record key={} position={} cause=\"{}\"", record.key(),
					record.position(), ex.getMessage());
			return 0;
		}
	}

}
