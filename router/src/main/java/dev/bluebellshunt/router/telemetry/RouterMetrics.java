package dev.bluebellshunt.router.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Prometheus metrics of a router. Label values come only from the configuration or from fixed sets, so
 * that callers cannot increase the number of time series.
 */
public final class RouterMetrics {

    private static final double[] FIRST_TOKEN_BUCKETS_SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2, 3, 5, 10, 30, 60, 300
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requestCounter = Counter.builder()
            .name("bluebellshunt_requests_total")
            .help("Requests by workspace, route and result.")
            .labelNames("workspace", "route", "result")
            .register(registry);
    private final Counter attemptCounter = Counter.builder()
            .name("bluebellshunt_attempts_total")
            .help("Tries at targets by result.")
            .labelNames("target", "result")
            .register(registry);
    private final Counter targetSignalCounter = Counter.builder()
            .name("bluebellshunt_target_signals_total")
            .help("Targets that said in a response that they are leaving, or want no requests for some time.")
            .labelNames("signal")
            .register(registry);
    private final Counter tokenCounter = Counter.builder()
            .name("bluebellshunt_tokens_total")
            .help("Tokens by workspace and kind: prompt, cached, generated, charged.")
            .labelNames("workspace", "kind")
            .register(registry);
    private final Histogram timeToFirstToken = Histogram.builder()
            .name("bluebellshunt_time_to_first_token_seconds")
            .help("Time from the arrival of a request to the first token sent to its caller.")
            .labelNames("workspace")
            .classicUpperBounds(FIRST_TOKEN_BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Gauge openRequests = Gauge.builder()
            .name("bluebellshunt_requests_open")
            .help("Requests that are being served.")
            .register(registry);
    private final Gauge activeRevision = Gauge.builder()
            .name("bluebellshunt_configuration_revision")
            .help("The configuration revision in force.")
            .register(registry);

    /**
     * Counts a finished request.
     *
     * @param workspace the workspace name, or {@code none}
     * @param route the route name, or {@code none}
     * @param result {@code ok} or an error code
     */
    public void recordRequest(String workspace, String route, String result) {
        requestCounter.labelValues(workspace, route, result).inc();
    }

    /**
     * Counts an attempt to send a request to a target.
     *
     * @param target the target name
     * @param result the result, from a fixed set
     */
    public void recordAttempt(String target, String result) {
        attemptCounter.labelValues(target, result).inc();
    }

    /**
     * Counts what a target has said of itself and was not known.
     *
     * @param signal the signal, from a fixed set
     */
    public void recordTargetSignal(String signal) {
        targetSignalCounter.labelValues(signal).inc();
    }

    /**
     * Adds to a token counter.
     *
     * @param workspace the workspace name
     * @param kind the token kind, from a fixed set
     * @param count the number of tokens; ignored unless positive
     */
    public void recordTokens(String workspace, String kind, long count) {
        if (count > 0) {
            tokenCounter.labelValues(workspace, kind).inc(count);
        }
    }

    /**
     * Records the time to first token of a request.
     *
     * @param workspace the workspace name
     * @param seconds the time in seconds
     */
    public void recordTimeToFirstToken(String workspace, double seconds) {
        timeToFirstToken.labelValues(workspace).observe(seconds);
    }

    /** Increments the number of open requests. */
    public void requestStarted() {
        openRequests.inc();
    }

    /** Decrements the number of open requests. */
    public void requestEnded() {
        openRequests.dec();
    }

    /**
     * Sets the configuration revision in use.
     *
     * @param newRevision the configuration revision
     */
    public void setRevision(long newRevision) {
        activeRevision.set(newRevision);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the encoded metrics
     */
    public byte[] scrape() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
