package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.transport.HardTimeout;
import dev.bluebellshunt.transport.RequestEnd;
import dev.bluebellshunt.transport.ResponseBody;
import dev.bluebellshunt.transport.UnparsedTargetRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/** A single request to one target. Any thread may {@link #abort} it, which closes the connection to the target. */
final class TargetExchange implements AutoCloseable {

    /** Interval between checks whether to stop waiting; well below the shortest latency objective. */
    private static final long ABANDON_POLL_INTERVAL_MS = 100;

    private final Request request;
    private final InputStreamResponseListener listener = new InputStreamResponseListener();
    private final AtomicBoolean requestBegun = new AtomicBoolean();
    private final RequestEnd requestEnd;
    private final Duration timeout;
    private volatile String localPort = "none";
    private @Nullable ResponseBody body;

    /**
     * Prepares a request.
     *
     * @param httpClient the client
     * @param target the target
     * @param earlierSends the number of earlier sends of the same request to the target's address
     * @param mayBegin asked right before the request is written to a connection; false fails it unsent
     * @param outgoing the request
     * @param headers the headers for the target
     * @param timeout the time after which the exchange is aborted
     */
    TargetExchange(
            HttpClient httpClient,
            TargetEntry target,
            int earlierSends,
            BooleanSupplier mayBegin,
            OutgoingRequest outgoing,
            HttpFields headers,
            Duration timeout) {
        this.timeout = timeout;
        this.request = UnparsedTargetRequest.create(httpClient, target.host(), target.port(), outgoing.pathAndQuery())
                .method(outgoing.method())
                .headers(fields -> fields.add(headers))
                .onRequestBegin(r -> begin(mayBegin))
                .idleTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        this.requestEnd = RequestEnd.of(request);
        if (earlierSends > 0) {
            // Jetty keeps a pool of connections for each tag. No connection carries the same request twice, so no
            // response with its id is a copy of the response to an earlier send.
            request.tag(earlierSends);
        }
        if (outgoing.body().length > 0) {
            String type = headers.get(HttpHeader.CONTENT_TYPE);
            request.body(new BytesRequestContent(type == null ? "application/octet-stream" : type, outgoing.body()));
        }
        HardTimeout.start(httpClient, request, timeout);
    }

    /**
     * Decides whether the request is written. Jetty ignores what a listener throws and goes on, so the request counts as
     * begun unless it has been aborted.
     */
    private void begin(BooleanSupplier mayBegin) {
        localPort = localPort(request.getConnection());
        requestBegun.set(true);
        boolean permitted = false;
        try {
            permitted = mayBegin.getAsBoolean();
        } finally {
            if (!permitted) {
                abortUnsent(new IOException("the target may not be sent the request any more"));
            }
        }
    }

    /** Aborts the request before its first byte. The thread that waits for the response may wake during the abort. */
    private void abortUnsent(Throwable cause) {
        requestBegun.set(false);
        boolean aborted = false;
        try {
            abort(cause);
            aborted = true;
        } finally {
            requestBegun.set(!aborted);
        }
    }

    private static String localPort(@Nullable Connection connection) {
        return connection != null && connection.getLocalSocketAddress() instanceof InetSocketAddress address
                ? Integer.toString(address.getPort())
                : "none";
    }

    /**
     * Sends the request and waits for the status and headers of the response.
     *
     * @param shouldAbandon polled while waiting; true stops the wait
     * @return the response, whose body has not been read yet
     * @throws TargetRequestException if the target does not respond
     */
    Response awaitResponse(BooleanSupplier shouldAbandon) throws TargetRequestException {
        request.send(listener);
        long elapsedMillis = 0;
        try {
            while (true) {
                long waitMillis = Math.min(ABANDON_POLL_INTERVAL_MS, Math.max(1, timeout.toMillis() - elapsedMillis));
                try {
                    return listener.get(waitMillis, TimeUnit.MILLISECONDS);
                } catch (TimeoutException e) {
                    elapsedMillis += waitMillis;
                    if (elapsedMillis >= timeout.toMillis()) {
                        throw e;
                    }
                    if (shouldAbandon.getAsBoolean()) {
                        abort(e);
                        throw new TargetRequestException(requestBegun.get(), false, true, e);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort(e);
            throw toException(e);
        } catch (TimeoutException e) {
            abort(e);
            throw toException(e);
        } catch (ExecutionException e) {
            throw toException(e.getCause() == null ? e : e.getCause());
        }
    }

    private TargetRequestException toException(Throwable cause) {
        return new TargetRequestException(requestBegun.get(), cause instanceof TimeoutException, false, cause);
    }

    /** Returns the connection on which the request was sent, or empty before that. */
    Optional<Object> connection() {
        return Optional.ofNullable(request.getConnection());
    }

    /** Returns the local port of the connection on which the request was sent, or {@code none} before that. */
    String localPort() {
        return localPort;
    }

    /** Closes the connection, on which the response to this request may still arrive. */
    void closeConnection() {
        Connection connection = request.getConnection();
        if (connection != null) {
            connection.close();
        }
    }

    /** Returns the body of a response. Reads fail if the response is truncated. */
    ResponseBody responseBody(Response response) {
        body = new ResponseBody(response, listener.getInputStream(), requestEnd);
        return body;
    }

    /**
     * Whether the timeout of the request has expired. Reading the body may then fail because of the timeout or of the
     * connection that it closes.
     */
    boolean isTimeout() {
        return request.getAbortCause() instanceof TimeoutException;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the thread that waits for the response is notified of the abort
    void abort(Throwable cause) {
        request.abort(cause);
    }

    /** Ends the exchange, and aborts it if the response has not been read completely. */
    @Override
    public void close() {
        if (body != null && body.isAtEnd()) {
            // The client may still be recording that the request has been sent; an abort would close the connection.
            return;
        }
        abort(new IOException("the response is no longer needed"));
    }

    /** Thrown when a target does not respond to a request. */
    static final class TargetRequestException extends Exception {

        private static final long serialVersionUID = 1L;

        private final boolean requestSent;
        private final boolean timeout;
        private final boolean abandoned;

        TargetRequestException(boolean requestSent, boolean timeout, boolean abandoned, Throwable cause) {
            super(cause.toString(), cause, false, false);
            this.requestSent = requestSent;
            this.timeout = timeout;
            this.abandoned = abandoned;
        }

        /** Whether part of the request may have reached the target. */
        boolean isRequestSent() {
            return requestSent;
        }

        /** Whether the wait was abandoned so that another target can be tried. */
        boolean isAbandoned() {
            return abandoned;
        }

        /** Whether the timeout expired. */
        boolean isTimeout() {
            return timeout;
        }
    }
}
