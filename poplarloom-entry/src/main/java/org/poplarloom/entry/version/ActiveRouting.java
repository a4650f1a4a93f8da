package org.poplarloom.entry.version;

import java.util.Optional;

import org.poplarloom.core.version.RoutingTable;

/**
 * Holds the routing table that is in force at this instance.
 * <p>
 * The version never decreases. This class is thread-safe.
 */
public final class ActiveRouting {

	private volatile RoutingTable table;

	private volatile Runnable onActivated = () -> {
	};

	/**
	 * Sets what runs after each activation, in the thread that activates.
	 * @param task the task; it replaces an earlier one
	 */
	public void whenActivated(Runnable task) {
		this.onActivated = task;
	}

	/**
	 * Activates a table if its version is higher than that of the table in force.
	 * @param next the table
	 * @return whether it is in force now and was not before
	 */
	public synchronized boolean activateIfNewer(RoutingTable next) {
		boolean isNewer = this.table == null || next.version() > this.table.version();
		if (isNewer) {
			this.table = next;
			this.onActivated.run();
		}
		return isNewer;
	}

	/**
	 * Returns the version in force.
	 * @return the version, 0 if none was received yet
	 */
	public long version() {
		RoutingTable current = this.table;
		return (current != null) ? current.version() : 0;
	}

	/**
	 * Returns the table in force.
	 * @return the table, or empty if none was received yet
	 */
	public Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table);
	}

}
