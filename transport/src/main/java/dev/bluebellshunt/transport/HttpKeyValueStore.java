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

/** The key-value service over HTTP; {@code docs/PLATFORM-PROTOCOL.md} describes the calls. */
public final class HttpKeyValueStore implements KeyValueStore {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(3);
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final JsonHttpClient http;
    private final String address;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param address the service's host and port
     */
    public HttpKeyValueStore(JsonHttpClient http, String address) {
        this.http = http;
        this.address = address;
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> get(String key) {
        return call(HttpMethod.GET, "/v1/kv/" + encode(key), null, CALL_TIMEOUT, this::optionalEntry);
    }

    @Override
    public CompletableFuture<CompareAndSetResult> compareAndSet(String key, String value, long expectedRevision) {
        Write write = new Write(value, expectedRevision);
        return call(HttpMethod.PUT, "/v1/kv/" + encode(key), write, CALL_TIMEOUT, this::casResult);
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> watch(String key, long afterRevision) {
        String path = "/v1/watch/" + encode(key) + "?after=" + afterRevision + "&wait=" + WATCH_WAIT.toMillis();
        return call(HttpMethod.GET, path, null, WATCH_WAIT.plus(CALL_TIMEOUT), this::optionalEntry);
    }

    @Override
    public CompletableFuture<List<StoreEntry>> list(String prefix) {
        return call(
                HttpMethod.GET,
                "/v1/kv?prefix=" + encode(prefix),
                null,
                CALL_TIMEOUT,
                answer -> http.read(answer, Listing.class).entries());
    }

    private <T> CompletableFuture<T> call(
            HttpMethod method,
            String path,
            @Nullable Object body,
            Duration timeout,
            Function<JsonHttpClient.Answer, T> reader) {
        return http.send(method, address, path, body, timeout)
                .thenApply(reader)
                .exceptionallyCompose(e -> CompletableFuture.failedFuture(storeException(e)));
    }

    private StoreException storeException(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        if (cause instanceof StoreException e) {
            return e;
        }
        Outcome outcome = cause instanceof ShuntException e ? e.outcome() : Outcome.UNKNOWN;
        return new StoreException(address, outcome, "The key-value service did not answer.", cause);
    }

    private Optional<StoreEntry> optionalEntry(JsonHttpClient.Answer answer) {
        return switch (answer.status()) {
            case OK -> Optional.of(http.read(answer, StoreEntry.class));
            case NO_CONTENT, NOT_FOUND -> Optional.empty();
            default -> throw refused(answer);
        };
    }

    private CompareAndSetResult casResult(JsonHttpClient.Answer answer) {
        return switch (answer.status()) {
            case OK ->
                new CompareAndSetResult.Written(
                        http.read(answer, Revision.class).revision());
            case CONFLICT -> new CompareAndSetResult.Conflict(conflictRevision(answer));
            default -> throw refused(answer);
        };
    }

    private long conflictRevision(JsonHttpClient.Answer answer) {
        JsonHttpClient.Answer accepted = new JsonHttpClient.Answer(answer.address(), OK, answer.body());
        return http.read(accepted, Revision.class).revision();
    }

    private StoreException refused(JsonHttpClient.Answer answer) {
        return new StoreException(
                address, Outcome.UNKNOWN, "The key-value service answered with status " + answer.status() + ".", null);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("%2F", "/");
    }

    private record Write(String value, long expect) {}

    private record Revision(long revision) {}

    private record Listing(List<StoreEntry> entries) {}
}
