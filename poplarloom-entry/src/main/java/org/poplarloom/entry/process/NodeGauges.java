package org.poplarloom.entry.process;

import java.util.LinkedHashMap;
import java.util.Map;

import org.poplarloom.core.process.SpareCapacityChoice;
import org.poplarloom.entry.relay.RelayMetrics;

/**
 * The gauges of a node: its grants, what it sends to peers, the shares of teams at its
 * homes and where its requests go.
 * <p>
 * They are read only after the node has started. This class is thread-safe.
 */
final class NodeGauges {

	private final Node node;

	private NodeGauges(Node node) {
		this.node = node;
	}

	/**
	 * Registers the gauges of a node.
	 * @param metrics the metrics
	 * @param node the node
	 */
	static void register(RelayMetrics metrics, Node node) {
		NodeGauges gauges = new NodeGauges(node);
		metrics.registerGauge("grants.held", () -> (long) node.grantClient().heldCount());
		metrics.registerGauges(gauges::sentToPeers);
		metrics.registerGauges(() -> node.localHomes().teamFigures());
		if (node.loadSpread().isEnabled()) {
			gauges.registerLoadSpread(metrics);
		}
	}

	private Map<String, Long> sentToPeers() {
		Map<String, Long> values = new LinkedHashMap<>();
		this.node.network().traffic().sentByKind().forEach((kind, sent) -> {
			values.put("peer.sent_messages." + kind, sent.messages());
			values.put("peer.sent_bytes." + kind, sent.bytes());
		});
		return values;
	}

	private void registerLoadSpread(RelayMetrics metrics) {
		LoadSpread spread = this.node.loadSpread();
		metrics.registerGauge("load_spread.active", () -> spread.isActive() ? 1L : 0L);
		metrics.registerGauge("load_spread.spilling", () -> this.node.homeSelector().isSpilling() ? 1L : 0L);
		metrics.registerGauge("load_spread.chosen_local", spread::chosenLocal);
		metrics.registerGauge("load_spread.chosen_other_zones", spread::chosenRemote);
		metrics.registerGauge("load_spread.spare_slots_local", () -> spareSlots(true));
		metrics.registerGauge("load_spread.spare_slots_other_zones", () -> spareSlots(false));
		metrics.registerGauge("load_spread.oldest_status_ms", this::oldestStatusMillis);
	}

	private long spareSlots(boolean isLocal) {
		return Math.round(this.node.homeSelector()
			.estimates()
			.stream()
			.filter((estimate) -> estimate.isLocal() == isLocal)
			.mapToDouble(SpareCapacityChoice.LoadEstimate::spareSlots)
			.sum());
	}

	private long oldestStatusMillis() {
		return this.node.homeSelector()
			.estimates()
			.stream()
			.mapToLong(SpareCapacityChoice.LoadEstimate::ageMillis)
			.max()
			.orElse(0);
	}

}
