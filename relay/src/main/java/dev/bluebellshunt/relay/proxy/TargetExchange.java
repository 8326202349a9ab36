package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** One request to one target. Any thread may {@link #abort} it; the target's connection is closed then. */
final class TargetExchange implements AutoCloseable {

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
     * @return the answer, its body still to be read
     * @throws TargetFailure if there is none
     */
    Response head() throws TargetFailure {
        call.send(listener);
        try {
            return listener.get(limit.toMillis(), TimeUnit.MILLISECONDS);
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
        return new TargetFailure(begun.get(), cause instanceof TimeoutException, cause);
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
        abort(new CancellationException("the answer is not needed"));
    }

    /** A target gave no answer. */
    static final class TargetFailure extends Exception {

        private static final long serialVersionUID = 1L;

        private final boolean sent;
        private final boolean timeout;

        TargetFailure(boolean sent, boolean timeout, Throwable cause) {
            super(cause.toString(), cause, false, false);
            this.sent = sent;
            this.timeout = timeout;
        }

        /** Whether any of the request may have reached the target. */
        boolean isSent() {
            return sent;
        }

        /** Whether the time limit ended it. */
        boolean isTimeout() {
            return timeout;
        }
    }
}
