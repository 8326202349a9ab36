package dev.bluebellshunt.relay.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Counters and latencies of the requests that a process relays. */
public final class RelayMetrics {

    private static final double[] SECONDS = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("bluebellshunt_relayed_requests_total")
            .help("Requests by kind of route and result.")
            .labelNames("kind", "result")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("bluebellshunt_relay_attempts_total")
            .help("Tries at targets by result.")
            .labelNames("result")
            .register(registry);
    private final Histogram firstByte = Histogram.builder()
            .name("bluebellshunt_relay_first_byte_seconds")
            .help("Time from the arrival of a request to the first byte of its answer.")
            .labelNames("kind")
            .classicUpperBounds(SECONDS)
            .classicOnly()
            .register(registry);
    private final Gauge configurationVersion = Gauge.builder()
            .name("bluebellshunt_relay_configuration_version")
            .help("The configuration in force.")
            .register(registry);
    private final Gauge configurationAge = Gauge.builder()
            .name("bluebellshunt_relay_configuration_age_seconds")
            .help("How old the knowledge of the configuration may be.")
            .register(registry);

    /**
     * Counts a finished request.
     *
     * @param kind the kind of route, or {@code none}
     * @param result {@code ok} or the stable code of an error
     */
    public void request(String kind, String result) {
        requests.labelValues(kind, result).inc();
    }

    /**
     * Counts a try at a target.
     *
     * @param result what came of it, from a fixed set
     */
    public void attempt(String result) {
        attempts.labelValues(result).inc();
    }

    /**
     * Notes how long the first byte of an answer took.
     *
     * @param kind the kind of route
     * @param seconds the time since the request's arrival
     */
    public void firstByte(String kind, double seconds) {
        firstByte.labelValues(kind).observe(seconds);
    }

    /**
     * Notes the configuration in force.
     *
     * @param version its number
     * @param ageSeconds how old it may be
     */
    public void configuration(long version, double ageSeconds) {
        configurationVersion.set(version);
        configurationAge.set(ageSeconds);
    }

    /**
     * All metrics as text.
     *
     * @return the text in Prometheus's format
     */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("the metrics can't be written", e);
        }
        return out.toByteArray();
    }
}
