package org.poplarloom.entry.version;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.poplarloom.core.version.Configuration;
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
	 * Applies a publication.
	 * @param offset its offset
	 * @param publication the publication
	 */
	public synchronized void apply(long offset, Publication publication) {
		set(this.state.withConfiguration(configuration().plus(offset, publication)));
	}

	/**
	 * Takes over a configuration if it is newer.
	 * @param configuration the configuration
	 */
	public synchronized void replace(Configuration configuration) {
		set(this.state.withConfiguration(configuration));
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
