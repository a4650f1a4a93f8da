package org.poplarloom.entry.relay;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

import org.poplarloom.core.request.LengthClass;

/**
 * Metrics of relayed requests.
 * <p>
 * This class is thread-safe.
 */
public final class RelayMetrics {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private final MetricRegistry registry = new MetricRegistry();

	private final List<Supplier<Map<String, Long>>> changingGauges = new CopyOnWriteArrayList<>();

	/**
	 * Records the end of a request.
	 * @param outcome how it ended
	 * @param promptTokens the length of its prompt in tokens, 0 if it has none
	 * @param firstEventMillis the time to its first event in milliseconds, negative if
	 * there was none
	 * @param ageMillis the time from its arrival to its end, in milliseconds
	 */
	void recordEnd(String outcome, long promptTokens, long firstEventMillis, long ageMillis) {
		String lengthClass = (promptTokens > 0) ? LengthClass.of(promptTokens).name().toLowerCase(Locale.ROOT)
				: "plain";
		this.registry.counter("requests." + lengthClass + "." + outcome).inc();
		this.registry.timer("time." + lengthClass).update(ageMillis, TimeUnit.MILLISECONDS);
		if (firstEventMillis >= 0) {
			this.registry.timer("first_event." + lengthClass).update(firstEventMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Records an attempt that ended without an answer.
	 * @param mayHaveRun whether the endpoint may have run the request
	 */
	void recordFailedAttempt(boolean mayHaveRun) {
		this.registry.counter(mayHaveRun ? "attempts.failed_unknown" : "attempts.failed_not_run").inc();
	}

	/**
	 * Records a response that belonged to another request than the one in progress.
	 */
	void recordSkippedResponse() {
		this.registry.counter("responses.skipped").inc();
	}

	/**
	 * Records that an endpoint has said that it wants no requests for some time.
	 */
	void recordBackOff() {
		this.registry.counter("endpoints.back_offs").inc();
	}

	/**
	 * Records that an endpoint has said that it leaves.
	 */
	void recordLeaving() {
		this.registry.counter("endpoints.said_leaving").inc();
	}

	/**
	 * Registers a gauge, which is read each time the metrics are written.
	 * @param name the name
	 * @param value supplies the value
	 */
	public void registerGauge(String name, Gauge<Long> value) {
		this.registry.gauge(name, () -> value);
	}

	/**
	 * Registers gauges whose names change, which are read each time the metrics are
	 * written.
	 * @param values supplies the values by name
	 */
	public void registerGauges(Supplier<Map<String, Long>> values) {
		this.changingGauges.add(values);
	}

	/**
	 * Formats all metrics as text.
	 * @return one metric per line, as its name and its value; times in milliseconds
	 */
	public String toText() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Counter> counter : this.registry.getCounters().entrySet()) {
			appendLine(text, counter.getKey(), counter.getValue().getCount());
		}
		this.registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
		this.changingGauges.forEach((values) -> values.get().forEach((name, value) -> appendLine(text, name, value)));
		for (Map.Entry<String, Timer> timer : this.registry.getTimers().entrySet()) {
			Snapshot snapshot = timer.getValue().getSnapshot();
			appendLine(text, timer.getKey() + ".count", timer.getValue().getCount());
			for (double quantile : QUANTILES) {
				appendLine(text, timer.getKey() + ".p" + Math.round(quantile * 100),
						Math.round(snapshot.getValue(quantile) / NANOS_PER_MILLI));
			}
		}
		return text.toString();
	}

	private static void appendLine(StringBuilder text, String name, Object value) {
		text.append("poplarloom_").append(name.replace('.', '_')).append(' ').append(value).append('\n');
	}

}
