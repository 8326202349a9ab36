package dev.bluebellshunt.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.bluebellshunt.core.close.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests responses without a content length, which the end of the connection delimits. */
class HttpClientsTests {

    private static final long WAIT_SECONDS = 20;

    private final Closer closer = new Closer();
    private final HttpClient http = HttpClients.start("test", closer);

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Receives a response without a content length, whose connection is closed or reset after the first content. */
    private ContentResponse exchange(boolean reset) throws Exception {
        CompletableFuture<Void> contentReceived = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = Thread.ofVirtual().start(() -> serve(listener, "half", reset, contentReceived));
            try {
                return http.newRequest("127.0.0.1", listener.getLocalPort())
                        .onResponseContent((response, content) -> contentReceived.complete(null))
                        .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                        .send();
            } finally {
                server.join();
            }
        }
    }

    private static void serve(ServerSocket listener, String content, boolean reset, CompletableFuture<Void> received) {
        try (Socket socket = listener.accept()) {
            byte[] request = new byte[4_096];
            if (socket.getInputStream().read(request) < 0) {
                return;
            }
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + content)
                            .getBytes(StandardCharsets.US_ASCII));
            received.join();
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            received.completeExceptionally(e);
        }
    }

    @Test
    void endOfStreamCompletesResponse() throws Exception {
        assertThat(exchange(false).getContentAsString(), equalTo("half"));
    }

    @Test
    void connectionResetFailsResponse() {
        assertThrows(ExecutionException.class, () -> exchange(true));
    }

    /** Guards against a reset that is lost because it arrives before the content is read. */
    @Test
    void connectionResetFailsResponseThatIsReadLater() throws Exception {
        for (String content : List.of("", "half", "x".repeat(100_000))) {
            InputStreamResponseListener response = new InputStreamResponseListener();
            CompletableFuture<Void> headReceived = new CompletableFuture<>();
            try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Thread server = Thread.ofVirtual().start(() -> serve(listener, content, true, headReceived));
                http.newRequest("127.0.0.1", listener.getLocalPort())
                        .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                        .send(response);
                response.get(WAIT_SECONDS, TimeUnit.SECONDS);
                headReceived.complete(null);
                server.join();
                assertThrows(
                        IOException.class,
                        () -> response.getInputStream().readAllBytes(),
                        "length " + content.length());
            }
        }
    }
}
