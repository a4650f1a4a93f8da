package org.poplarloom.entry.process;

import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Orders two records of one key by what they say, where their positions cannot: after a
 * restore, and after a write that was carried out late, the platform shows older records
 * at later positions.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
interface RecordOrder {

	/**
	 * Returns whether a record that the restored platform shows is older than the one
	 * that was known before.
	 * @param restored the record of the later era
	 * @param known the record of the earlier era
	 * @return true to keep the known record until it is written again; also if neither is
	 * known to be newer
	 */
	boolean isOutdated(Entry restored, Entry known);

	/**
	 * Returns whether a record was written late: its writer has written the other one
	 * after it.
	 * @param later the record at the later position, no tombstone
	 * @param earlier a record of the same era at an earlier position, no tombstone
	 * @return true to keep the earlier record; false also if neither is known to be newer
	 */
	default boolean isWrittenLate(Entry later, Entry earlier) {
		return false;
	}

}
