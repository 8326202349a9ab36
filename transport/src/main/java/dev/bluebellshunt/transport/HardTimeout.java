package dev.bluebellshunt.transport;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Closes the connection of a request that is not complete shortly after its timeout.
 *
 * <p>Jetty's own timeout takes effect only when its parser waits for input. A server that keeps sending bytes which are
 * no content, such as an endless chunk extension, prevents that.
 */
public final class HardTimeout implements AutoCloseable {

    /** Time for Jetty's own timeout to take effect. */
    private static final long MARGIN_MS = 100;

    private final Scheduler.Task task;

    private HardTimeout(Scheduler.Task task) {
        this.task = task;
    }

    /**
     * Starts the timeout of a request that is about to be sent.
     *
     * @param http the started client that sends the request
     * @param request the request
     * @param timeout the timeout of the request
     * @return the timeout, which must be closed when the request is complete
     */
    public static HardTimeout start(HttpClient http, Request request, Duration timeout) {
        return new HardTimeout(http.getScheduler()
                .schedule(() -> closeConnection(request), timeout.toMillis() + MARGIN_MS, TimeUnit.MILLISECONDS));
    }

    private static void closeConnection(Request request) {
        if (request.getConnection() instanceof Connection connection) {
            connection.getEndPoint().close();
        }
    }

    /** Cancels the timeout. */
    @Override
    public void close() {
        task.cancel();
    }
}
