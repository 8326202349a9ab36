package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.store.CompareAndSetResult;
import dev.bluebellshunt.core.store.KeyValueStore;
import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.core.store.StoreException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/** HTTP client for the key-value service. {@code docs/PLATFORM-PROTOCOL.md} specifies the calls. */
public final class HttpKeyValueStore implements KeyValueStore {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(3);
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final JsonHttpClient http;
    private final String address;

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     * @param address host and port of the service
     */
    public HttpKeyValueStore(JsonHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> get(String key) {
        return call(HttpMethod.GET, "/v1/kv/" + encode(key), null, CALL_TIMEOUT, this::toOptionalEntry);
    }

    @Override
    public CompletableFuture<CompareAndSetResult> compareAndSet(String key, String value, long expectedRevision) {
        Write write = new Write(value, expectedRevision);
        return call(HttpMethod.PUT, "/v1/kv/" + encode(key), write, CALL_TIMEOUT, this::toCompareAndSetResult);
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision) {
        String path = "/v1/watch/" + encode(key) + "?after=" + afterRevision + "&wait=" + WATCH_TIMEOUT.toMillis();
        return call(HttpMethod.GET, path, null, WATCH_TIMEOUT.plus(CALL_TIMEOUT), this::toOptionalEntry);
    }

    @Override
    public CompletableFuture<List<StoreEntry>> list(String prefix) {
        return call(
                HttpMethod.GET,
                "/v1/kv?prefix=" + encode(prefix),
                null,
                CALL_TIMEOUT,
                response -> http.readBody(response, Listing.class).entries());
    }

    private <T> CompletableFuture<T> call(
            HttpMethod method,
            String path,
            @Nullable Object body,
            Duration timeout,
            Function<JsonHttpClient.Response, T> reader) {
        return http.send(method, address, path, body, timeout)
                .thenApply(reader)
                .exceptionallyCompose(e -> CompletableFuture.failedFuture(toStoreException(e)));
    }

    private StoreException toStoreException(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof StoreException e) {
            return e;
        }
        Outcome outcome = cause instanceof ShuntException e ? e.outcome() : Outcome.UNKNOWN;
        return new StoreException(address, outcome, "The key-value service did not respond.", cause);
    }

    private Optional<StoreEntry> toOptionalEntry(JsonHttpClient.Response response) {
        return switch (response.status()) {
            case OK -> Optional.of(http.readBody(response, StoreEntry.class));
            case NO_CONTENT, NOT_FOUND -> Optional.empty();
            default -> throw unexpectedStatus(response);
        };
    }

    private CompareAndSetResult toCompareAndSetResult(JsonHttpClient.Response response) {
        return switch (response.status()) {
            case OK ->
                new CompareAndSetResult.Written(
                        http.readBody(response, Revision.class).revision());
            case CONFLICT -> new CompareAndSetResult.Conflict(conflictRevision(response));
            default -> throw unexpectedStatus(response);
        };
    }

    private long conflictRevision(JsonHttpClient.Response response) {
        JsonHttpClient.Response accepted =
                new JsonHttpClient.Response(response.address(), OK, response.headers(), response.body());
        return http.readBody(accepted, Revision.class).revision();
    }

    private StoreException unexpectedStatus(JsonHttpClient.Response response) {
        return new StoreException(
                address,
                Outcome.UNKNOWN,
                "The key-value service responded with status " + response.status() + ".",
                null);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
    }

    private record Write(String value, long expect) {}

    private record Revision(long revision) {}

    private record Listing(List<StoreEntry> entries) {}
}
