package org.poplarloom.core.version;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;

/**
 * The part of the configuration that one change replaces.
 * <p>
 * Two changes conflict only if they have the same subject. This class is immutable and
 * thread-safe.
 *
 * @param value the kind and the name, such as {@code contract/rota}
 */
public record Subject(String value) {

	/**
	 * Returns the subject of a contract.
	 * @param team the team
	 * @return the subject
	 */
	public static Subject of(TeamId team) {
		return new Subject("contract/" + team);
	}

	/**
	 * Returns the subject of an availability zone's state.
	 * @param zone the zone
	 * @return the subject
	 */
	public static Subject of(AvailabilityZone zone) {
		return new Subject("zone/" + zone);
	}

	/**
	 * Returns the subject of an instance's state.
	 * @param instance the instance
	 * @return the subject
	 */
	public static Subject of(InstanceId instance) {
		return new Subject("instance/" + instance);
	}

	/**
	 * Returns the subject of the desired state of the endpoints of a model.
	 * @param model the model
	 * @return the subject
	 */
	public static Subject ofModel(String model) {
		return new Subject("model/" + model);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
