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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Answers without a length, which end with their connection. */
class HttpClientsTests {

    private static final long WAIT_SECONDS = 20;

    private final Closer closer = new Closer();
    private final HttpClient http = HttpClients.start("test", closer);

    @AfterEach
    void stop() {
        closer.close();
    }

    /** Answers one request without a length, waits until the client has the head, and ends the connection. */
    private ContentResponse answer(boolean reset) throws Exception {
        CompletableFuture<Void> headRead = new CompletableFuture<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread server = Thread.ofVirtual().start(() -> serve(listener, reset, headRead));
            try {
                return http.newRequest("127.0.0.1", listener.getLocalPort())
                        .onResponseContent((response, content) -> headRead.complete(null))
                        .timeout(WAIT_SECONDS, TimeUnit.SECONDS)
                        .send();
            } finally {
                server.join();
            }
        }
    }

    private static void serve(ServerSocket listener, boolean reset, CompletableFuture<Void> headRead) {
        try (Socket socket = listener.accept()) {
            byte[] request = new byte[4_096];
            if (socket.getInputStream().read(request) < 0) {
                return;
            }
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            headRead.join();
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            headRead.completeExceptionally(e);
        }
    }

    @Test
    void endOfTheConnectionCompletesTheAnswer() throws Exception {
        assertThat(answer(false).getContentAsString(), equalTo("half"));
    }

    @Test
    void resetOfTheConnectionFailsTheAnswer() {
        assertThrows(ExecutionException.class, () -> answer(true));
    }
}
