package org.poplarloom.entry.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort;

/**
 * Counts the calls of the platform's store, which are billed. This class is thread-safe.
 */
final class CountingStore implements KeyedTablePort {

	private final KeyedTablePort store;

	private final LongAdder calls = new LongAdder();

	/**
	 * Creates a count of 0.
	 * @param store the store
	 */
	CountingStore(KeyedTablePort store) {
		this.store = store;
	}

	/**
	 * Returns the number of calls.
	 * @return the count since the start
	 */
	long calls() {
		return this.calls.sum();
	}

	@Override
	public CompletableFuture<Page> readNewest(String table) {
		this.calls.increment();
		return this.store.readNewest(table);
	}

	@Override
	public CompletableFuture<Page> read(String table, TablePosition from, long waitMillis) {
		this.calls.increment();
		return this.store.read(table, from, waitMillis);
	}

	@Override
	public CompletableFuture<TablePosition> put(String table, String key, byte[] value) {
		this.calls.increment();
		return this.store.put(table, key, value);
	}

}
