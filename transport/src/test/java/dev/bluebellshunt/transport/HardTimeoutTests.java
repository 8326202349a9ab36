package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The timeout of a request, and the connection that it shares with later requests. */
class HardTimeoutTests {

    /** Limits the duration of a test that hangs. */
    private static final long WAIT_SECONDS = 20;

    private static final Duration TIMEOUT = Duration.ofSeconds(2 * WAIT_SECONDS);

    private final Closer closer = new Closer();
    private final HttpClient http = HttpClients.start("test", closer);
    private final ManualScheduler scheduler = new ManualScheduler();
    private final CountDownLatch slowRequestArrived = new CountDownLatch(1);
    private final CountDownLatch slowResponseMayEnd = new CountDownLatch(1);
    private int port;

    /** Runs the scheduled tasks on demand. */
    private static final class ManualScheduler extends AbstractLifeCycle implements Scheduler {
        private final Set<Runnable> tasks = ConcurrentHashMap.newKeySet();

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit units) {
            tasks.add(task);
            return () -> tasks.remove(task);
        }

        private void runTasks() {
            tasks.forEach(Runnable::run);
        }
    }

    private final class Target extends Handler.Abstract {
        @Override
        public boolean handle(org.eclipse.jetty.server.Request request, Response response, Callback callback)
                throws Exception {
            if (org.eclipse.jetty.server.Request.getPathInContext(request).equals("/slow")) {
                slowRequestArrived.countDown();
                slowResponseMayEnd.await(WAIT_SECONDS, TimeUnit.SECONDS);
            }
            response.write(true, ByteBuffer.wrap("fine".getBytes(StandardCharsets.UTF_8)), callback);
            return true;
        }
    }

    @BeforeEach
    void start() {
        http.setMaxConnectionsPerDestination(1);
        port = HttpServers.start(
                        "target",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        HttpServers.newConfiguration(),
                        new Target(),
                        new ErrorHandler(),
                        closer)
                .getLocalPort();
    }

    @AfterEach
    void stop() {
        slowResponseMayEnd.countDown();
        closer.close();
    }

    private CompletableFuture<ContentResponse> send(String path) {
        Request request = http.newRequest("127.0.0.1", port).path(path);
        HardTimeout.start(scheduler, request, TIMEOUT);
        return new CompletableResponseListener(request).send();
    }

    @Test
    void incompleteRequestFailsAtTimeout() throws Exception {
        CompletableFuture<ContentResponse> response = send("/slow");
        slowRequestArrived.await(WAIT_SECONDS, TimeUnit.SECONDS);
        scheduler.runTasks();
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> response.get(WAIT_SECONDS, TimeUnit.SECONDS));
        assertThat(failure.getCause(), instanceOf(TimeoutException.class));
    }

    /** Guards against a timeout that closes the connection after it has been reused by another request. */
    @Test
    void timeoutOfCompleteRequestDoesNotCloseItsConnection() throws Exception {
        send("/fast").get(WAIT_SECONDS, TimeUnit.SECONDS);
        Request second = http.newRequest("127.0.0.1", port).path("/slow");
        CompletableFuture<ContentResponse> response = new CompletableResponseListener(second).send();
        slowRequestArrived.await(WAIT_SECONDS, TimeUnit.SECONDS);
        scheduler.runTasks();
        slowResponseMayEnd.countDown();
        assertThat(response.get(WAIT_SECONDS, TimeUnit.SECONDS).getContentAsString(), equalTo("fine"));
    }
}
