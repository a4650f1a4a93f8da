package org.poplarloom.entry.request;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.request.LengthClass;
import org.poplarloom.entry.process.Node;

/**
 * The metrics of one entry instance.
 * <p>
 * This class is thread-safe.
 */
public final class EntryMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Registers the gauges that read the state of a node.
	 * @param node the node
	 */
	public void registerGauges(Node node) {
		gauge("peer_sent_bytes_total", () -> node.network().traffic().sentBytes());
		gauge("peer_sent_messages_total", () -> node.network().traffic().sentMessages());
		gauge("peer_received_bytes_total", () -> node.network().traffic().receivedBytes());
		gauge("peer_dropped_messages_total", () -> node.network().traffic().droppedMessages());
		gauge("configuration_offset", () -> node.activeConfiguration().configuration().offset());
		gauge("live_instances", () -> node.instances().all().size());
		gauge("grants_held", () -> node.grantClient().heldCount());
		gauge("log_connected", () -> node.configurationFollower().isConnected() ? 1 : 0);
		gauge("homes", () -> node.localHomes().homes().size());
		gauge("queued",
				() -> node.localHomes().statuses().stream().mapToInt((status) -> status.summary().queued()).sum());
		gauge("process_cpu_seconds_total", EntryMetrics::cpuSeconds);
		gauge("heap_used_bytes", () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
	}

	private void gauge(String name, Gauge<Number> gauge) {
		this.registry.register(name, gauge);
	}

	private static double cpuSeconds() {
		OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
		return system.getProcessCpuTime() / NANOS_PER_SECOND;
	}

	/**
	 * Returns the registry of all metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	void recordFirstToken(long promptTokens, long nanos) {
		String name = "first_token." + LengthClass.of(promptTokens).name().toLowerCase(java.util.Locale.ROOT);
		this.registry.timer(name).update(nanos, TimeUnit.NANOSECONDS);
	}

	void countRetry() {
		this.registry.counter("retries").inc();
	}

	void countDroppedChunk() {
		this.registry.counter("pieces_dropped").inc();
	}

	/**
	 * Counts a refused or failed request.
	 * @param code the error that was returned to the caller
	 */
	public void countRefusal(ErrorCode code) {
		this.registry.counter("refusals." + code.text()).inc();
	}

}
