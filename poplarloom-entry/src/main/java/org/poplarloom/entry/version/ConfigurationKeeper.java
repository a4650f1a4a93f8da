package org.poplarloom.entry.version;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.ConfigurationReplay;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.ZoneOrder;

/**
 * Holds the configuration that is in force at this instance.
 * <p>
 * The offset never falls. Listeners run one at a time, in the order of the versions. This
 * class is thread-safe; its lock is taken before any lock that a listener takes.
 */
public final class ConfigurationKeeper {

	private final List<Consumer<ConfigurationState>> listeners = new CopyOnWriteArrayList<>();

	private final ConfigurationReplay replay = new ConfigurationReplay();

	private volatile ConfigurationState state = ConfigurationState.EMPTY;

	/**
	 * Returns the state in force.
	 * @return the state, never null
	 */
	public ConfigurationState state() {
		return this.state;
	}

	/**
	 * Returns the folded configuration in force.
	 * @return the configuration, never null
	 */
	public Configuration configuration() {
		return this.state.configuration();
	}

	/**
	 * Says whether this instance has learnt a configuration.
	 * @return true once any publication is covered
	 */
	public boolean isLoaded() {
		return configuration().offset() != Publication.NO_OFFSET;
	}

	/**
	 * Adds a listener for changes.
	 * @param listener takes each new state
	 */
	public void listen(Consumer<ConfigurationState> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Takes a publication from the log.
	 * @param offset its offset
	 * @param publication the publication, or null for a record that cannot be read
	 */
	public synchronized void read(long offset, Publication publication) {
		this.replay.read(offset, publication);
		set(this.state.withConfiguration(this.replay.current()));
	}

	/**
	 * Takes a snapshot from the log.
	 * @param offset its offset
	 * @param snapshot the snapshot
	 */
	public synchronized void read(long offset, Configuration.Snapshot snapshot) {
		this.replay.read(offset, snapshot);
		set(this.state.withConfiguration(this.replay.current()));
	}

	/**
	 * Takes what a peer knows.
	 * @param snapshot the peer's whole content or its changes; older ones are ignored
	 */
	public synchronized void learn(Configuration.Snapshot snapshot) {
		this.replay.learn(snapshot);
		set(this.state.withConfiguration(this.replay.current()));
	}

	/**
	 * Returns the offset of the next record to read from the log.
	 * @return an offset from 0
	 */
	public synchronized long nextOffset() {
		return this.replay.nextOffset();
	}

	/**
	 * Returns the offset of the last snapshot that was read from the log.
	 * @return the offset, or {@link Publication#NO_OFFSET}
	 */
	public synchronized long snapshotOffset() {
		return this.replay.snapshotOffset();
	}

	/**
	 * Takes over zone orders.
	 * @param orders the orders
	 */
	public synchronized void order(Collection<ZoneOrder> orders) {
		set(this.state.withZoneOrders(orders));
	}

	private void set(ConfigurationState next) {
		if (next != this.state) {
			this.state = next;
			this.listeners.forEach((listener) -> listener.accept(next));
		}
	}

}
