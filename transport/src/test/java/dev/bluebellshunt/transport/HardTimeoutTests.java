package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.core.close.Closer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The timeout of a request, and the connection that it shares with later requests. */
class HardTimeoutTests {

    /** Limits the duration of a test that hangs. */
    private static final long WAIT_SECONDS = 20;

    private static final Duration TIMEOUT = Duration.ofMillis(100);

    private final Closer closer = new Closer();
    private final HttpClient http = HttpClients.start("test", closer);
    private final CountDownLatch slowResponseMayEnd = new CountDownLatch(1);

    private final class Target extends Handler.Abstract {
        @Override
        public boolean handle(org.eclipse.jetty.server.Request request, Response response, Callback callback)
                throws Exception {
            if (org.eclipse.jetty.server.Request.getPathInContext(request).equals("/slow")) {
                slowResponseMayEnd.await(WAIT_SECONDS, TimeUnit.SECONDS);
            }
            response.write(true, ByteBuffer.wrap("fine".getBytes(StandardCharsets.UTF_8)), callback);
            return true;
        }
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Guards against a timeout that closes the connection after it has been reused by another request. */
    @Test
    void timeoutOfCompleteRequestDoesNotCloseItsConnection() throws Exception {
        http.setMaxConnectionsPerDestination(1);
        int port = HttpServers.start(
                        "target",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        HttpServers.newConfiguration(),
                        new Target(),
                        new ErrorHandler(),
                        closer)
                .getLocalPort();
        Request first = http.newRequest("127.0.0.1", port);
        HardTimeout.start(http, first, TIMEOUT);
        InputStreamResponseListener firstResponse = new InputStreamResponseListener();
        first.send(firstResponse);
        firstResponse.get(WAIT_SECONDS, TimeUnit.SECONDS);
        firstResponse.getInputStream().readAllBytes();
        http.getScheduler().schedule(slowResponseMayEnd::countDown, 3 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        Request second = http.newRequest("127.0.0.1", port).path("/slow").timeout(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(second.send().getContentAsString(), equalTo("fine"));
    }
}
