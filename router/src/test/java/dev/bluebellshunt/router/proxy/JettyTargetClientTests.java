package dev.bluebellshunt.router.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.model.TargetKind;
import dev.bluebellshunt.core.model.TargetSpec;
import dev.bluebellshunt.core.target.TargetRuntimeState;
import dev.bluebellshunt.core.target.TargetState;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.transport.HttpClients;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class JettyTargetClientTests {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** More than the buffers of a connection hold. */
    private static final int LARGE_BODY_BYTES = 16 * 1024 * 1024;

    private final Closer closer = new Closer();
    private final HttpClient http = HttpClients.start("test", closer);
    private final JettyTargetClient client = new JettyTargetClient(http, http, MonotonicClock.system());

    @AfterEach
    void stop() {
        closer.close();
    }

    private static TargetView target(int port) {
        TargetSpec spec =
                new TargetSpec("target", TargetKind.APPLICATION, "127.0.0.1", port, "d", Set.of(), false, false);
        return new TargetView(spec, TargetState.LIVE, "i1", new TargetRuntimeState());
    }

    private record ReadResponse(String body, boolean marksEnd) {}

    private ReadResponse send(String contentType, String body) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = Thread.ofVirtual().start(() -> serve(listener, contentType, body));
            TargetView target = target(listener.getLocalPort());
            TargetRequest request = new TargetRequest(
                    "POST", "/", HttpFields.EMPTY, new byte[0], true, Deadline.after(MonotonicClock.system(), TIMEOUT));
            try (TargetResponse response = client.send(target, request)) {
                return new ReadResponse(
                        new String(response.body().readAllBytes(), StandardCharsets.UTF_8), response.marksEnd());
            } finally {
                server.join();
            }
        }
    }

    /** Sends a response with neither a length nor chunks, and closes the connection in order. */
    private static void serve(ServerSocket listener, String contentType, String body) {
        try (Socket socket = listener.accept()) {
            byte[] request = new byte[4_096];
            if (socket.getInputStream().read(request) > 0) {
                String response = "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n\r\n" + body;
                socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            throw new IllegalStateException("the test server failed", e);
        }
    }

    /** Guards against a truncated response that is stored and repeated as the result of a request. */
    @ParameterizedTest
    @CsvSource({"application/json, '{\"notice\": 17, \"st'", "text/event-stream, 'data: a'"})
    void unframedResponseThatEndsInsideItsContentIsIncomplete(String contentType, String body) {
        assertThrows(IOException.class, () -> send(contentType, body));
    }

    @ParameterizedTest
    @CsvSource({"application/json, '{\"notice\": 17}'", "text/plain, 'half a'"})
    void otherUnframedResponseLeavesItsEndOpen(String contentType, String body) throws Exception {
        assertThat(send(contentType, body), equalTo(new ReadResponse(body, false)));
    }

    /** What happens on a connection that a target has accepted. */
    enum Fault {
        CLOSES_WITHOUT_READING,
        CLOSES_AFTER_HEAD,
        RESETS_AFTER_REQUEST,
        /** The router gives up while the target has not answered. */
        ROUTER_GIVES_UP
    }

    /** Guards against a request that a target may have run, and which is said not to have run. */
    @ParameterizedTest
    @EnumSource
    void requestOnOpenConnectionMayHaveRun(Fault fault) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CountDownLatch failed = new CountDownLatch(1);
            Thread router = Thread.currentThread();
            Thread server = Thread.ofVirtual().start(() -> fail(listener, fault, router, failed));
            TargetRequest request = new TargetRequest(
                    "POST",
                    "/",
                    HttpFields.EMPTY,
                    new byte[LARGE_BODY_BYTES],
                    true,
                    Deadline.after(MonotonicClock.system(), TIMEOUT));
            ShuntException failure =
                    assertThrows(ShuntException.class, () -> client.send(target(listener.getLocalPort()), request));
            assertThat("interrupted", Thread.interrupted(), equalTo(fault == Fault.ROUTER_GIVES_UP));
            failed.countDown();
            server.join();
            assertThat(failure.outcome(), equalTo(Outcome.UNKNOWN));
        }
    }

    private static void fail(ServerSocket listener, Fault fault, Thread router, CountDownLatch failed) {
        try (Socket socket = listener.accept()) {
            switch (fault) {
                case CLOSES_WITHOUT_READING -> {
                    // A connection that is closed before the request begins has carried nothing.
                    while (socket.getInputStream().available() == 0) {
                        Thread.onSpinWait();
                    }
                }
                case CLOSES_AFTER_HEAD -> socket.getInputStream().readNBytes(1);
                case RESETS_AFTER_REQUEST -> {
                    socket.getInputStream().readNBytes(LARGE_BODY_BYTES);
                    socket.setSoLinger(true, 0);
                }
                case ROUTER_GIVES_UP -> {
                    socket.getInputStream().readNBytes(1);
                    router.interrupt();
                    failed.await();
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the test server failed", e);
        }
    }

    /**
     * Guards against a response without a length that a reset cut off while the request was being written, and that is taken
     * to be complete. Which of two threads of the client sees the reset first decides, so it is repeated.
     */
    @Test
    void responseCutOffDuringUploadIsNotComplete() throws Exception {
        for (int i = 0; i < 50; i++) {
            assertThrows(
                    Exception.class,
                    () -> upload("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf a not", 64 * 1024)
                            .readAllBytes());
        }
    }

    /** Guards against a status that is none, and that a caller gets. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "1000", "abc"})
    void responseWithInvalidStatusLeavesOutcomeUnknown(String status) {
        ShuntException failure = assertThrows(
                ShuntException.class, () -> upload("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n", 64));
        assertThat(failure.outcome(), equalTo(Outcome.UNKNOWN));
        assertThat(failure.code(), equalTo(ErrorCode.TARGET_FAILED));
    }

    /** Sends a long body to a target that responds at once, reads some more, and resets the connection. */
    private InputStream upload(String responseText, int bytesReadAfterwards) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = listener.accept()) {
                    socket.getInputStream().readNBytes(100);
                    socket.getOutputStream().write(responseText.getBytes(StandardCharsets.US_ASCII));
                    socket.getInputStream().readNBytes(bytesReadAfterwards);
                    socket.setSoLinger(true, 0);
                } catch (IOException e) {
                    // The router has closed the connection first.
                }
            });
            byte[] body = new byte[LARGE_BODY_BYTES / 4];
            TargetRequest request = new TargetRequest(
                    "POST", "/", HttpFields.EMPTY, body, true, Deadline.after(MonotonicClock.system(), TIMEOUT));
            return client.send(target(listener.getLocalPort()), request).body();
        }
    }

    @Test
    void requestToClosedPortHasNotRun() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        TargetRequest request = new TargetRequest(
                "POST", "/", HttpFields.EMPTY, new byte[0], true, Deadline.after(MonotonicClock.system(), TIMEOUT));
        assertThat(
                assertThrows(ShuntException.class, () -> client.send(target(port), request))
                        .outcome(),
                equalTo(Outcome.NOT_RUN));
    }
}
