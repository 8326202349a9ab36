package dev.bluebellshunt.transport;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpMethod;

/** The list of VMs over HTTP; {@code docs/PLATFORM-PROTOCOL.md} describes the call. */
public final class HttpVmList implements VmList {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final JsonHttpClient http;
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param address the list's host and port
     */
    public HttpVmList(JsonHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public CompletableFuture<List<VmEntry>> read() {
        return http.send(HttpMethod.GET, address, "/v1/vms", null, TIMEOUT)
                .thenApply(answer -> http.read(answer, Listing.class).vms());
    }

    private record Listing(List<VmEntry> vms) {}
}
