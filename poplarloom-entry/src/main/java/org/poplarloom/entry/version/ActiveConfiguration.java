package org.poplarloom.entry.version;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.ConfigurationReplay;
import org.poplarloom.core.version.ConfigurationState;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.ZoneCommand;

/**
 * Holds the configuration that is in force at this instance.
 * <p>
 * The offset never decreases. Listeners are called one at a time, in the order of the
 * versions. This class is thread-safe; it holds its lock while it calls the listeners, so
 * its lock comes before every lock that a listener takes.
 */
public final class ActiveConfiguration {

	private final List<Consumer<ConfigurationState>> listeners = new CopyOnWriteArrayList<>();

	private final ConfigurationReplay replay = new ConfigurationReplay();

	private volatile ConfigurationState state = ConfigurationState.EMPTY;

	/**
	 * Returns the state in force: the configuration and unconfirmed zone commands.
	 * @return the state, never null
	 */
	public ConfigurationState state() {
		return this.state;
	}

	/**
	 * Returns the configuration in force, as replayed from the log.
	 * @return the configuration, never null
	 */
	public Configuration configuration() {
		return this.state.configuration();
	}

	/**
	 * Returns whether this instance has received a configuration.
	 * @return true once the configuration covers at least one publication
	 */
	public boolean isLoaded() {
		return configuration().offset() != Publication.NO_OFFSET;
	}

	/**
	 * Adds a listener for changes.
	 * @param listener is called with each new state
	 */
	public void addListener(Consumer<ConfigurationState> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies a publication that was read from the log.
	 * @param offset its offset
	 * @param publication the publication, or null for a record that cannot be parsed
	 */
	public synchronized void apply(long offset, Publication publication) {
		this.replay.read(offset, publication);
		activate(this.state.withConfiguration(this.replay.current()));
	}

	/**
	 * Applies a snapshot that was read from the log.
	 * @param offset its offset
	 * @param snapshot the snapshot
	 */
	public synchronized void apply(long offset, Configuration.Snapshot snapshot) {
		this.replay.read(offset, snapshot);
		activate(this.state.withConfiguration(this.replay.current()));
	}

	/**
	 * Merges what a peer knows.
	 * @param snapshot the peer's entire configuration or its changes; older ones are
	 * ignored
	 */
	public synchronized void merge(Configuration.Snapshot snapshot) {
		this.replay.applySnapshot(snapshot);
		activate(this.state.withConfiguration(this.replay.current()));
	}

	/**
	 * Returns the offset of the next record to read from the log.
	 * @return an offset, 0 or more
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
	 * Applies zone commands that are not on the log yet.
	 * @param commands the commands
	 */
	public synchronized void applyZoneCommands(Collection<ZoneCommand> commands) {
		activate(this.state.withZoneCommands(commands));
	}

	private void activate(ConfigurationState next) {
		if (next != this.state) {
			this.state = next;
			this.listeners.forEach((listener) -> listener.accept(next));
		}
	}

}
