package org.poplarloom.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tables of the platform that retain the newest record of each key.
 * <p>
 * A write that fails may have taken effect. All futures fail with code
 * {@code log_unavailable} if the platform cannot be reached in time. Implementations are
 * thread-safe.
 */
public interface KeyedTablePort {

	/**
	 * Reads the newest record of every key.
	 * @param table the name of the table
	 * @return the records and the offset from which to continue reading
	 */
	CompletableFuture<Page> readNewest(String table);

	/**
	 * Reads the records from an offset on.
	 * @param table the name of the table
	 * @param from the offset of the first record wanted
	 * @param waitMillis how long to wait for a record if there is none, in milliseconds
	 * @return the page; {@link Page#isExpired()} if the platform no longer has the record
	 * at that offset
	 */
	CompletableFuture<Page> read(String table, long from, long waitMillis);

	/**
	 * Writes a record.
	 * @param table the name of the table
	 * @param key the key
	 * @param value the value, empty for a tombstone
	 * @return the offset of the record
	 */
	CompletableFuture<Long> put(String table, String key, byte[] value);

	/**
	 * The records of one read.
	 *
	 * @param nextOffset the offset from which to continue reading
	 * @param isExpired whether the platform no longer has the record at the requested
	 * offset
	 * @param records the records in ascending order of their offsets
	 */
	record Page(long nextOffset, boolean isExpired, List<Entry> records) {

		public Page {
			records = List.copyOf(records);
		}

	}

	/**
	 * A record of a table.
	 *
	 * @param key the key
	 * @param value the value, empty for a tombstone
	 * @param offset the offset of the record
	 */
	record Entry(String key, byte[] value, long offset) {

		/**
		 * Returns whether the record is a tombstone, which removes its key.
		 * @return true if the value is empty
		 */
		public boolean isTombstone() {
			return this.value.length == 0;
		}

	}

}
