package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.transport.JsonHttpClient;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpMethod;

/** Sends reports as JSON over HTTP. */
public final class HttpReportClient implements ReportClient {

    /** Path of the endpoint that receives reports. */
    static final String REPORT_PATH = "/peers/reports";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private final JsonHttpClient http;

    /**
     * Creates a client.
     *
     * @param http the client for JSON bodies
     */
    public HttpReportClient(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<ReportReply> send(String address, ReportMessage message) {
        return http.send(HttpMethod.POST, address, REPORT_PATH, message, CALL_TIMEOUT)
                .thenApply(response -> http.readBody(response, ReportReply.class));
    }
}
