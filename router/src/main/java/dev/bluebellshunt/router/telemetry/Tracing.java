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

/** A span for each hop, with W3C {@code traceparent} carried through. */
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
     * Tracing that carries a caller's context through and exports nothing.
     *
     * @return the tracing
     */
    public static Tracing off() {
        return new Tracing(OpenTelemetry.propagating(propagators()), null);
    }

    /**
     * Tracing that exports spans.
     *
     * @param vm the VM that the spans name
     * @param endpoint the OTLP endpoint for traces over HTTP
     * @return the tracing
     */
    public static Tracing exporting(String vm, String endpoint) {
        OtlpHttpSpanExporter exporter =
                OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build();
        return with(vm, BatchSpanProcessor.builder(exporter).build());
    }

    /**
     * Tracing with a processor of one's own.
     *
     * @param vm the VM that the spans name
     * @param processor receives the spans
     * @return the tracing
     */
    public static Tracing with(String vm, SpanProcessor processor) {
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
     * Begins the span of a caller's request.
     *
     * @param name the span's name, from a bounded set
     * @param fields the request's headers
     * @return the hop
     */
    public Hop server(String name, HttpFields fields) {
        Context parent = telemetry.getPropagators().getTextMapPropagator().extract(Context.root(), fields, GETTER);
        return begin(name, SpanKind.SERVER, parent);
    }

    /**
     * Begins the span of a call to a target.
     *
     * @param name the span's name, from a bounded set
     * @param parent the hop of the caller's request
     * @return the hop
     */
    public Hop client(String name, Hop parent) {
        return begin(name, SpanKind.CLIENT, parent.context);
    }

    private Hop begin(String name, SpanKind kind, Context parent) {
        Span span = tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
        return new Hop(span, parent.with(span));
    }

    /**
     * Writes a hop's context into headers.
     *
     * @param hop the hop
     * @param fields the headers
     */
    public void inject(Hop hop, HttpFields.Mutable fields) {
        telemetry.getPropagators().getTextMapPropagator().inject(hop.context, fields, SETTER);
    }

    @Override
    public void close() {
        if (provider != null) {
            provider.close();
        }
    }

    /** One hop of a request. */
    public static final class Hop {
        private final Span span;
        private final Context context;

        private Hop(Span span, Context context) {
            this.span = span;
            this.context = context;
        }

        /**
         * Names something of the hop.
         *
         * @param name the attribute's name
         * @param value its value, never a key or any part of a prompt
         * @return this hop
         */
        public Hop with(String name, String value) {
            span.setAttribute(name, value);
            return this;
        }

        /**
         * Ends the hop.
         *
         * @param result {@code ok} or the stable code of an error
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
        @SuppressWarnings("deprecation") // abstract in the interface, so it must be there
        public Iterable<String> keys(HttpFields fields) {
            return List.copyOf(fields.getFieldNamesCollection());
        }

        @Override
        public @Nullable String get(@Nullable HttpFields fields, String key) {
            return fields == null ? null : fields.get(key);
        }
    }
}
