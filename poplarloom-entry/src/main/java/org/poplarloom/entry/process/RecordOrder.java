package org.poplarloom.entry.process;

import org.poplarloom.port.KeyedTablePort.Entry;

/**
 * Orders two records of one key by what they say, where their positions cannot: after a
 * restore, the platform shows older records at later positions.
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

}
