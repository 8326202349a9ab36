package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.transport.HttpServers;
import dev.bluebellshunt.transport.JsonErrorHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failures of the relay's server, or of a caller's connection, while a target runs a request. Guards against an answer that
 * says that the request has not run.
 */
class ServerFailureTests extends AbstractRelayHandlerTests {

    private static final String REQUEST = "POST /once/order HTTP/1.1\r\nHost: h.example\r\nt-id: id-1\r\n"
            + "authorization: secret\r\nContent-Length: 4\r\n\r\nbody";
    private static final long SHORT_IDLE_TIMEOUT_MS = 50;

    private final CountDownLatch running = new CountDownLatch(1);
    private final CountDownLatch mayEnd = new CountDownLatch(1);
    private final CountDownLatch connectionFailed = new CountDownLatch(1);
    private final Closer serverCloser = new Closer();

    @AfterEach
    void release() {
        mayEnd.countDown();
        serverCloser.close();
    }

    private static void assertPromisesNothing(String response) {
        for (int status : new int[] {408, 421, 429, 503}) {
            assertThat(response, not(startsWith("HTTP/1.1 " + status + " ")));
        }
        assertThat(response, not(containsString("not_run")));
    }

    /** Lets the target run the next request until the test ends it. */
    private void holdTarget() {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            running.countDown();
            mayEnd.await(WAIT_SECONDS, TimeUnit.SECONDS);
            ok("ran").respond(request, response, callback);
        });
    }

    /** Starts another server of the relay, which the test can stop. */
    private ServerConnector startServer() {
        RelayHandler relay = Objects.requireNonNull(handler);
        return HttpServers.start(
                "failing",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                RelayHandler.httpConfiguration(),
                new Handler.Abstract() {
                    @Override
                    public boolean handle(Request request, Response response, Callback callback) {
                        request.addFailureListener(failure -> connectionFailed.countDown());
                        return relay.handle(request, response, callback);
                    }
                },
                new JsonErrorHandler(),
                serverCloser);
    }

    private Socket send(int serverPort, String text) throws IOException {
        Socket caller = closer.add(new Socket(InetAddress.getLoopbackAddress(), serverPort));
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    /** Reads to the end of the connection, or up to its reset. */
    private static String read(Socket caller) {
        StringBuilder text = new StringBuilder();
        try {
            int next = caller.getInputStream().read();
            while (next >= 0) {
                text.append((char) next);
                next = caller.getInputStream().read();
            }
        } catch (IOException reset) {
            text.append(" (reset)");
        }
        return text.toString();
    }

    private void awaitTarget() throws InterruptedException {
        assertThat("the target runs the request", running.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
    }

    @Test
    void idleConnectionOfCallerIsNoPromise() throws Exception {
        holdTarget();
        ServerConnector server = startServer();
        Socket caller = send(server.getLocalPort(), REQUEST.replace("Host:", "Connection: close\r\nHost:"));
        awaitTarget();
        server.getConnectedEndPoints().forEach(endPoint -> endPoint.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS));
        assertThat("the timeout", connectionFailed.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
        mayEnd.countDown();
        assertPromisesNothing(read(caller));
        assertThat("runs", receivedRequests, hasSize(1));
    }

    @Test
    void stopOfServerIsNoPromise() throws Exception {
        holdTarget();
        Socket caller = send(startServer().getLocalPort(), REQUEST);
        awaitTarget();
        serverCloser.close();
        mayEnd.countDown();
        assertPromisesNothing(read(caller));
        assertThat("runs", receivedRequests, hasSize(1));
    }

    /** The caller has said all that it has to say, but still reads. */
    @Test
    void halfClosedConnectionOfCallerIsNoPromise() throws Exception {
        holdTarget();
        Socket caller = send(port, REQUEST);
        awaitTarget();
        caller.shutdownOutput();
        assertPromisesNothing(read(caller));
        assertThat("runs", receivedRequests, hasSize(1));
    }

    /** What a caller sends behind a request that runs is not the cause of a rejection of that request. */
    @ParameterizedTest
    @ValueSource(
            strings = {"broken\r\n\r\n", "GET /once/next HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"})
    void bytesBehindRunningRequestAreNoPromise(String behind) throws Exception {
        holdTarget();
        Socket caller = send(port, REQUEST);
        awaitTarget();
        caller.getOutputStream().write(behind.getBytes(StandardCharsets.US_ASCII));
        mayEnd.countDown();
        assertThat(read(caller), startsWith("HTTP/1.1 200 "));
        assertThat("runs", receivedRequests, hasSize(1));
    }

    private static Stream<Supplier<Throwable>> failures() {
        return Stream.of(
                OutOfMemoryError::new,
                StackOverflowError::new,
                NoClassDefFoundError::new,
                IllegalStateException::new,
                () -> new HttpException.RuntimeException(408, "a status"),
                () -> new HttpException.RuntimeException(421, "a status"),
                () -> new HttpException.RuntimeException(429, "a status"),
                () -> new HttpException.RuntimeException(503, "a status"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void failureAfterRunIsNoPromise(Supplier<Throwable> failure) throws Exception {
        configure();
        headerCodec.onResponseHeadersRead(() -> {
            switch (failure.get()) {
                case Error e -> throw e;
                case RuntimeException e -> throw e;
                case Throwable e -> throw new IllegalStateException(e);
            }
        });
        Socket caller = send(port, REQUEST.replace("Host:", "Connection: close\r\nHost:"));
        String response = read(caller);
        assertThat(response, startsWith("HTTP/1.1 500 "));
        assertThat(response, containsString("\"outcome\":\"unknown\""));
        assertThat("runs", receivedRequests, hasSize(1));
    }

    /** Guards against a watcher that outlives a request which ended with an error, and swallows the next one. */
    @Test
    void connectionIsClosedOrServesNextRequestAfterError() throws Exception {
        configure();
        headerCodec.onResponseHeadersRead(() -> {
            throw new StackOverflowError();
        });
        Socket caller = send(port, REQUEST);
        StringBuilder first = new StringBuilder();
        while (first.indexOf("}}") < 0) {
            first.append((char) caller.getInputStream().read());
        }
        headerCodec.onResponseHeadersRead(() -> {});
        caller.getOutputStream()
                .write(REQUEST.replace("Host:", "Connection: close\r\nHost:").getBytes(StandardCharsets.US_ASCII));
        assertThat(read(caller), anyOf(startsWith("HTTP/1.1 200 "), equalTo("")));
    }
}
