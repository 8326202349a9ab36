package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that send more on their connection before they have received the response. */
class PipelinedRequestTests extends AbstractRelayHandlerTests {

    private static final String REQUEST = """
            GET %s HTTP/1.1\r
            host: h.example\r
            t-id: id-1\r
            authorization: secret\r
            \r
            """;

    private final CountDownLatch requestArrived = new CountDownLatch(1);
    private final CountDownLatch mayRespond = new CountDownLatch(1);

    private static void write(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Responds once the caller has sent more, in one part or with an event before. */
    private ScriptedResponse whenAllowed(boolean eventFirst) {
        return (request, response, callback) -> {
            response.getHeaders().put("t-id", "id-1").put("t-seal", "1");
            if (eventFirst) {
                response.getHeaders().put("content-type", "text/event-stream");
                Callback.Completable written = new Callback.Completable();
                response.write(false, StandardCharsets.UTF_8.encode("data: 1\n\n"), written);
                written.get(WAIT_SECONDS, TimeUnit.SECONDS);
            }
            requestArrived.countDown();
            mayRespond.await(WAIT_SECONDS, TimeUnit.SECONDS);
            ByteBuffer rest = StandardCharsets.UTF_8.encode(eventFirst ? "data: 2\n\n" : "whole");
            response.write(true, rest, callback);
        };
    }

    /** Reads up to a text, or to the end of the connection. */
    private static String readUntil(Socket socket, String end) throws Exception {
        StringBuilder received = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0) {
            received.append((char) next);
            if (received.indexOf(end) >= 0) {
                break;
            }
            next = socket.getInputStream().read();
        }
        return received.toString();
    }

    /** Guards against a response that is cut off because its caller has sent an empty line or the next request too early. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "GET /once/second HTTP/1.1\r\nhost: h.example\r\nt-id: id-2\r\n\r\n"})
    void dataSentBeforeResponseDoesNotCutItOff(String early) throws Exception {
        configure();
        scriptedResponses.add(whenAllowed(false));
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            write(caller, REQUEST.formatted("/once/first"));
            requestArrived.await(WAIT_SECONDS, TimeUnit.SECONDS);
            write(caller, early);
            mayRespond.countDown();
            assertThat(readUntil(caller, "whole"), allOf(startsWith("HTTP/1.1 200"), endsWith("whole")));
        }
    }

    /**
     * Guards against a next request that is lost with its connection: its caller has received the whole response by its
     * length, while the relay is still watching the connection and reads the request.
     */
    @Test
    void streamedResponseEndsOnlyWhenRelayHasCompletedIt() throws Exception {
        configure();
        scriptedResponses.add(ok("whole"));
        ContentResponse streamed = get("/stream/");
        assertThat(streamed.getHeaders().contains("content-length"), equalTo(false));
        assertThat(streamed.getHeaders().get("transfer-encoding"), equalTo("chunked"));
        assertThat(streamed.getContentAsString(), equalTo("whole"));
        scriptedResponses.add(ok("x".repeat(300_000)));
        assertThat(get("/once/").getHeaders().contains("content-length"), equalTo(false));
    }

    /** Guards against the same in the middle of a stream. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "GET /stream/second HTTP/1.1\r\nhost: h.example\r\nt-id: id-2\r\n\r\n"})
    void dataSentDuringStreamDoesNotCutItOff(String early) throws Exception {
        configure();
        scriptedResponses.add(whenAllowed(true));
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            write(caller, REQUEST.formatted("/stream/first"));
            requestArrived.await(WAIT_SECONDS, TimeUnit.SECONDS);
            write(caller, early);
            mayRespond.countDown();
            assertThat(
                    readUntil(caller, "0\r\n\r\n"),
                    allOf(startsWith("HTTP/1.1 200"), containsString("data: 2"), endsWith("0\r\n\r\n")));
        }
    }
}
