package dev.bluebellshunt.transport;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Aborts a request that is not complete shortly after its timeout, and closes its connection.
 *
 * <p>Jetty's own timeout takes effect only when its parser waits for input. A server that keeps sending bytes which are
 * no content, such as an endless chunk extension, prevents that.
 */
public final class HardTimeout {

    /** Time for Jetty's own timeout to take effect. */
    private static final long MARGIN_MS = 100;

    private HardTimeout() {}

    /**
     * Starts the timeout of a request that is about to be sent. It is cancelled when the request completes, after which
     * its connection may serve other requests.
     *
     * @param http the started client that sends the request
     * @param request the request, on which Jetty's own timeout is set too
     * @param timeout the timeout of the request
     */
    public static void start(HttpClient http, Request request, Duration timeout) {
        start(http.getScheduler(), request, timeout);
    }

    static void start(Scheduler scheduler, Request request, Duration timeout) {
        request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        Scheduler.Task task =
                scheduler.schedule(() -> abort(request), timeout.toMillis() + MARGIN_MS, TimeUnit.MILLISECONDS);
        request.onComplete(result -> task.cancel());
    }

    /** Aborts a request and takes the input away from its parser, which a busy parser needs to notice the abort. */
    @SuppressWarnings("FutureReturnValueIgnored") // the request's listeners are notified of the abort
    private static void abort(Request request) {
        request.abort(new TimeoutException("the request is not complete after its timeout"));
        if (request.getConnection() instanceof Connection connection) {
            connection.getEndPoint().close();
        }
    }
}
