package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import dev.bluebellshunt.core.close.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a server answers by itself. Callers take 408, 421, 429 and 503, and the outcome {@code not_run}, to mean that a
 * request has not run; the server must not say so once a handler has begun, which may have passed the request on.
 */
class ServerAnswersTests {

    private static final int WAIT_SECONDS = 20;
    private static final long SHORT_IDLE_TIMEOUT_MS = 50;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    private final Closer closer = new Closer();
    private final CountDownLatch passedOn = new CountDownLatch(1);

    /** What a handler does after it has passed a request on. Returns whether it has handled the request. */
    private interface Step {
        boolean run(Request request, Response response, Callback callback) throws Exception;
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    private ServerConnector start(Step step) {
        return start(step, closer);
    }

    private ServerConnector start(Step step, Closer serverCloser) {
        Handler handler = new Handler.Abstract() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                passedOn.countDown();
                return step.run(request, response, callback);
            }
        };
        return HttpServers.start(
                "test",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                HttpServers.newConfiguration(),
                handler,
                new JsonErrorHandler(),
                serverCloser);
    }

    private Socket connect(ServerConnector server) throws IOException {
        Socket caller = closer.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return caller;
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a response up to the end of its connection. */
    private static String read(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String exchange(ServerConnector server, String request) throws IOException {
        Socket caller = connect(server);
        write(caller, request);
        return read(caller);
    }

    private static void assertPromisesNothing(String response) {
        for (int status : new int[] {408, 421, 429, 503}) {
            assertThat(response, not(startsWith("HTTP/1.1 " + status + " ")));
        }
        assertThat(response, not(containsString("not_run")));
    }

    /** Failures whose status the server would send to the caller, and others. */
    private static Stream<Arguments> failures() {
        Stream<Supplier<Throwable>> withStatus = IntStream.of(400, 404, 408, 413, 421, 429, 503)
                .boxed()
                .flatMap(status -> Stream.of(
                        () -> new HttpException.RuntimeException(status, "a status"),
                        () -> new HttpException.IllegalArgumentException(status, "a status")));
        Stream<Supplier<Throwable>> others = Stream.of(
                () -> new BadMessageException("status 400"),
                IllegalStateException::new,
                IOException::new,
                TimeoutException::new,
                EofException::new,
                InterruptedException::new,
                OutOfMemoryError::new,
                StackOverflowError::new,
                () -> new IOException(new TimeoutException()),
                () -> new IOException(new BadMessageException(408, "a status")),
                () -> new ExecutionException(new HttpException.RuntimeException(503, "a status")));
        return Stream.concat(withStatus, others)
                .map(failure -> Arguments.of(failure.get().toString(), failure));
    }

    /** Guards against a failure after a request was passed on that the caller takes for "has not run". */
    @ParameterizedTest(name = "{0}")
    @MethodSource("failures")
    void failureThrownByHandlerIsServerError(String name, Supplier<Throwable> failure) throws Exception {
        ServerConnector server = start((request, response, callback) -> {
            switch (failure.get()) {
                case Error e -> throw e;
                case Exception e -> throw e;
                case Throwable e -> throw new IllegalStateException(e);
            }
        });
        String response = exchange(server, REQUEST);
        assertThat(response, startsWith("HTTP/1.1 500 "));
        assertThat(response, containsString("\"outcome\":\"unknown\""));
    }

    /** Guards against the same, where the handler fails its callback, at once or after its thread has returned. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("failures")
    void failureOfCallbackIsServerError(String name, Supplier<Throwable> failure) throws Exception {
        ServerConnector server = start((request, response, callback) -> {
            callback.failed(failure.get());
            return true;
        });
        String response = exchange(server, REQUEST);
        assertThat(response, startsWith("HTTP/1.1 500 "));
        assertThat(response, containsString("\"outcome\":\"unknown\""));
    }

    /** Guards against a broken body that the caller takes for "has not run", whether the handler reads it or not. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void brokenBodyIsNoPromiseOnceHandlerHasBegun(boolean reads) throws Exception {
        ServerConnector server = start((request, response, callback) -> {
            if (reads) {
                Content.Source.asInputStream(request).readAllBytes();
            }
            callback.succeeded();
            return true;
        });
        assertPromisesNothing(exchange(
                server, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nnot hex\r\n"));
    }

    /** Guards against an idle timeout in the body that becomes a 408. */
    @Test
    void idleTimeoutInBodyIsNoPromise() throws Exception {
        ServerConnector server = start((request, response, callback) -> {
            Content.Source.asInputStream(request).readAllBytes();
            callback.succeeded();
            return true;
        });
        server.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
        assertPromisesNothing(exchange(server, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"));
    }

    /** Guards against an idle timeout that answers a caller while its request runs. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void idleTimeoutWhileHandlerWaitsIsNoPromise(boolean answers) throws Exception {
        CompletableFuture<Throwable> idle = new CompletableFuture<>();
        ServerConnector server = start((request, response, callback) -> {
            request.addFailureListener(idle::complete);
            request.getConnectionMetaData().getConnection().getEndPoint().setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
            Throwable failure = idle.get(WAIT_SECONDS, TimeUnit.SECONDS);
            if (answers) {
                Content.Sink.write(response, true, "ran", callback);
            } else {
                callback.failed(failure);
            }
            return true;
        });
        assertPromisesNothing(exchange(server, REQUEST));
        assertThat(idle.isDone(), equalTo(true));
    }

    /** Guards against a server that rejects, while it is stopped, a request that it has passed on. */
    @Test
    void stopOfServerWhileHandlerWaitsIsNoPromise() throws Exception {
        Closer serverCloser = closer.add(new Closer());
        CompletableFuture<Void> released = new CompletableFuture<>();
        ServerConnector server = start(
                (request, response, callback) -> {
                    released.get(WAIT_SECONDS, TimeUnit.SECONDS);
                    callback.succeeded();
                    return true;
                },
                serverCloser);
        Socket caller = connect(server);
        write(caller, REQUEST);
        assertThat(passedOn.await(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(true));
        serverCloser.close();
        released.complete(null);
        String response;
        try {
            response = read(caller);
        } catch (IOException reset) {
            response = "";
        }
        assertPromisesNothing(response);
    }

    /** A handler that declines a request has not passed it on, so that the 404 may say so. */
    @Test
    void declinedRequestIsNotFound() throws Exception {
        ServerConnector server = start((request, response, callback) -> false);
        String response = exchange(server, REQUEST);
        assertThat(response, startsWith("HTTP/1.1 404 "));
        assertThat(response, containsString("not_run"));
    }

    /** Requests that the server rejects before a handler begins have not run, whatever the status says. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "broken",
                "GET /x HTTP/9.9\r\nHost: h\r\n\r\n",
                "GET /x HTTP/1.1\r\n\r\n",
                "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
                "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                "GET /x HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\n\r\n",
                "oversized"
            })
    void requestWithBrokenHeadNeverReachesHandler(String head) throws Exception {
        ServerConnector server = start((request, response, callback) -> {
            callback.succeeded();
            return true;
        });
        String request = switch (head) {
            case "broken" -> "\0\1\2\r\n\r\n";
            case "oversized" -> "GET /x HTTP/1.1\r\nHost: h\r\nx: " + "x".repeat(40_000) + "\r\n\r\n";
            default -> head;
        };
        String response;
        try {
            response = exchange(server, request);
        } catch (IOException reset) {
            response = "";
        }
        assertThat("handler began", passedOn.getCount(), equalTo(1L));
        assertThat(response, anyOf(emptyString(), startsWith("HTTP/1.1 4"), startsWith("HTTP/1.1 505")));
    }

    /** A head that never ends is cut off without an answer, or answered before a handler begins. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /x HT", "GET /x HTTP/1.1\r\nHost: h\r\n"})
    void idleTimeoutInHeadNeverReachesHandler(String part) throws Exception {
        ServerConnector server = start((request, response, callback) -> {
            callback.succeeded();
            return true;
        });
        server.setIdleTimeout(SHORT_IDLE_TIMEOUT_MS);
        String response = exchange(server, part);
        assertThat("handler began", passedOn.getCount(), equalTo(1L));
        assertThat(response, anyOf(emptyString(), startsWith("HTTP/1.1 4")));
    }
}
