package dev.bluebellshunt.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.Request;

/**
 * Whether a request has been written to its connection completely. Thread-safe.
 *
 * <p>If a server resets the connection while the request is being written, the write may take the error, and a read then
 * meets the end of the connection in order.
 */
public final class RequestEnd {

    /** The client may still be recording the end of a write when the response has been read. */
    private static final long RECORDING_TIMEOUT_MS = 1_000;

    private final CompletableFuture<Boolean> sent = new CompletableFuture<>();

    private RequestEnd() {}

    /**
     * Observes a request.
     *
     * @param request the request, which has not been sent yet
     * @return its end
     */
    public static RequestEnd of(Request request) {
        RequestEnd end = new RequestEnd();
        request.onRequestSuccess(r -> end.sent.complete(true));
        request.onRequestFailure((r, failure) -> end.sent.complete(false));
        return end;
    }

    /** Returns whether the request has been written completely; the connection has ended, so the write has, too. */
    boolean isSentCompletely() {
        try {
            return sent.get(RECORDING_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        }
    }
}
