package org.poplarloom.entry.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.InstanceId;
import org.poplarloom.entry.process.InstanceView;
import org.poplarloom.entry.process.Node;

/**
 * Chooses the instances that run requests for this one while it cannot reach the
 * endpoints.
 * <p>
 * Instances of the local zone come first, in random order, unless some of them could not
 * help: then the zone may be cut off, and those of others come first. One that could not
 * help is left out for some time. This class is not thread-safe; the event loop guards
 * it.
 */
final class Forwarding {

	private static final long AVOIDANCE_MILLIS = 1_000;

	private static final int MAX_LOCAL_TRIES = 2;

	private final Node node;

	private final Map<InstanceId, Long> avoidedUntilMillis = new HashMap<>();

	private long count;

	Forwarding(Node node) {
		this.node = node;
	}

	/**
	 * Chooses an instance.
	 * @param tried instances that were asked for the request already
	 * @return an instance, empty if there is none
	 */
	Optional<InstanceView.Instance> choose(Set<InstanceId> tried) {
		long now = this.node.clock().nowMillis();
		this.avoidedUntilMillis.values().removeIf((until) -> until <= now);
		AvailabilityZone localZone = this.node.settings().zone();
		boolean prefersLocal = tried.size() < MAX_LOCAL_TRIES;
		List<InstanceView.Instance> candidates = new ArrayList<>(this.node.instances().all());
		candidates.removeIf((instance) -> instance.id().equals(this.node.settings().instance())
				|| tried.contains(instance.id()) || this.avoidedUntilMillis.containsKey(instance.id()));
		Collections.shuffle(candidates);
		return candidates.stream()
			.min(Comparator
				.comparing((InstanceView.Instance instance) -> instance.zone().equals(localZone) != prefersLocal));
	}

	/**
	 * Returns whether there are other instances.
	 * @return false if this is the only one that is known
	 */
	boolean hasPeers() {
		return this.node.instances().all().size() > 1;
	}

	/**
	 * Records that an instance could not run a request.
	 * @param instance the instance
	 */
	void avoid(InstanceId instance) {
		this.avoidedUntilMillis.put(instance, this.node.clock().nowMillis() + AVOIDANCE_MILLIS);
	}

	/**
	 * Returns a key for the next forwarding.
	 * @param requestId the id of the request
	 * @return the key, unique in the system
	 */
	String nextKey(String requestId) {
		return requestId + "." + this.node.settings().instance() + "." + ++this.count;
	}

	/**
	 * Returns how many requests were forwarded, repetitions included.
	 * @return the count since the start
	 */
	long count() {
		return this.count;
	}

	Node node() {
		return this.node;
	}

}
