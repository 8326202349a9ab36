package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Reads responses whose connection is closed in order after the last byte. */
class ResponseBodyTests {

    private static final long WAIT_SECONDS = 20;
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

    private final Closer closer = new Closer();
    private final HttpClient http = HttpClients.start("test", closer);

    @AfterEach
    void stop() {
        closer.close();
    }

    private String read(String headers, String body) throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = Thread.ofVirtual().start(() -> serve(listener, headers, body));
            InputStreamResponseListener received = new InputStreamResponseListener();
            Request request =
                    http.newRequest("127.0.0.1", listener.getLocalPort()).timeout(WAIT_SECONDS, TimeUnit.SECONDS);
            RequestEnd requestEnd = RequestEnd.of(request);
            request.send(received);
            Response response = received.get(WAIT_SECONDS, TimeUnit.SECONDS);
            try (ResponseBody content = new ResponseBody(response, received.getInputStream(), requestEnd)) {
                return new String(content.readAllBytes(), StandardCharsets.US_ASCII);
            } finally {
                server.join();
            }
        }
    }

    private static void serve(ServerSocket listener, String headers, String body) {
        try (Socket socket = listener.accept()) {
            byte[] request = new byte[4_096];
            if (socket.getInputStream().read(request) > 0) {
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            throw new IllegalStateException("the test server failed", e);
        }
    }

    private void assertTruncated(String headers, String body, String problem) {
        EOFException e = assertThrows(EOFException.class, () -> read(headers, body));
        assertThat(e.getMessage(), containsString(problem));
    }

    @Test
    void unframedEventStreamMustEndAfterEvent() throws Exception {
        assertThat(read(EVENT_STREAM, "data: a\n\ndata: b\n\n"), equalTo("data: a\n\ndata: b\n\n"));
        assertTruncated(EVENT_STREAM, "data: a\n\ndata: b\n", "inside an event (framing connection_close, 17 bytes)");
        assertTruncated(EVENT_STREAM, "data", "inside an event");
        assertTruncated(EVENT_STREAM, "", "before its first event");
        assertTruncated(EVENT_STREAM, ": ping\n\n", "before its first event");
    }

    @Test
    void framedEventStreamMustNotEndInsideEvent() throws Exception {
        assertThat(read(EVENT_STREAM + "Content-Length: 0\r\n", ""), equalTo(""));
        assertThat(read(EVENT_STREAM + "Content-Length: 9\r\n", "data: a\n\n"), equalTo("data: a\n\n"));
        assertTruncated(EVENT_STREAM + "Content-Length: 8\r\n", "data: a\n", "framing length");
        String chunked = EVENT_STREAM + "Transfer-Encoding: chunked\r\n";
        assertThat(read(chunked, "0\r\n\r\n"), equalTo(""));
        assertThat(read(chunked, "9\r\ndata: a\n\n\r\n0\r\n\r\n"), equalTo("data: a\n\n"));
        assertTruncated(chunked, "8\r\ndata: a\n\r\n0\r\n\r\n", "framing chunked");
    }

    @Test
    void responsesOfOtherTypesEndAsFramed() throws Exception {
        assertThat(read("", "half"), equalTo("half"));
        assertThat(read("Content-Type: text/plain\r\n", "data: a\n"), equalTo("data: a\n"));
        assertThrows(IOException.class, () -> read("Content-Length: 5\r\n", "half"));
        assertThrows(IOException.class, () -> read("Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n"));
    }

    @Test
    void unframedJsonMustNotEndInsideDocument() throws Exception {
        String json = "Content-Type: application/json\r\n";
        assertThat(read(json, "{\"a\":1}"), equalTo("{\"a\":1}"));
        assertThat(read(json + "Content-Length: 4\r\n", "{\"a\""), equalTo("{\"a\""));
        assertThat("no JSON at all", read(json, "fine"), equalTo("fine"));
        assertTruncated(json, "{\"a\":", "JSON ended inside its document (framing connection_close, 5 bytes)");
        assertTruncated(json, "", "JSON ended inside its document");
    }

    @Test
    void boundariesOfEncodedEventStreamAreNotRead() throws Exception {
        assertThat(read(EVENT_STREAM + "Content-Encoding: x\r\n", "encoded"), equalTo("encoded"));
    }

    @Test
    void parametersAndCaseOfContentTypeDoNotMatter() {
        assertTruncated("Content-Type: Text/Event-Stream; charset=utf-8\r\n", "data: a", "inside an event");
    }
}
