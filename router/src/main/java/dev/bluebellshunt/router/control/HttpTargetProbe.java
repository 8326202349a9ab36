package dev.bluebellshunt.router.control;

import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.target.TargetProbe;
import dev.bluebellshunt.core.target.TargetReport;
import dev.bluebellshunt.transport.JsonHttpClient;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpMethod;

/** Queries the status of targets over HTTP, as specified in {@code docs/PLATFORM-PROTOCOL.md}. */
public final class HttpTargetProbe implements TargetProbe {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final JsonHttpClient http;

    /**
     * Creates a probe.
     *
     * @param http the client for status requests
     */
    public HttpTargetProbe(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<TargetReport> probe(TargetSpec target) {
        return http.send(HttpMethod.GET, target.address(), "/status", null, TIMEOUT)
                .thenApply(response -> http.readBody(response, TargetReport.class));
    }
}
