package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import dev.bluebellshunt.relay.model.CallerLimits;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.InputStreamRequestContent;
import org.eclipse.jetty.client.Request;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses that no caller may get as they are, from targets on raw sockets. */
class InvalidResponseTests extends AbstractRelayHandlerTests {

    /** Which of two threads of the client sees the reset first decides, so each case is repeated. */
    private static final int REPETITIONS = 20;

    private static final String HEAD = "t-seal: 1\r\nt-id: id-1\r\ncontent-type: text/plain\r\n";

    private volatile String responseText = "";
    private volatile int bytesBeforeResponse;

    @BeforeEach
    void replaceTargets() throws IOException {
        ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        closer.add(listener);
        Thread.ofVirtual().start(() -> {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    respondAndReset(socket);
                } catch (IOException e) {
                    // The listener is closed, or the relay has closed the connection.
                }
            }
        });
        targetPorts.clear();
        targetPorts.add(listener.getLocalPort());
        registerTargets(2);
    }

    private void respondAndReset(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        input.readNBytes(bytesBeforeResponse);
        socket.getOutputStream().write(responseText.getBytes(StandardCharsets.US_ASCII));
        // Gives the response the time to be read before the reset, which would discard it.
        input.readNBytes(64 * 1024);
        socket.setSoLinger(true, 0);
    }

    private Request upload(String path, boolean chunked) {
        byte[] body = new byte[CallerLimits.DEFAULT.maxBodyBytes()];
        return request(path)
                .method("POST")
                .body(
                        chunked
                                ? new InputStreamRequestContent("text/plain", new ByteArrayInputStream(body), null)
                                : new BytesRequestContent("text/plain", body))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Guards against a response without a length that a reset cut off while the request was still being written, and that
     * reaches its caller as complete: the write takes the reset, and the read meets an end in order.
     */
    @ParameterizedTest
    @CsvSource({
        "/stream/, false",
        "/stream/, true",
        "/once/, false",
        "/once/, true",
        "/safe/, false",
        "/resumable/, true"
    })
    void responseCutOffDuringUploadIsNotComplete(String path, boolean chunked) throws Exception {
        configure();
        bytesBeforeResponse = 1_000;
        responseText = "HTTP/1.1 200 OK\r\n" + HEAD + "\r\nhalf a not";
        for (int i = 0; i < REPETITIONS; i++) {
            registerTargets(3 + i);
            try {
                ContentResponse response = upload(path + i, chunked).send();
                assertThat("repetition " + i, response.getStatus(), not(equalTo(200)));
            } catch (ExecutionException truncated) {
                // The caller has seen that the response is incomplete.
            }
        }
    }

    /** Guards against a status that is none, and reaches the caller, or is taken to mean that the request has not run. */
    @ParameterizedTest
    @CsvSource({
        "000, /once/",
        "099, /once/",
        "1000, /once/",
        "abc, /once/",
        "000, /stream/",
        "1000, /stream/",
        "2x0, /once/"
    })
    void invalidStatusIsFailureOfTarget(String status, String path) throws Exception {
        configure();
        bytesBeforeResponse = 10;
        responseText = "HTTP/1.1 " + status + " Odd\r\n" + HEAD + "t-not-run: 1\r\ncontent-length: 2\r\n\r\nok";
        ContentResponse response = request(path)
                .method("POST")
                .body(new BytesRequestContent("text/plain", new byte[70_000]))
                .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                .send();
        assertThat(response.getContentAsString(), response.getStatus(), equalTo(502));
        assertThat(response.getContentAsString(), containsString("\"unknown\""));
        assertThat(metricsText(), not(hasItem(containsString("attempts_total{result=\"ok\"}"))));
    }

    private List<String> metricsText() {
        return new String(metrics.text(), StandardCharsets.UTF_8).lines().toList();
    }
}
