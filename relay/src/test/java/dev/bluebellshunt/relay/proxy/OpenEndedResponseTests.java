package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses with neither a length nor chunks, which end in order with their connection also when a target crashes. */
class OpenEndedResponseTests extends AbstractRelayHandlerTests {

    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    /** A response as it came over a connection that ended in order. */
    private record RawResponse(String head, String body) {}

    private RawResponse exchange(String path, String httpVersion) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            String request = "GET " + path + " HTTP/" + httpVersion + "\r\nhost: h.example\r\nt-id: id-1\r\n"
                    + "authorization: secret\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String received = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int end = received.indexOf("\r\n\r\n") + 4;
            return new RawResponse(received.substring(0, end).toLowerCase(Locale.ROOT), received.substring(end));
        }
    }

    private void assertEndIsOpen(RawResponse response, String body) {
        assertThat(
                response.head(),
                allOf(
                        not(containsString("content-length")),
                        not(containsString("transfer-encoding")),
                        anyOf(containsString("connection: close"), startsWith("http/1.0"))));
        assertThat(response.body(), equalTo(body));
        assertThat("sends", receivedRequests, hasSize(1));
    }

    /** Guards against a stream which a crash cut off between two events, and which reaches its caller as complete. */
    @ParameterizedTest
    @CsvSource({"/stream/, 1.1", "/resumable/, 1.1", "/safe/, 1.1", "/once/, 1.1", "/stream/, 1.0", "/once/, 1.0"})
    void openEndOfStreamStaysOpen(String path, String httpVersion) throws Exception {
        configure();
        scriptedResponses.add(closeAfter(EVENT_STREAM, TWO_EVENTS));
        assertEndIsOpen(exchange(path, httpVersion), TWO_EVENTS);
    }

    /** Guards against a body that a crash cut off, or that it kept from beginning, and that gets a length. */
    @ParameterizedTest
    @CsvSource({
        "/once/, text/plain, half a not",
        "/once/, text/plain, ''",
        "/safe/, text/plain, half a not",
        "/safe/, application/json, '{\"notice\": 17}'",
        "/open/, text/plain, ''",
        "/stream/, text/plain, half a not",
        "/stream/, text/plain, ''"
    })
    void openEndOfBodyStaysOpen(String path, String contentType, String body) throws Exception {
        configure();
        scriptedResponses.add(closeAfter("content-type: " + contentType + "\r\n", body));
        assertEndIsOpen(exchange(path, "1.1"), body);
    }

    /** Guards against the same for a body that is larger than what the relay buffers. */
    @Test
    void openEndOfLargeBodyStaysOpen() throws Exception {
        configure();
        String body = "notice ".repeat(50_000);
        scriptedResponses.add(closeAfter("content-type: text/plain\r\n", body));
        assertEndIsOpen(exchange("/once/", "1.1"), body);
    }

    /** Guards against the same for the error of a target. */
    @Test
    void openEndOfErrorStaysOpen() throws Exception {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            writeRaw(endPoint, "HTTP/1.1 500 Error\r\nt-seal: 1\r\nt-id: id-1\r\n\r\nthe target's er");
            endPoint.close();
            callback.failed(new IOException("the end of the connection is the end of the response"));
        });
        RawResponse response = exchange("/once/", "1.1");
        assertThat(response.head(), startsWith("http/1.1 500"));
        assertEndIsOpen(response, "the target's er");
    }

    /** Guards against an open-ended response that is known to be cut off, and ends in order like a complete one. */
    @ParameterizedTest
    @ValueSource(strings = {"1.1", "1.0"})
    void openEndedStreamThatEndsInsideEventIsReset(String httpVersion) {
        configure();
        scriptedResponses.add((request, response, callback) -> {
            EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
            writeRaw(endPoint, "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\n" + EVENT_STREAM + "\r\n" + TWO_EVENTS);
            writeRaw(endPoint, "id: 3\ndat");
            endPoint.close();
            callback.failed(new IOException("the end of the connection is the end of the response"));
        });
        assertThrows(SocketException.class, () -> exchange("/stream/", httpVersion));
    }

    /** Guards against a request that keeps crashing its targets, and that open-ended responses clear of it. */
    @Test
    void openEndLeavesOutcomeOfRequestUnknown() throws Exception {
        configure();
        for (int repetition = 1; repetition <= 3; repetition++) {
            scriptedResponses.add(closeAfter(EVENT_STREAM, TWO_EVENTS));
            exchange("/stream/deadly", "1.1");
            registerTargets(1 + repetition);
        }
        assertThat(get("/stream/deadly").getStatus(), equalTo(503));
        assertThat("sends", receivedRequests, hasSize(3));
    }

    @Test
    void framedResponseKeepsConnection() throws Exception {
        configure();
        scriptedResponses.add(ok("whole"));
        org.eclipse.jetty.client.ContentResponse response = get("/once/");
        assertThat(response.getHeaders().get("connection"), equalTo(null));
        assertThat(response.getHeaders().get("content-length"), equalTo("5"));
    }
}
