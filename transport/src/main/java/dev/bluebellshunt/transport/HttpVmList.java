package dev.bluebellshunt.transport;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpMethod;

/** HTTP client for the VM list. {@code docs/PLATFORM-PROTOCOL.md} specifies the call. */
public final class HttpVmList implements VmList {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final JsonHttpClient http;
    private final String address;

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     * @param address host and port of the service that provides the list
     */
    public HttpVmList(JsonHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public CompletableFuture<List<VmEntry>> readEntries() {
        return http.send(HttpMethod.GET, address, "/v1/vms", null, TIMEOUT)
                .thenApply(response -> http.readBody(response, Listing.class).vms());
    }

    private record Listing(List<VmEntry> vms) {}
}
