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
import java.util.Set;
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

/** Takes callers' requests, and answers those that no target answers. */
public final class RelayHandler extends Handler.Abstract {

    private static final Logger log = LoggerFactory.getLogger("request");

    /** Another router takes the caller at once. */
    private static final Duration DRAINING_RETRY = Duration.ofMillis(20);

    private final RelayContext context;
    private final Set<EndPoint> busy = ConcurrentHashMap.newKeySet();
    private volatile boolean refusing;

    /**
     * Creates the handler.
     *
     * @param context what all requests share
     */
    public RelayHandler(RelayContext context) {
        this.context = context;
    }

    /**
     * How callers' requests are parsed: paths pass as they are written.
     *
     * @return settings for the server of this handler
     */
    public static HttpConfiguration httpConfiguration() {
        HttpConfiguration http = HttpServers.configuration();
        http.setUriCompliance(UriCompliance.UNSAFE);
        http.setRequestHeaderSize(CallerLimits.DEFAULT.maxHeaderBytes());
        return http;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivedNanos = context.clock().nanos() - Math.max(0, NanoTime.since(request.getHeadersNanoTime()));
        if (context.drain().isDraining()) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        context.drain().opened();
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        busy.add(endPoint);
        RelayCall call = new RelayCall(context, request, response, arrivedNanos);
        CallerWatch watch = new CallerWatch(endPoint, call::callerGone);
        try {
            if (refusing) {
                throw ShuntException.notRun(ErrorCode.DRAINING, Step.DRAIN, "This router is stopping.", DRAINING_RETRY);
            }
            call.prepare();
            watch.attach();
            call.run();
            finish(call, watch, callback);
        } catch (ShuntException e) {
            refuse(call, e, response, watch, callback);
        } catch (IOException e) {
            call.result(call.isCallerGone() ? "caller_gone" : "broken");
            watch.detach();
            callback.failed(e);
        } catch (RuntimeException e) {
            log.error("A request failed.", e);
            ShuntException failure = new ShuntException(
                    ErrorCode.INTERNAL, Step.FORWARD, "self", Outcome.UNKNOWN, "The router failed.", null, e);
            refuse(call, failure, response, watch, callback);
        } finally {
            busy.remove(endPoint);
            context.drain().closed();
            call.report();
        }
        return true;
    }

    /** Refuses all requests from now on, since the process is about to end. */
    public void refuseNew() {
        refusing = true;
    }

    /**
     * Whether no request is being served on a connection.
     *
     * @param endPoint the connection
     * @return true where it can be closed without losing an answer
     */
    public boolean isIdle(EndPoint endPoint) {
        return !busy.contains(endPoint);
    }

    private static void finish(RelayCall call, CallerWatch watch, Callback callback) {
        watch.detach();
        if (watch.hasSurplus()) {
            callback.failed(new IOException("the caller sent more before it had its answer"));
            return;
        }
        call.writeEnd(callback);
    }

    private void refuse(
            RelayCall call, ShuntException failure, Response response, CallerWatch watch, Callback callback) {
        call.result(failure.code().wireName());
        watch.detach();
        if (response.isCommitted()) {
            callback.failed(failure);
            return;
        }
        response.reset();
        if (context.drain().isDraining()
                || !call.isBodyRead()
                || watch.hasSurplus()
                || failure.code() == ErrorCode.CONFIGURATION_STALE
                || failure.code() == ErrorCode.NOT_CONFIGURED) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        response.setStatus(failure.code().status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        Duration retryAfter = failure.retryAfter();
        if (retryAfter != null) {
            response.getHeaders()
                    .put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryAfter.toMillis() / 1_000.0));
        }
        if (failure.code().status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Token");
        }
        response.write(true, ByteBuffer.wrap(ErrorBody.json(failure, call.requestId())), callback);
    }
}
