package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** One request to one target. Any thread may {@link #abort} it; the target's connection is closed then. */
final class TargetExchange implements AutoCloseable {

    /** How often a wait is reconsidered; well below the shortest objective. */
    private static final long GIVE_UP_POLL_MS = 100;

    private final Request call;
    private final InputStreamResponseListener listener = new InputStreamResponseListener();
    private final AtomicBoolean begun = new AtomicBoolean();
    private final Duration limit;

    TargetExchange(HttpClient http, TargetEntry target, OutgoingRequest outgoing, HttpFields headers, Duration limit) {
        this.limit = limit;
        this.call = http.newRequest(target.host(), target.port())
                .path(outgoing.pathAndQuery())
                .method(outgoing.method())
                .headers(fields -> fields.add(headers))
                .onRequestBegin(r -> begun.set(true))
                .timeout(limit.toMillis(), TimeUnit.MILLISECONDS)
                .idleTimeout(limit.toMillis(), TimeUnit.MILLISECONDS);
        if (outgoing.body().length > 0) {
            String type = headers.get(HttpHeader.CONTENT_TYPE);
            call.body(new BytesRequestContent(type == null ? "application/octet-stream" : type, outgoing.body()));
        }
    }

    /**
     * Sends the request and waits for the head of the answer.
     *
     * @param giveUp asked once in a while whether to stop waiting
     * @return the answer, its body still to be read
     * @throws TargetFailure if there is none
     */
    Response head(BooleanSupplier giveUp) throws TargetFailure {
        call.send(listener);
        long waitedMillis = 0;
        try {
            while (true) {
                long step = Math.min(GIVE_UP_POLL_MS, Math.max(1, limit.toMillis() - waitedMillis));
                try {
                    return listener.get(step, TimeUnit.MILLISECONDS);
                } catch (TimeoutException e) {
                    waitedMillis += step;
                    if (waitedMillis >= limit.toMillis()) {
                        throw e;
                    }
                    if (giveUp.getAsBoolean()) {
                        abort(e);
                        throw new TargetFailure(begun.get(), false, true, e);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort(e);
            throw failure(e);
        } catch (TimeoutException e) {
            abort(e);
            throw failure(e);
        } catch (ExecutionException e) {
            throw failure(e.getCause() == null ? e : e.getCause());
        }
    }

    private TargetFailure failure(Throwable cause) {
        return new TargetFailure(begun.get(), cause instanceof TimeoutException, false, cause);
    }

    /** The answer's body; its reads fail where the answer breaks off. */
    InputStream body() {
        return listener.getInputStream();
    }

    /** Whether a failed read of the body came from the time limit. */
    static boolean isTimeout(IOException failure) {
        return failure.getCause() instanceof TimeoutException;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // whoever waits for the answer hears of the abort
    void abort(Throwable cause) {
        call.abort(cause);
    }

    /** Ends the exchange; one whose answer has not been read to its end is cut. */
    @Override
    public void close() {
        abort(new IOException("the answer is not needed"));
    }

    /** A target gave no answer. */
    static final class TargetFailure extends Exception {

        private static final long serialVersionUID = 1L;

        private final boolean sent;
        private final boolean timeout;
        private final boolean givenUp;

        TargetFailure(boolean sent, boolean timeout, boolean givenUp, Throwable cause) {
            super(cause.toString(), cause, false, false);
            this.sent = sent;
            this.timeout = timeout;
            this.givenUp = givenUp;
        }

        /** Whether any of the request may have reached the target. */
        boolean isSent() {
            return sent;
        }

        /** Whether the wait was ended in favour of another target. */
        boolean isGivenUp() {
            return givenUp;
        }

        /** Whether the time limit ended it. */
        boolean isTimeout() {
            return timeout;
        }
    }
}
