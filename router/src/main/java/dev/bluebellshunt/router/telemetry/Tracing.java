package dev.bluebellshunt.router.telemetry;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.context.propagation.TextMapSetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Creates a span for each request and each call to a target, and propagates W3C {@code traceparent} headers. */
public final class Tracing implements AutoCloseable {

    private static final TextMapGetter<HttpFields> GETTER = new FieldsGetter();
    private static final TextMapSetter<HttpFields.Mutable> SETTER = (fields, name, value) -> {
        if (fields != null) {
            fields.put(name, value);
        }
    };

    private final OpenTelemetry telemetry;
    private final Tracer tracer;
    private final @Nullable SdkTracerProvider provider;

    private Tracing(OpenTelemetry telemetry, @Nullable SdkTracerProvider provider) {
        this.telemetry = telemetry;
        this.tracer = telemetry.getTracer("bluebellshunt");
        this.provider = provider;
    }

    /**
     * Returns an instance that propagates the caller's trace context without exporting spans.
     *
     * @return the tracing instance
     */
    public static Tracing propagationOnly() {
        return new Tracing(OpenTelemetry.propagating(propagators()), null);
    }

    /**
     * Returns an instance that exports spans in batches over OTLP.
     *
     * @param vm the VM name, reported as the service instance ID
     * @param endpoint the OTLP/HTTP traces endpoint
     * @return the tracing instance
     */
    public static Tracing exporting(String vm, String endpoint) {
        OtlpHttpSpanExporter exporter =
                OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build();
        return exportingTo(vm, BatchSpanProcessor.builder(exporter).build());
    }

    /**
     * Returns an instance that passes spans to a custom processor.
     *
     * @param vm the VM name, reported as the service instance ID
     * @param processor the span processor
     * @return the tracing instance
     */
    public static Tracing exportingTo(String vm, SpanProcessor processor) {
        Resource resource = Resource.builder()
                .put(AttributeKey.stringKey("service.name"), "bluebellshunt")
                .put(AttributeKey.stringKey("service.instance.id"), vm)
                .build();
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .setResource(resource)
                .addSpanProcessor(processor)
                .build();
        OpenTelemetrySdk sdk = OpenTelemetrySdk.builder()
                .setTracerProvider(provider)
                .setPropagators(propagators())
                .build();
        return new Tracing(sdk, provider);
    }

    private static ContextPropagators propagators() {
        return ContextPropagators.create(W3CTraceContextPropagator.getInstance());
    }

    /**
     * Starts the server span of a caller's request.
     *
     * @param name the span name, from a bounded set
     * @param fields the request headers, which may contain the parent context
     * @return the started span
     */
    public TraceSpan startServerSpan(String name, HttpFields fields) {
        Context parent = telemetry.getPropagators().getTextMapPropagator().extract(Context.root(), fields, GETTER);
        return startSpan(name, SpanKind.SERVER, parent);
    }

    /**
     * Starts the client span of a call to a target.
     *
     * @param name the span name, from a bounded set
     * @param parent the server span of the caller's request
     * @return the started span
     */
    public TraceSpan startClientSpan(String name, TraceSpan parent) {
        return startSpan(name, SpanKind.CLIENT, parent.context);
    }

    private TraceSpan startSpan(String name, SpanKind kind, Context parent) {
        Span span = tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
        return new TraceSpan(span, parent.with(span));
    }

    /**
     * Injects the trace context of a span into request headers.
     *
     * @param span the span
     * @param fields the headers to modify
     */
    public void inject(TraceSpan span, HttpFields.Mutable fields) {
        telemetry.getPropagators().getTextMapPropagator().inject(span.context, fields, SETTER);
    }

    @Override
    public void close() {
        if (provider != null) {
            provider.close();
        }
    }

    /** A started span together with its trace context. */
    public static final class TraceSpan {
        private final Span span;
        private final Context context;

        private TraceSpan(Span span, Context context) {
            this.span = span;
            this.context = context;
        }

        /**
         * Sets an attribute of the span.
         *
         * @param name the attribute name
         * @param value the attribute value, which must not contain an API key or any part of a prompt
         * @return this span
         */
        public TraceSpan setAttribute(String name, String value) {
            span.setAttribute(name, value);
            return this;
        }

        /**
         * Ends the span, with error status unless the result is {@code ok}.
         *
         * @param result {@code ok} or an error code
         */
        public void end(String result) {
            if (!"ok".equals(result)) {
                span.setStatus(StatusCode.ERROR, result);
            }
            span.end();
        }
    }

    private static final class FieldsGetter implements TextMapGetter<HttpFields> {
        @Override
        @SuppressWarnings("deprecation") // abstract in TextMapGetter, so an implementation is required
        public Iterable<String> keys(HttpFields fields) {
            return List.copyOf(fields.getFieldNamesCollection());
        }

        @Override
        public @Nullable String get(@Nullable HttpFields fields, String key) {
            return fields == null ? null : fields.get(key);
        }
    }
}
