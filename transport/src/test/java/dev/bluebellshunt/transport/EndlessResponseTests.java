package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import dev.bluebellshunt.core.error.Step;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against servers that send bytes without end which are no response, until the client closes the connection. */
class EndlessResponseTests {

    /** Limits the duration of a test that hangs. */
    private static final long WAIT_SECONDS = 20;

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

    /** Twice the maximum size of a head. */
    private static final long LARGE_HEAD_BYTES = 64L * 1024;

    private final Closer closer = new Closer();
    private final JsonHttpClient client =
            new JsonHttpClient(HttpClients.start("test", closer), JsonHttpClient.newMapper(), Step.FORWARD);

    /** What is sent in place of a response: a text once, and then another one without end. */
    enum Endless {
        HEAD_WITHOUT_LINE_END("", "x"),
        HEAD_OF_EMPTY_LINES("", "\r\n"),
        HEAD_STATUS_LINE("HTTP/1.1 200 ", "fine "),
        HEAD_FIELD_NAME("HTTP/1.1 200 OK\r\n", "x"),
        HEAD_FIELD_VALUE("HTTP/1.1 200 OK\r\nx: ", "y"),
        HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        HEAD_AFTER_BODY(CHUNKED + "0\r\n", "x: y\r\n"),
        BODY_CHUNK_SIZE(CHUNKED, "0"),
        BODY_CHUNK_EXTENSION(CHUNKED + "1;", "x"),
        BODY_CHUNK_EXTENSION_AFTER_CONTENT(CHUNKED + "1\r\n{\r\n1;", "x"),
        BODY_CHUNKS(CHUNKED, "1\r\n{\r\n"),
        BODY_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n\r\n", "{"),
        BODY_OF_HUGE_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "{");

        private final String start;
        private final String repeated;

        Endless(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    /**
     * Responds to the first request with at most a number of bytes, and returns a future that completes when the client
     * closes the connection.
     */
    private static CompletableFuture<Void> serve(ServerSocket server, Endless response, long maxBytes) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        byte[] repeated = response.repeated.repeat(1_024).getBytes(StandardCharsets.US_ASCII);
        Thread.ofVirtual().start(() -> {
            try (Socket connection = server.accept()) {
                InputStream input = connection.getInputStream();
                if (input.read() < 0) {
                    throw new IOException("no request was received");
                }
                OutputStream output = connection.getOutputStream();
                output.write(response.start.getBytes(StandardCharsets.US_ASCII));
                for (long bytes = 0; bytes < maxBytes; bytes += repeated.length) {
                    output.write(repeated);
                }
                input.transferTo(OutputStream.nullOutputStream());
                closed.complete(null);
            } catch (IOException clientClosedConnection) {
                closed.complete(null);
            }
        });
        return closed;
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Sends a request, waits until the client has closed its connection, and returns why the request failed. */
    private Throwable send(Endless response, long maxBytes, Duration timeout) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> closed = serve(server, response, maxBytes);
            CompletableFuture<JsonHttpClient.Response> received =
                    client.send(HttpMethod.GET, "127.0.0.1:" + server.getLocalPort(), "/", null, timeout);
            ExecutionException failure =
                    assertThrows(ExecutionException.class, () -> received.get(WAIT_SECONDS, TimeUnit.SECONDS));
            closed.get(WAIT_SECONDS, TimeUnit.SECONDS);
            return rootCause(failure);
        }
    }

    private static Throwable rootCause(Throwable failure) {
        Throwable cause = failure.getCause();
        return cause == null ? failure : rootCause(cause);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "HEAD_.*")
    void responseWithoutEndOfHeadFailsAtMaximumSize(Endless head) throws Exception {
        Throwable failure = send(head, LARGE_HEAD_BYTES, Duration.ofSeconds(2 * WAIT_SECONDS));
        assertThat(failure, not(instanceOf(TimeoutException.class)));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "HEAD_.*")
    void responseWithoutEndOfHeadIsClosedWhileServerSends(Endless head) throws Exception {
        Throwable failure = send(head, Long.MAX_VALUE, Duration.ofSeconds(2 * WAIT_SECONDS));
        assertThat(failure, not(instanceOf(TimeoutException.class)));
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.MATCH_ALL, names = "BODY_.*")
    void responseWithoutEndOfBodyEndsAtTimeout(Endless body) throws Exception {
        send(body, Long.MAX_VALUE, SHORT_TIMEOUT);
    }
}
