package org.poplarloom.core.version;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.poplarloom.core.AvailabilityZone;

/**
 * The configuration as an instance knows it: the replayed version and the zone commands
 * that it has not read from the log yet.
 * <p>
 * The offset never decreases. This class is immutable and thread-safe.
 *
 * @param configuration the replayed version
 * @param zoneCommands the unconfirmed commands by zone
 */
public record ConfigurationState(Configuration configuration, Map<AvailabilityZone, ZoneCommand> zoneCommands) {

	/** The state of an instance that has received no configuration. */
	public static final ConfigurationState EMPTY = new ConfigurationState(Configuration.EMPTY, Map.of());

	public ConfigurationState {
		zoneCommands = Map.copyOf(zoneCommands);
	}

	/**
	 * Returns whether a zone takes no new work.
	 * @param zone the zone
	 * @return true if the latest command or publication about the zone took it out
	 */
	public boolean isZoneOut(AvailabilityZone zone) {
		ZoneCommand command = this.zoneCommands.get(zone);
		return (command != null) ? command.isOut() : this.configuration.isZoneOut(zone);
	}

	/**
	 * Replaces the configuration and removes the zone commands that it confirms or
	 * supersedes.
	 * @param next the configuration
	 * @return the new state; this one if the configuration is not newer
	 */
	public ConfigurationState withConfiguration(Configuration next) {
		if (next.offset() <= this.configuration.offset()) {
			return this;
		}
		return new ConfigurationState(next, retain(next, this.zoneCommands.values()));
	}

	/**
	 * Adds zone commands that a peer or an operator sent.
	 * @param commands the commands
	 * @return the new state; this one if no command is new
	 */
	public ConfigurationState withZoneCommands(Collection<ZoneCommand> commands) {
		Map<AvailabilityZone, ZoneCommand> next = new HashMap<>(this.zoneCommands);
		for (ZoneCommand command : commands) {
			next.merge(command.zone(), command, (known, added) -> added.isLaterThan(known) ? added : known);
		}
		next = retain(this.configuration, next.values());
		return next.equals(this.zoneCommands) ? this : new ConfigurationState(this.configuration, next);
	}

	/**
	 * Returns whether a publication is in force, read from the log or as an unconfirmed
	 * command.
	 * @param publicationId the identity of the publish call
	 * @return true if it is in force
	 */
	public boolean isInForce(String publicationId) {
		return this.configuration.hasApplied(publicationId)
				|| this.zoneCommands.values().stream().anyMatch((command) -> command.id().equals(publicationId));
	}

	/**
	 * Returns the unconfirmed zone commands.
	 * @return at most one per zone
	 */
	public List<ZoneCommand> unconfirmedZoneCommands() {
		return List.copyOf(this.zoneCommands.values());
	}

	private static Map<AvailabilityZone, ZoneCommand> retain(Configuration configuration,
			Collection<ZoneCommand> commands) {
		Map<AvailabilityZone, ZoneCommand> retained = new HashMap<>();
		for (ZoneCommand command : commands) {
			boolean isConfirmed = configuration.hasApplied(command.id());
			boolean isSuperseded = configuration.offsetOf(Subject.of(command.zone())) > command.afterOffset();
			if (!isConfirmed && !isSuperseded) {
				retained.put(command.zone(), command);
			}
		}
		return retained;
	}

}
