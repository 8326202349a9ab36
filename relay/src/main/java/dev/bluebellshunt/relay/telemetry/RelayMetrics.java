package dev.bluebellshunt.relay.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Prometheus metrics of the requests that a process relays. */
public final class RelayMetrics {

    private static final double[] LATENCY_BUCKETS_SECONDS = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15};

    private static final double[] STALENESS_BUCKETS_SECONDS = {0.5, 1, 2, 3, 4, 5, 6, 8, 10, 15};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("bluebellshunt_relayed_requests_total")
            .help("Requests by kind of route and result.")
            .labelNames("kind", "result")
            .register(registry);
    private final Counter serverErrors = Counter.builder()
            .name("bluebellshunt_relay_server_errors_total")
            .help("Responses of the HTTP server itself by status, to requests that no handler has answered.")
            .labelNames("status")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("bluebellshunt_relay_attempts_total")
            .help("Tries at targets by result.")
            .labelNames("result")
            .register(registry);
    private final Counter responseEnds = Counter.builder()
            .name("bluebellshunt_relay_response_ends_total")
            .help("Complete responses of targets by framing.")
            .labelNames("framing")
            .register(registry);
    private final Counter crashes = Counter.builder()
            .name("bluebellshunt_relay_target_crashes_total")
            .help("Crashes of targets by requests, as observed by this VM, and requests whose crashes were cleared.")
            .labelNames("event")
            .register(registry);
    private final Counter targetSignals = Counter.builder()
            .name("bluebellshunt_relay_target_signals_total")
            .help("Targets that told this VM in a response that they are leaving, or want no requests for some time.")
            .labelNames("signal")
            .register(registry);
    private final Histogram firstByte = Histogram.builder()
            .name("bluebellshunt_relay_first_byte_seconds")
            .help("Time from the arrival of a request to the first byte of its answer.")
            .labelNames("kind")
            .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
            .classicOnly()
            .register(registry);
    private final Histogram replacedWeights = Histogram.builder()
            .name("bluebellshunt_relay_replaced_weights_seconds")
            .help(
                    "Time since the weights were replaced with which a response began, for those that began on older ones.")
            .classicUpperBounds(STALENESS_BUCKETS_SECONDS)
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
    private final Gauge readsOperatorState = Gauge.builder()
            .name("bluebellshunt_relay_reads_operator_state")
            .help("1 if a call to the store for the operators' state is in flight, 0 if another VM reads it.")
            .register(registry);
    private final Gauge hub = Gauge.builder()
            .name("bluebellshunt_relay_hub")
            .help("1 if this VM is a hub.")
            .register(registry);
    private final Gauge otherHubs = Gauge.builder()
            .name("bluebellshunt_relay_other_hubs")
            .help("The other hubs that this VM knows.")
            .register(registry);
    private final Gauge enginesOfOtherSpeed = Gauge.builder()
            .name("bluebellshunt_relay_engines_of_other_speed")
            .help("Engines that this VM counts as clearly faster or slower than the mean of their pool.")
            .register(registry);
    private final Gauge storeEra = Gauge.builder()
            .name("bluebellshunt_relay_store_era")
            .help("The era of the store, which rises with each restore; 0 if the store states none.")
            .register(registry);
    private final Gauge doubtfulStoreResponses = Gauge.builder()
            .name("bluebellshunt_relay_doubtful_store_responses")
            .help("Responses of the store that were not used because of the era that they stated.")
            .register(registry);
    private final Gauge bodyBytes = Gauge.builder()
            .name("bluebellshunt_relay_body_bytes")
            .help("Memory for the bodies of open requests and their responses.")
            .register(registry);

    /**
     * Counts a completed request.
     *
     * @param kind the kind of the route, or {@code none}
     * @param result {@code ok} or an error code
     */
    public void request(String kind, String result) {
        requests.labelValues(kind, result).inc();
    }

    /**
     * Counts a response that the HTTP server wrote by itself.
     *
     * @param status its status
     */
    public void serverError(int status) {
        serverErrors.labelValues(Integer.toString(status)).inc();
    }

    /**
     * Counts an attempt to send a request to a target.
     *
     * @param result the result, from a fixed set
     */
    public void attempt(String result) {
        attempts.labelValues(result).inc();
    }

    /**
     * Counts a complete response of a target.
     *
     * @param framing how its end is marked
     */
    public void responseEnd(String framing) {
        responseEnds.labelValues(framing).inc();
    }

    /**
     * Counts a crash that was recorded against a request, or cleared.
     *
     * @param event what happened, from a fixed set
     */
    public void crash(String event) {
        crashes.labelValues(event).inc();
    }

    /**
     * Counts a target that told this VM to send it nothing.
     *
     * @param signal what it said, from a fixed set
     */
    public void targetSignal(String signal) {
        targetSignals.labelValues(signal).inc();
    }

    /**
     * Records the time to the first byte of a response.
     *
     * @param kind the kind of the route
     * @param seconds the time since the arrival of the request
     */
    public void firstByte(String kind, double seconds) {
        firstByte.labelValues(kind).observe(seconds);
    }

    /**
     * Records a response that began on weights which operators had replaced.
     *
     * @param seconds the time since newer weights became the desired ones, as far as this VM knows
     */
    public void replacedWeights(double seconds) {
        replacedWeights.observe(seconds);
    }

    /**
     * Records the version and age of the current configuration.
     *
     * @param version the version number
     * @param ageSeconds the maximum age of the local copy
     */
    public void configuration(long version, double ageSeconds) {
        configurationVersion.set(version);
        configurationAge.set(ageSeconds);
    }

    /**
     * Records from where this VM learns of changes.
     *
     * @param readsStore whether it has a call to the store for the operators' state in flight
     * @param isHub whether it is a hub
     * @param hubs the number of other hubs that it knows
     */
    public void source(boolean readsStore, boolean isHub, int hubs) {
        readsOperatorState.set(readsStore ? 1 : 0);
        hub.set(isHub ? 1 : 0);
        otherHubs.set(hubs);
    }

    /**
     * Records how many engines differ in speed.
     *
     * @param engines the number of engines that are clearly faster or slower than their pool
     */
    public void enginesOfOtherSpeed(long engines) {
        enginesOfOtherSpeed.set(engines);
    }

    /**
     * Records the era of the store.
     *
     * @param era the era
     * @param doubtfulResponses the number of responses that were not used because of their era
     */
    public void store(long era, long doubtfulResponses) {
        storeEra.set(era);
        doubtfulStoreResponses.set(doubtfulResponses);
    }

    /**
     * Records the memory for bodies that is in use.
     *
     * @param bytes the size of all bodies that are held
     */
    public void bodyBytes(long bytes) {
        bodyBytes.set(bytes);
    }

    /**
     * Renders all metrics.
     *
     * @return the metrics in the Prometheus text format
     */
    public byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("failed to render the metrics", e);
        }
        return out.toByteArray();
    }
}
