package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;

import dev.bluebellshunt.relay.model.RouteKind;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Request lines as callers write them and as a target reads them, byte by byte. */
class RequestTargetTests extends AbstractRelayHandlerTests {

    private static final String HEADERS =
            " HTTP/1.1\r\nhost: h.example\r\nt-id: id-1\r\nauthorization: secret\r\nconnection: close\r\n\r\n";

    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

    private final CompletableFuture<String> receivedLine = new CompletableFuture<>();

    @BeforeEach
    void replaceTargets() throws IOException {
        ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closer.add(listener);
        Thread.ofVirtual().start(() -> serve(listener));
        targetPorts.clear();
        targetPorts.add(listener.getLocalPort());
        registerTargets(2);
    }

    /** Reads one request and responds to it. */
    private void serve(ServerSocket listener) {
        try (Socket socket = listener.accept()) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = reader.readLine();
            String header = line;
            while (header != null && !header.isEmpty()) {
                header = reader.readLine();
            }
            receivedLine.complete(line);
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            receivedLine.completeExceptionally(e);
        }
    }

    /** Sends a request and returns the status line of the response. */
    private String send(String methodAndTarget) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            caller.getOutputStream().write((methodAndTarget + HEADERS).getBytes(StandardCharsets.US_ASCII));
            byte[] response = caller.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.ISO_8859_1)
                    .lines()
                    .findFirst()
                    .orElse("no response");
        }
    }

    private void assertForwarded(String sent, String expected) throws Exception {
        assertThat(send(sent), startsWith("HTTP/1.1 200"));
        assertThat(receivedLine.get(WAIT_SECONDS, TimeUnit.SECONDS), equalTo(expected + " HTTP/1.1"));
    }

    /** Guards against a path that is parsed as a URI reference on its way to the target, and loses its first segment. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "//archive/notice/7",
                "//archive/notice/7?next=//archive/8",
                "//archive",
                "//",
                "///archive/notice/7",
                "//archive:8/7",
                "//archive:notice/7",
                "//user@archive/7",
                "//[archive/7",
                "/archive//notice///7//",
                "/http://other.example/7?http://other.example/",
                "/archive:7/8",
                "/archive:7",
                "/@",
                "/?",
                "/archive?",
                "/archive?a?b=?",
                "/archive?a=%20+b&a=&&=c;d",
                "/archive?a=%ff%zz%",
                "/%61rchive%2F7%5c%25",
                "/%c3%a4/%ff",
                "/archive/./notice/../7",
                "/archive/..",
                "/archive/%2e%2E/7",
                "/archive/%2e%2e%2f7",
                "/archive;a=b/7;c;d=e,f",
                "/archive/..;a/7",
                "/archive|{7}^`\"<>\\",
            })
    void requestLineReachesTargetAsSent(String target) throws Exception {
        configure(List.of(route("/", RouteKind.IDEMPOTENT, false)));
        assertForwarded("GET " + target, "GET " + target);
    }

    /** Guards against the same in an absolute form, of which a target receives only the path and query. */
    @ParameterizedTest
    @CsvSource({
        "http://h.example//archive/7?a=//b, //archive/7?a=//b",
        "http://h.example/archive/../7?, /archive/../7?",
        "http://h.example/, /",
    })
    void absoluteFormReachesTargetAsItsPathAndQuery(String sent, String expected) throws Exception {
        configure(List.of(route("/", RouteKind.IDEMPOTENT, false)));
        assertForwarded("GET " + sent, "GET " + expected);
    }

    /** Guards against a path that the parser of the relay can't resolve, and that reaches a target in another spelling. */
    @ParameterizedTest
    @ValueSource(
            strings = {"/%zz", "/archive%00", "/../archive/7", "/archive/../../open/7", "/%2e%2e/open/7", "/..//open/7"
            })
    void pathThatCannotBeResolvedIsRejected(String target) throws Exception {
        configure(List.of(route("/", RouteKind.IDEMPOTENT, false)));
        assertThat(send("GET " + target), startsWith("HTTP/1.1 400"));
        assertThat(receivedLine.isDone(), equalTo(false));
    }

    /** Guards against a route that is selected by another spelling of the path than the one that the target receives. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/archive/../open/7",
                "/archive/%2e%2e/open/7",
                "/archive/.%2E/open/7",
                "/archive/..;a/open/7",
                "/archive/..%2Fopen/7",
                "/archive/./7",
                "/archive/%6fpen",
            })
    void routeIsSelectedByPathAsSent(String path) throws Exception {
        configure(List.of(route("/archive/", RouteKind.IDEMPOTENT, false)));
        assertForwarded("GET " + path, "GET " + path);
    }

    /** Guards against the same where no prefix begins the path as sent. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/archive/../open/7",
                "/./open/7",
                "/%6fpen/7",
                "/%2e/open/7",
                "/open;a/7",
                "/open%2F7",
                "//open/7",
                "/open",
            })
    void pathThatNoPrefixBeginsIsRejected(String path) throws Exception {
        configure(List.of(route("/open/", RouteKind.IDEMPOTENT, true)));
        assertThat(send("GET " + path), startsWith("HTTP/1.1 404"));
        assertThat(receivedLine.isDone(), equalTo(false));
    }
}
