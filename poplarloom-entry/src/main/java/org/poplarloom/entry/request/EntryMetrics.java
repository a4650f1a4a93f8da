package org.poplarloom.entry.request;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.request.LengthClass;

/**
 * The metrics of one instance.
 * <p>
 * This class is thread-safe.
 */
public final class EntryMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Returns the registry.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	void firstToken(long promptTokens, long nanos) {
		String name = "first_token." + LengthClass.of(promptTokens).name().toLowerCase(java.util.Locale.ROOT);
		this.registry.timer(name).update(nanos, TimeUnit.NANOSECONDS);
	}

	void countRetry() {
		this.registry.counter("retries").inc();
	}

	void countDroppedPiece() {
		this.registry.counter("pieces_dropped").inc();
	}

	/**
	 * Counts a refused or failed request.
	 * @param code the reason
	 */
	public void countRefusal(ErrorCode code) {
		this.registry.counter("refusals." + code.text()).inc();
	}

}
