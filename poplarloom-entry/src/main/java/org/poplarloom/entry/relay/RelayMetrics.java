package org.poplarloom.entry.relay;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

import org.poplarloom.core.request.LengthClass;

/**
 * Counts and times of relayed requests.
 * <p>
 * This class is thread-safe.
 */
public final class RelayMetrics {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Counts the end of a request.
	 * @param outcome how it ended
	 * @param promptTokens the length of its prompt in tokens, 0 if it has none
	 * @param firstMillis the time to its first event in milliseconds, negative if there
	 * was none
	 * @param ageMillis its whole time in milliseconds
	 */
	void ended(String outcome, long promptTokens, long firstMillis, long ageMillis) {
		String kind = (promptTokens > 0) ? LengthClass.of(promptTokens).name().toLowerCase(Locale.ROOT) : "plain";
		this.registry.counter("requests." + kind + "." + outcome).inc();
		this.registry.timer("time." + kind).update(ageMillis, TimeUnit.MILLISECONDS);
		if (firstMillis >= 0) {
			this.registry.timer("first_event." + kind).update(firstMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Counts an attempt without an answer.
	 * @param mayHaveRun whether the endpoint may have run the request
	 */
	void attemptFailed(boolean mayHaveRun) {
		this.registry.counter(mayHaveRun ? "attempts.failed_unknown" : "attempts.failed_not_run").inc();
	}

	/**
	 * Shows a value that is read when somebody asks.
	 * @param name the name
	 * @param value gives the value
	 */
	public void show(String name, Gauge<Long> value) {
		this.registry.gauge(name, () -> value);
	}

	/**
	 * Writes all counts and times.
	 * @return one name and value a line, times in milliseconds
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Counter> counter : this.registry.getCounters().entrySet()) {
			line(text, counter.getKey(), counter.getValue().getCount());
		}
		this.registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
		for (Map.Entry<String, Timer> timer : this.registry.getTimers().entrySet()) {
			Snapshot snapshot = timer.getValue().getSnapshot();
			line(text, timer.getKey() + ".count", timer.getValue().getCount());
			for (double quantile : QUANTILES) {
				line(text, timer.getKey() + ".p" + Math.round(quantile * 100),
						Math.round(snapshot.getValue(quantile) / NANOS_PER_MILLI));
			}
		}
		return text.toString();
	}

	private static void line(StringBuilder text, String name, Object value) {
		text.append("poplarloom_").append(name.replace('.', '_')).append(' ').append(value).append('\n');
	}

}
