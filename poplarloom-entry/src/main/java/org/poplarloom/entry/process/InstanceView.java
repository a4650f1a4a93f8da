package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.port.InstanceListPort.ListedInstance;

/**
 * The entry instances of the whole system as this instance sees them.
 * <p>
 * Instances of the local zone are known from their heartbeats, those of other zones from
 * the platform's list. This class is thread-safe.
 */
public final class InstanceView {

	private final MembershipTable membership;

	private final EndpointDirectory directory;

	private final Clock clock;

	public InstanceView(MembershipTable membership, EndpointDirectory directory, Clock clock) {
		this.membership = membership;
		this.directory = directory;
		this.clock = clock;
	}

	/**
	 * Returns the live instances of the local zone, including this one, and the listed
	 * instances of other zones.
	 * @return the instances, without those that are known to be draining
	 */
	public List<Instance> all() {
		List<Instance> all = new ArrayList<>();
		AvailabilityZone localZone = this.membership.self().zone();
		for (Member member : this.membership.live(localZone, this.clock.nowMillis())) {
			all.add(new Instance(member.id(), member.zone(), member.address()));
		}
		for (ListedInstance listed : listedEntryInstances()) {
			if (!listed.zone().equals(localZone.value()) && !listed.isLeaving()) {
				all.add(toInstance(listed));
			}
		}
		return all;
	}

	private List<ListedInstance> listedEntryInstances() {
		return this.directory.listed().stream().filter((listed) -> listed.kind().equals(ListedInstance.ENTRY)).toList();
	}

	private static Instance toInstance(ListedInstance listed) {
		return new Instance(InstanceId.of(listed.id()), AvailabilityZone.of(listed.zone()), listed.address());
	}

	/**
	 * Returns the address of an instance.
	 * @param id the instance
	 * @return its host and port for peers, or empty if it is not among {@link #all()}
	 */
	public Optional<String> address(InstanceId id) {
		return all().stream().filter((instance) -> instance.id().equals(id)).map(Instance::address).findFirst();
	}

	/**
	 * Returns the identifiers of {@link #all()} instances.
	 * @return the identifiers
	 */
	public Set<InstanceId> ids() {
		Set<InstanceId> ids = new HashSet<>();
		all().forEach((instance) -> ids.add(instance.id()));
		return ids;
	}

	/**
	 * Returns the listed instances of the local zone that are not among its live members.
	 * @return the instances, without this one
	 */
	public List<Instance> undiscovered() {
		Member self = this.membership.self();
		Set<InstanceId> known = new HashSet<>();
		this.membership.live(self.zone(), this.clock.nowMillis()).forEach((member) -> known.add(member.id()));
		known.add(self.id());
		return listedEntryInstances().stream()
			.filter((listed) -> listed.zone().equals(self.zone().value()))
			.map(InstanceView::toInstance)
			.filter((instance) -> !known.contains(instance.id()))
			.toList();
	}

	/**
	 * Returns the entry instances of all zones that the platform lists, including those
	 * that have ended without notice.
	 * @return the identifiers, empty until the list was read
	 */
	public Set<InstanceId> listedIds() {
		Set<InstanceId> ids = new HashSet<>();
		listedEntryInstances().forEach((listed) -> ids.add(InstanceId.of(listed.id())));
		return ids;
	}

	/**
	 * Returns the instances that may still hold grants.
	 * @return the live instances of the local zone and all listed instances of other
	 * zones, including those that are draining
	 */
	public Set<InstanceId> possibleHolders() {
		Set<InstanceId> holders = new HashSet<>();
		this.membership.allLive(this.clock.nowMillis()).forEach((member) -> holders.add(member.id()));
		String localZone = this.membership.self().zone().value();
		listedEntryInstances().stream()
			.filter((listed) -> !listed.zone().equals(localZone))
			.forEach((listed) -> holders.add(InstanceId.of(listed.id())));
		return holders;
	}

	/**
	 * An entry instance and where to reach it.
	 *
	 * @param id the instance
	 * @param zone its zone
	 * @param address the host and port for peers
	 */
	public record Instance(InstanceId id, AvailabilityZone zone, String address) {
	}

}
