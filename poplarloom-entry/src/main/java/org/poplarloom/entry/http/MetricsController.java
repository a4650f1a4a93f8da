package org.poplarloom.entry.http;

import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

import org.poplarloom.entry.request.EntryMetrics;

/**
 * Exports the metrics in the Prometheus text format.
 * <p>
 * This class is thread-safe.
 */
@Controller("/metrics")
final class MetricsController {

	private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

	private static final String PREFIX = "poplarloom_";

	private static final double NANOS_PER_SECOND = 1e9;

	private final EntryMetrics metrics;

	MetricsController(EntryMetrics metrics) {
		this.metrics = metrics;
	}

	@Get
	HttpResponse<String> metrics() {
		StringBuilder text = new StringBuilder();
		this.metrics.registry().getGauges().forEach((name, gauge) -> appendGauge(text, name, gauge));
		this.metrics.registry().getCounters().forEach((name, counter) -> appendCounter(text, name, counter));
		this.metrics.registry().getTimers().forEach((name, timer) -> appendTimer(text, name, timer));
		return HttpResponse.ok(text.toString()).contentType(CONTENT_TYPE);
	}

	private static void appendGauge(StringBuilder text, String name, Gauge<?> gauge) {
		text.append(PREFIX).append(baseName(name)).append(' ').append(gauge.getValue()).append('\n');
	}

	private static void appendCounter(StringBuilder text, String name, Counter counter) {
		text.append(PREFIX).append(baseName(name)).append("_total").append(label(name));
		text.append(' ').append(counter.getCount()).append('\n');
	}

	private static void appendTimer(StringBuilder text, String name, Timer timer) {
		Snapshot snapshot = timer.getSnapshot();
		Map<String, Double> quantiles = Map.of("0.5", snapshot.getMedian(), "0.95", snapshot.get95thPercentile(),
				"0.99", snapshot.get99thPercentile());
		String metric = PREFIX + baseName(name) + "_seconds";
		quantiles.forEach((quantile, nanos) -> text.append(metric)
			.append("{class=\"")
			.append(suffix(name))
			.append("\",quantile=\"")
			.append(quantile)
			.append("\"} ")
			.append(nanos / NANOS_PER_SECOND)
			.append('\n'));
		text.append(metric).append("_count{class=\"").append(suffix(name)).append("\"} ");
		text.append(timer.getCount()).append('\n');
	}

	private static String baseName(String name) {
		int dot = name.indexOf('.');
		return (dot < 0) ? name : name.substring(0, dot);
	}

	private static String suffix(String name) {
		return name.substring(name.indexOf('.') + 1);
	}

	private static String label(String name) {
		return (name.indexOf('.') < 0) ? "" : "{code=\"" + suffix(name) + "\"}";
	}

}
