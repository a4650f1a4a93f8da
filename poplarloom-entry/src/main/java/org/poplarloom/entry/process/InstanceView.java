package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.port.InstanceListPort.Listed;

/**
 * The entry instances of the whole system as this instance sees them.
 * <p>
 * Instances of the own zone are known by their heartbeats, those of other zones by the
 * platform's list. This class is thread-safe.
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
	 * Returns the live instances of the own zone, the local one among them, and the
	 * listed ones of other zones.
	 * @return the instances, without those that are known to be shutting down
	 */
	public List<Instance> all() {
		List<Instance> all = new ArrayList<>();
		AvailabilityZone own = this.membership.self().zone();
		for (Member member : this.membership.live(own, this.clock.nowMillis())) {
			all.add(new Instance(member.id(), member.zone(), member.address()));
		}
		for (Listed listed : entries()) {
			if (!listed.zone().equals(own.value()) && !listed.isLeaving()) {
				all.add(instance(listed));
			}
		}
		return all;
	}

	private List<Listed> entries() {
		return this.directory.listed().stream().filter((listed) -> listed.kind().equals(Listed.ENTRY)).toList();
	}

	private static Instance instance(Listed listed) {
		return new Instance(InstanceId.of(listed.id()), AvailabilityZone.of(listed.zone()), listed.address());
	}

	/**
	 * Returns the names of {@link #all()} instances.
	 * @return the names
	 */
	public Set<InstanceId> ids() {
		Set<InstanceId> ids = new HashSet<>();
		all().forEach((instance) -> ids.add(instance.id()));
		return ids;
	}

	/**
	 * Returns the listed instances of the own zone that have never been heard of.
	 * @return the instances
	 */
	public List<Instance> strangers() {
		Member self = this.membership.self();
		Set<InstanceId> known = new HashSet<>();
		this.membership.live(self.zone(), this.clock.nowMillis()).forEach((member) -> known.add(member.id()));
		known.add(self.id());
		return entries().stream()
			.filter((listed) -> listed.zone().equals(self.zone().value()))
			.map(InstanceView::instance)
			.filter((instance) -> !known.contains(instance.id()))
			.toList();
	}

	/**
	 * Returns the instances that may still hold grants.
	 * @return live instances of the own zone, also those that are shutting down, and all
	 * listed ones of other zones
	 */
	public Set<InstanceId> possibleHolders() {
		Set<InstanceId> holders = new HashSet<>();
		this.membership.allLive(this.clock.nowMillis()).forEach((member) -> holders.add(member.id()));
		String own = this.membership.self().zone().value();
		entries().stream()
			.filter((listed) -> !listed.zone().equals(own))
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
