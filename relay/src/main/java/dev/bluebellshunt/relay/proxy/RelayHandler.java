package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.error.ErrorBody;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.relay.model.CallerLimits;
import dev.bluebellshunt.transport.HttpServers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.NanoTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles callers' requests, and writes an error response to those that no target responds to. */
public final class RelayHandler extends Handler.Abstract {

    private static final Logger log = LoggerFactory.getLogger("request");

    private final RelayContext context;
    private final Map<EndPoint, RelayCall> openCalls = new ConcurrentHashMap<>();

    /**
     * Creates the handler.
     *
     * @param context the components and settings shared by all requests
     */
    public RelayHandler(RelayContext context) {
        this.context = context;
    }

    /**
     * Returns the HTTP configuration for callers' requests. It accepts non-compliant URIs, so that paths are forwarded
     * unmodified.
     *
     * @return the configuration for the server of this handler
     */
    public static HttpConfiguration httpConfiguration() {
        HttpConfiguration configuration = HttpServers.newConfiguration();
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setRequestHeaderSize(CallerLimits.DEFAULT.maxHeaderBytes());
        return configuration;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long receivedNanos = context.clock().nanos() - Math.max(0, NanoTime.since(request.getHeadersNanoTime()));
        context.drainState().requestStarted();
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        RelayCall call = new RelayCall(context, request, response, receivedNanos);
        openCalls.put(endPoint, call);
        CallerDisconnectWatcher watcher = new CallerDisconnectWatcher(endPoint, call::onCallerDisconnect);
        try {
            if (context.drainState().isRejecting()) {
                throw ShuntException.notRun(
                        ErrorCode.DRAINING, Step.DRAIN, RelayCall.SHUTTING_DOWN, RelayCall.DRAINING_RETRY_DELAY);
            }
            call.admit();
            watcher.register();
            call.forward();
            complete(call, watcher, endPoint, callback);
        } catch (ShuntException e) {
            writeError(call, e, response, watcher, callback);
        } catch (IOException e) {
            call.setResult(call.isCallerDisconnected() ? "caller_gone" : "broken");
            watcher.deregister();
            call.releaseMemory();
            call.abortResponse(callback, e);
        } catch (RuntimeException e) {
            log.error("Unexpected exception while handling a request", e);
            ShuntException internalError = new ShuntException(
                    ErrorCode.INTERNAL,
                    Step.FORWARD,
                    "self",
                    Outcome.UNKNOWN,
                    "Internal error in the router.",
                    null,
                    e);
            writeError(call, internalError, response, watcher, callback);
        } finally {
            openCalls.remove(endPoint, call);
            context.drainState().requestEnded();
            call.recordOutcome();
        }
        return true;
    }

    /**
     * Stops waiting for targets, because the process is about to exit. Callers without a response get an error that states
     * whether their request may have run; a response that has begun is broken off.
     */
    public void abortOpenRequests() {
        openCalls.values().forEach(RelayCall::onShutdown);
    }

    /**
     * Whether a connection has no request in progress.
     *
     * @param endPoint the connection
     * @return true if closing it does not lose a response
     */
    public boolean isIdle(EndPoint endPoint) {
        return !openCalls.containsKey(endPoint);
    }

    private static void complete(
            RelayCall call, CallerDisconnectWatcher watcher, EndPoint endPoint, Callback callback) {
        watcher.deregister();
        // The last bytes may wait for a caller that reads slowly, and take memory until then.
        Callback written = Callback.from(callback, call::releaseMemory);
        if (watcher.hasReadEarlyData()) {
            call.completeResponseAndClose(endPoint, written);
        } else {
            call.completeResponse(written);
        }
    }

    private void writeError(
            RelayCall call,
            ShuntException error,
            Response response,
            CallerDisconnectWatcher watcher,
            Callback callback) {
        call.setResult(error.code().wireName());
        call.releaseMemory();
        watcher.deregister();
        if (response.isCommitted()) {
            call.abortResponse(callback, error);
            return;
        }
        response.reset();
        if (context.drainState().isDraining()
                || !call.isBodyRead()
                || watcher.hasReadEarlyData()
                || error.code() == ErrorCode.CONFIGURATION_STALE
                || error.code() == ErrorCode.NOT_CONFIGURED) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        response.setStatus(error.code().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Duration retryAfter = error.retryAfter();
        if (retryAfter != null) {
            response.getHeaders()
                    .put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfter.toMillis() / 1_000.0));
        }
        if (error.code().status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Token");
        }
        response.write(true, ByteBuffer.wrap(ErrorBody.json(error, call.requestId())), callback);
    }
}
