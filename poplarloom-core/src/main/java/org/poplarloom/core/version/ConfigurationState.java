package org.poplarloom.core.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.AvailabilityZone;

/**
 * What an instance knows of the configuration: the folded version and the zone orders
 * that the log does not hold yet.
 * <p>
 * The offset never falls. This class is immutable and thread-safe.
 *
 * @param configuration the folded version
 * @param zoneOrders unconfirmed orders by zone
 */
public record ConfigurationState(Configuration configuration, Map<AvailabilityZone, ZoneOrder> zoneOrders) {

	/** The state of an instance that has learnt nothing. */
	public static final ConfigurationState EMPTY = new ConfigurationState(Configuration.EMPTY, Map.of());

	public ConfigurationState {
		zoneOrders = Map.copyOf(zoneOrders);
	}

	/**
	 * Says whether a zone takes no new work.
	 * @param zone the zone
	 * @return true if the latest word on the zone took it out
	 */
	public boolean isZoneOut(AvailabilityZone zone) {
		ZoneOrder order = this.zoneOrders.get(zone);
		return (order != null) ? order.isOut() : this.configuration.isZoneOut(zone);
	}

	/**
	 * Returns the state with a newer configuration.
	 * @param next the configuration
	 * @return this state if the configuration is not newer
	 */
	public ConfigurationState withConfiguration(Configuration next) {
		if (next.offset() <= this.configuration.offset()) {
			return this;
		}
		return new ConfigurationState(next, retain(next, this.zoneOrders.values()));
	}

	/**
	 * Returns the state after zone orders that a peer or an operator sent.
	 * @param orders the orders
	 * @return this state if nothing is new
	 */
	public ConfigurationState withZoneOrders(Collection<ZoneOrder> orders) {
		Map<AvailabilityZone, ZoneOrder> next = new HashMap<>(this.zoneOrders);
		for (ZoneOrder order : orders) {
			next.merge(order.zone(), order, (known, added) -> added.isLaterThan(known) ? added : known);
		}
		next = retain(this.configuration, next.values());
		return next.equals(this.zoneOrders) ? this : new ConfigurationState(this.configuration, next);
	}

	/**
	 * Says whether a publication is in force, on the log or as an unconfirmed order.
	 * @param publicationId the identity of the publish call
	 * @return true if it was applied
	 */
	public boolean isInForce(String publicationId) {
		return this.configuration.hasApplied(publicationId)
				|| this.zoneOrders.values().stream().anyMatch((order) -> order.id().equals(publicationId));
	}

	/**
	 * Returns the unconfirmed orders.
	 * @return at most one per zone
	 */
	public List<ZoneOrder> unconfirmedOrders() {
		return List.copyOf(this.zoneOrders.values());
	}

	private static Map<AvailabilityZone, ZoneOrder> retain(Configuration configuration, Collection<ZoneOrder> orders) {
		Map<AvailabilityZone, ZoneOrder> retained = new HashMap<>();
		for (ZoneOrder order : orders) {
			boolean isConfirmed = configuration.hasApplied(order.id());
			boolean isSuperseded = configuration.offsetOf(Subject.of(order.zone())) > order.afterOffset();
			if (!isConfirmed && !isSuperseded) {
				retained.put(order.zone(), order);
			}
		}
		return retained;
	}

}
