package org.poplarloom.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.poplarloom.core.process.TablePosition;

/**
 * Tables of the platform that retain the newest record of each key.
 * <p>
 * The platform may be restored from a copy. It then begins a new era and lacks what was
 * written since the copy. A write that fails may have taken effect. All futures fail with
 * code {@code log_unavailable} if the platform cannot be reached in time. Implementations
 * are thread-safe.
 */
public interface KeyedTablePort {

	/**
	 * Reads the newest record of every key.
	 * @param table the name of the table
	 * @return the records and the position from which to continue reading
	 */
	CompletableFuture<Page> readNewest(String table);

	/**
	 * Reads the records from an offset on, whatever the era of the platform now.
	 * @param table the name of the table
	 * @param from the position of the first record wanted
	 * @param waitMillis how long to wait for a record if there is none, in milliseconds
	 * @return the page; {@link Page#isExpired()} if the platform no longer has the record
	 * at that offset
	 */
	CompletableFuture<Page> read(String table, TablePosition from, long waitMillis);

	/**
	 * Writes a record.
	 * @param table the name of the table
	 * @param key the key
	 * @param value the value, empty for a tombstone
	 * @return the position of the record
	 */
	CompletableFuture<TablePosition> put(String table, String key, byte[] value);

	/**
	 * The records of one read.
	 *
	 * @param next the position from which to continue reading; its era is that of the
	 * platform
	 * @param isExpired whether the platform no longer has the record at the requested
	 * offset
	 * @param records the records in ascending order of their positions
	 */
	record Page(TablePosition next, boolean isExpired, List<Entry> records) {

		public Page {
			records = List.copyOf(records);
		}

	}

	/**
	 * A record of a table.
	 *
	 * @param key the key
	 * @param value the value, empty for a tombstone
	 * @param position the position of the record
	 */
	record Entry(String key, byte[] value, TablePosition position) {

		/**
		 * Returns whether the record is a tombstone, which removes its key.
		 * @return true if the value is empty
		 */
		public boolean isTombstone() {
			return this.value.length == 0;
		}

	}

}
