package org.poplarloom.core.version;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;

/**
 * A change to the configuration.
 * <p>
 * All implementations are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = Change.PutContract.class, name = "put-contract"),
		@JsonSubTypes.Type(value = Change.SetZone.class, name = "set-zone"),
		@JsonSubTypes.Type(value = Change.SetInstance.class, name = "set-instance"),
		@JsonSubTypes.Type(value = Change.SetModel.class, name = "set-model") })
public sealed interface Change {

	/**
	 * Returns the part of the configuration that the change replaces.
	 * @return the subject, never null
	 */
	@JsonIgnore
	Subject subject();

	/**
	 * Replaces a team's contract.
	 *
	 * @param contract the new contract
	 */
	record PutContract(Contract contract) implements Change {

		@Override
		public Subject subject() {
			return Subject.of(this.contract.team());
		}

	}

	/**
	 * Takes an availability zone out or brings it back.
	 *
	 * @param zone the zone
	 * @param isOut whether the zone takes no new work
	 */
	record SetZone(AvailabilityZone zone, boolean isOut) implements Change {

		@Override
		public Subject subject() {
			return Subject.of(this.zone);
		}

	}

	/**
	 * Takes an instance or endpoint out or brings it back.
	 *
	 * @param instance the instance or endpoint
	 * @param isOut whether it takes no new work
	 */
	record SetInstance(InstanceId instance, boolean isOut) implements Change {

		@Override
		public Subject subject() {
			return Subject.of(this.instance);
		}

	}

	/**
	 * Sets which version and adapter of a model the endpoints load.
	 *
	 * @param model the model
	 * @param version the version
	 * @param adapter the adapter, empty for none
	 * @param role the role of the endpoints, empty for any
	 */
	record SetModel(String model, String version, String adapter, String role) implements Change {

		@Override
		public Subject subject() {
			return Subject.ofModel(this.model);
		}

	}

}
