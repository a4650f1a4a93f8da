package org.poplarloom.entry.process;

import java.util.Collection;
import java.util.Map;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.TracerProvider;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.InstanceId;

/**
 * Records a span for each hop of a request.
 * <p>
 * The parent of a span is passed on in the format of the W3C {@code traceparent} header,
 * also in messages between instances. This class is thread-safe.
 */
public final class Tracing implements AutoCloseable {

	/** The name of the header that carries the parent span. */
	public static final String PARENT_HEADER = "traceparent";

	private static final Logger logger = LoggerFactory.getLogger(Tracing.class);

	private static final String INSTRUMENTATION_NAME = "poplarloom";

	private static final String EXPORT_TO_LOG = "log";

	private static final String EXPORT_NONE = "none";

	private static final double NANOS_PER_MILLI = 1e6;

	private static final TextMapGetter<String> PARENT_GETTER = new TextMapGetter<>() {

		@Override
		public Iterable<String> keys(String carrier) {
			return Map.of(PARENT_HEADER, carrier).keySet();
		}

		@Override
		public String get(String carrier, String key) {
			return key.equals(PARENT_HEADER) ? carrier : null;
		}

	};

	private final Tracer tracer;

	private final Runnable shutdown;

	private Tracing(TracerProvider provider, Runnable shutdown) {
		this.tracer = provider.get(INSTRUMENTATION_NAME);
		this.shutdown = shutdown;
	}

	/**
	 * Creates a recorder.
	 * @param export the destination of the spans: {@code none}, {@code log} or the URL of
	 * an OTLP collector; with {@code none} a hop only passes on the span of its caller
	 * @param instance the instance that records
	 * @return the recorder
	 */
	public static Tracing of(String export, InstanceId instance) {
		if (export.equals(EXPORT_NONE)) {
			return new Tracing(TracerProvider.noop(), () -> {
			});
		}
		SpanExporter exporter = export.equals(EXPORT_TO_LOG) ? new LogExporter()
				: OtlpHttpSpanExporter.builder().setEndpoint(export).build();
		SdkTracerProvider provider = SdkTracerProvider.builder()
			.setResource(Resource.builder()
				.put("service.name", INSTRUMENTATION_NAME)
				.put("host.name", instance.value())
				.build())
			.addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
			.build();
		return new Tracing(provider, provider::shutdown);
	}

	/**
	 * Starts a span.
	 * @param name the name of the hop
	 * @param parent the parent in header format, null or empty for a root span
	 * @return the span, which the caller ends when the hop ends
	 */
	public Span start(String name, String parent) {
		Context context = Context.root();
		if (parent != null && !parent.isEmpty()) {
			context = W3CTraceContextPropagator.getInstance().extract(context, parent, PARENT_GETTER);
		}
		return this.tracer.spanBuilder(name).setParent(context).startSpan();
	}

	/**
	 * Formats a span as the parent of other spans.
	 * @param span the span
	 * @return the value of the {@code traceparent} header
	 */
	public static String traceParent(Span span) {
		return "00-" + span.getSpanContext().getTraceId() + "-" + span.getSpanContext().getSpanId() + "-"
				+ span.getSpanContext().getTraceFlags().asHex();
	}

	@Override
	public void close() {
		this.shutdown.run();
	}

	/**
	 * Exports spans to the log of the process.
	 */
	private static final class LogExporter implements SpanExporter {

		@Override
		public CompletableResultCode export(Collection<SpanData> spans) {
			for (SpanData span : spans) {
				double millis = (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MILLI;
				logger.info("span {} trace={} id={} parent={} ms={} status={}", span.getName(), span.getTraceId(),
						span.getSpanId(), span.getParentSpanId(), millis, span.getStatus().getStatusCode());
			}
			return CompletableResultCode.ofSuccess();
		}

		@Override
		public CompletableResultCode flush() {
			return CompletableResultCode.ofSuccess();
		}

		@Override
		public CompletableResultCode shutdown() {
			return CompletableResultCode.ofSuccess();
		}

	}

}
