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
 * The metrics of one router. Labels come from the configuration and from fixed sets alone, so that
 * hostile callers can't make more of them.
 */
public final class RouterMetrics {

    private static final double[] SECONDS = {
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2, 3, 5, 10, 30, 60, 300
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("bluebellshunt_requests_total")
            .help("Requests by workspace, route and result.")
            .labelNames("workspace", "route", "result")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("bluebellshunt_attempts_total")
            .help("Tries at targets by result.")
            .labelNames("target", "result")
            .register(registry);
    private final Counter tokens = Counter.builder()
            .name("bluebellshunt_tokens_total")
            .help("Tokens by workspace and kind: prompt, cached, generated, charged.")
            .labelNames("workspace", "kind")
            .register(registry);
    private final Histogram firstToken = Histogram.builder()
            .name("bluebellshunt_time_to_first_token_seconds")
            .help("Time from the arrival of a request to the first token sent to its caller.")
            .labelNames("workspace")
            .classicUpperBounds(SECONDS)
            .classicOnly()
            .register(registry);
    private final Gauge open = Gauge.builder()
            .name("bluebellshunt_requests_open")
            .help("Requests that are being served.")
            .register(registry);
    private final Gauge revision = Gauge.builder()
            .name("bluebellshunt_configuration_revision")
            .help("The configuration revision in force.")
            .register(registry);

    /**
     * Counts a finished request.
     *
     * @param workspace the workspace, or {@code none}
     * @param route the route's name, or {@code none}
     * @param result {@code ok} or the stable code of an error
     */
    public void request(String workspace, String route, String result) {
        requests.labelValues(workspace, route, result).inc();
    }

    /**
     * Counts a try at a target.
     *
     * @param target the target
     * @param result what came of it, from a fixed set
     */
    public void attempt(String target, String result) {
        attempts.labelValues(target, result).inc();
    }

    /**
     * Counts tokens.
     *
     * @param workspace the workspace
     * @param kind the kind, from a fixed set
     * @param count how many
     */
    public void tokens(String workspace, String kind, long count) {
        if (count > 0) {
            tokens.labelValues(workspace, kind).inc(count);
        }
    }

    /**
     * Records the time to the first token.
     *
     * @param workspace the workspace
     * @param seconds the time in seconds
     */
    public void firstToken(String workspace, double seconds) {
        firstToken.labelValues(workspace).observe(seconds);
    }

    /** Counts a request that begins. */
    public void opened() {
        open.inc();
    }

    /** Counts a request that ends. */
    public void closed() {
        open.dec();
    }

    /**
     * Records the revision in force.
     *
     * @param inForce the revision
     */
    public void revision(long inForce) {
        revision.set(inForce);
    }

    /**
     * Writes all metrics in Prometheus' text format.
     *
     * @return the text's bytes
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
