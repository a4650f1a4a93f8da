package org.poplarloom.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Tables of the platform that keep the newest record of each key.
 * <p>
 * An append that fails may have taken effect. All futures fail with code
 * {@code log_unavailable} if the platform cannot be reached in time. Implementations are
 * thread-safe.
 */
public interface KeyedTablePort {

	/**
	 * Reads the newest record of every key.
	 * @param table the table
	 * @return the records and where to read on
	 */
	CompletableFuture<Page> newest(String table);

	/**
	 * Reads the records from an offset on.
	 * @param table the table
	 * @param from the offset of the first record wanted
	 * @param waitMillis how long to wait for a record, in milliseconds
	 * @return the page; {@link Page#isExpired()} if records in between are gone
	 */
	CompletableFuture<Page> read(String table, long from, long waitMillis);

	/**
	 * Writes a record.
	 * @param table the table
	 * @param key the key
	 * @param value the value
	 * @return the offset
	 */
	CompletableFuture<Long> put(String table, String key, byte[] value);

	/**
	 * A part of a table.
	 *
	 * @param end the offset to read on from
	 * @param isExpired whether records after the wanted offset are gone
	 * @param records the records in ascending order of their offsets
	 */
	record Page(long end, boolean isExpired, List<Entry> records) {

		public Page {
			records = List.copyOf(records);
		}

	}

	/**
	 * A record.
	 *
	 * @param key the key
	 * @param value the value, empty if the key was removed
	 * @param offset the offset
	 */
	record Entry(String key, byte[] value, long offset) {

		/**
		 * Says whether the key was removed.
		 * @return true if there is no value
		 */
		public boolean isRemoval() {
			return this.value.length == 0;
		}

	}

}
