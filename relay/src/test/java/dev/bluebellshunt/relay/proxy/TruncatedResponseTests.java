package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A target that stops after any byte of its response's head or body and closes its connection, in order or by a reset, on a
 * new connection or on one that has served a request before.
 */
class TruncatedResponseTests extends AbstractRelayHandlerTests {

    private static final String BODY = "id: 1\ndata: a\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String CHUNKED_BODY = "f\r\n" + BODY + "\r\n" + LAST_CHUNK;

    private long bornMillis = 1;

    /** How a target marks the end of its response. */
    enum Framing {
        LENGTH("content-length: " + BODY.length() + "\r\n", BODY),
        CHUNKS("transfer-encoding: chunked\r\n", CHUNKED_BODY),
        NONE("", BODY);

        private final String header;
        private final String body;

        Framing(String header, String body) {
            this.header = header;
            this.body = body;
        }

        String head(String requestId) {
            return "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: " + requestId + "\r\n" + EVENT_STREAM + header + "\r\n";
        }
    }

    private static ScriptedResponse truncated(String start, boolean reset) {
        return (request, response, callback) -> {
            writeRaw(endPoint(request), start);
            if (reset) {
                ((SocketChannel) endPoint(request).getTransport()).setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            endPoint(request).close();
            callback.failed(new IOException("the response is truncated"));
        };
    }

    private static EndPoint endPoint(Request request) {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Registers a new incarnation of the first target, which has no record of failures. */
    private void registerOneTarget() {
        bornMillis++;
        directory.update(
                List.of(new TargetEntry(
                        "t0", bornMillis, "apps", "127.0.0.1", targetPorts.getFirst(), "fd-1", 6, false, Map.of())),
                clock.nanos(),
                false);
    }

    /** Sends a request and returns the whole response, or an empty text if its connection is reset. */
    private String exchange(String path) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            String request = "GET " + path + " HTTP/1.1\r\nhost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\n"
                    + "connection: close\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (SocketException e) {
            return "";
        }
    }

    /** Whether a response is a success whose framing says that its body is complete. */
    private static boolean endsAsComplete(String response) {
        String lowerCase = response.toLowerCase(Locale.ROOT);
        if (!lowerCase.startsWith("http/1.1 200")) {
            return false;
        }
        int bodyStart = response.indexOf("\r\n\r\n") + 4;
        String head = lowerCase.substring(0, bodyStart);
        if (head.contains("transfer-encoding: chunked")) {
            return response.endsWith(LAST_CHUNK);
        }
        int length = head.indexOf("content-length: ");
        if (length < 0) {
            return false;
        }
        String value = head.substring(length + 16, head.indexOf("\r\n", length));
        return response.length() - bodyStart == Integer.parseInt(value);
    }

    private void check(String path, Framing framing, String interim, int bytes, boolean reset) throws Exception {
        registerOneTarget();
        String whole = framing.head("id-1") + framing.body;
        scriptedResponses.add(truncated(interim + whole.substring(0, bytes), reset));
        String response = exchange(path + bornMillis);
        scriptedResponses.clear();
        boolean complete = endsAsComplete(response);
        boolean whollySent = framing != Framing.NONE && bytes == whole.length();
        // By RFC 9112, section 8, a chunked message is complete once its last chunk has been received.
        boolean endMarked = whollySent || (framing == Framing.CHUNKS && bytes >= whole.indexOf(LAST_CHUNK) + 3);
        String description = framing + ", " + path + ", cut after " + bytes + " bytes: " + response;
        if (!endMarked) {
            assertThat(description, complete, equalTo(false));
        } else if (whollySent && !reset) {
            assertThat(description, complete, equalTo(true));
        }
    }

    /** Guards against a head or body that stops and reaches the caller as a whole response with an empty or short body. */
    @ParameterizedTest
    @CsvSource({
        "LENGTH, false",
        "LENGTH, true",
        "CHUNKS, false",
        "CHUNKS, true",
        "NONE, false",
        "NONE, true",
    })
    void truncatedResponseNeverLooksComplete(Framing framing, boolean reset) throws Exception {
        configure();
        int length = (framing.head("id-1") + framing.body).length();
        for (String path : List.of("/stream/", "/once/", "/resumable/")) {
            for (int bytes = 0; bytes <= length; bytes++) {
                check(path, framing, "", bytes, reset);
            }
        }
    }

    /** Guards against the same on a connection that has served another request. */
    @ParameterizedTest
    @CsvSource({"LENGTH, false", "CHUNKS, false", "NONE, false", "LENGTH, true"})
    void truncatedResponseOnKeptConnectionNeverLooksComplete(Framing framing, boolean reset) throws Exception {
        configure();
        int length = (framing.head("id-1") + framing.body).length();
        for (int bytes = 0; bytes <= length; bytes++) {
            registerOneTarget();
            scriptedResponses.add(ok("the first response"));
            get("/once/first");
            check(bytes % 2 == 0 ? "/stream/" : "/once/", framing, "", bytes, reset);
        }
    }

    /** Guards against an interim response that is taken for the final one, whose head stops. */
    @ParameterizedTest
    @CsvSource({"100 Continue", "102 Processing", "103 Early Hints"})
    void truncatedResponseAfterInterimOneNeverLooksComplete(String status) throws Exception {
        configure();
        String interim = "HTTP/1.1 " + status + "\r\nt-seal: 1\r\nt-id: id-1\r\n\r\n";
        int length = Framing.LENGTH.head("id-1").length();
        for (int bytes = 0; bytes <= length; bytes++) {
            check(bytes % 2 == 0 ? "/stream/" : "/once/", Framing.LENGTH, interim, bytes, false);
        }
    }

    /** Guards against the same in the response of a second target, after the first one has closed its connection. */
    @ParameterizedTest
    @CsvSource({"LENGTH", "CHUNKS", "NONE"})
    void truncatedResponseOfSecondTargetNeverLooksComplete(Framing framing) throws Exception {
        configure();
        int length = (framing.head("id-1") + framing.body).length();
        for (int bytes = 0; bytes < length; bytes++) {
            bornMillis++;
            registerTargets(bornMillis);
            scriptedResponses.add(closeWithoutResponse());
            scriptedResponses.add(truncated((framing.head("id-1") + framing.body).substring(0, bytes), false));
            String response = exchange("/safe/" + bornMillis);
            scriptedResponses.clear();
            assertThat("cut after " + bytes + ": " + response, endsAsComplete(response), equalTo(false));
        }
    }
}
