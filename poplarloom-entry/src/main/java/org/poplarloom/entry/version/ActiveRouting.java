package org.poplarloom.entry.version;

import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.version.RoutingTable;

/**
 * Holds the routing table that is in force at this instance.
 * <p>
 * The version never decreases. This class is thread-safe.
 */
public final class ActiveRouting {

	private static final Logger logger = LoggerFactory.getLogger(ActiveRouting.class);

	private volatile RoutingTable table;

	/**
	 * Activates a table if its version is higher than that of the table in force.
	 * @param next the table
	 */
	public synchronized void activateIfNewer(RoutingTable next) {
		if (this.table == null || next.version() > this.table.version()) {
			this.table = next;
			logger.info("event=configuration version={}", next.version());
		}
	}

	/**
	 * Returns the table in force.
	 * @return the table, or empty if none was received yet
	 */
	public Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table);
	}

}
