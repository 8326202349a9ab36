package dev.bluebellshunt.relay.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import dev.bluebellshunt.relay.model.TargetEntry;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that goes to one address twice, where a target has started again under another id. */
class RestartedTargetSendTests extends AbstractRelayHandlerTests {

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nt-seal: 1\r\nt-id: id-1\r\ncontent-length: 4\r\n\r\ndone";

    private final Queue<Socket> sends = new ConcurrentLinkedQueue<>();
    private final AtomicInteger runs = new AtomicInteger();

    /** Handles a send in place of the target. Sends are numbered from 1. */
    private interface SendHandler {
        void handle(int send, Socket connection) throws IOException;
    }

    private static void write(Socket connection, String text) throws IOException {
        OutputStream out = connection.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Starts one listener, at which two targets are registered. */
    private void startTargets(SendHandler sendHandler) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        closer.add(listener);
        Thread.ofVirtual().start(() -> {
            try {
                while (true) {
                    Socket connection = closer.add(listener.accept());
                    Thread.ofVirtual().start(() -> serve(connection, sendHandler));
                }
            } catch (IOException closed) {
                // The test has ended.
            }
        });
        List<TargetEntry> entries = new ArrayList<>();
        for (String id : List.of("t0", "t1")) {
            entries.add(
                    new TargetEntry(id, 1, "apps", "127.0.0.1", listener.getLocalPort(), "fd-1", 6, false, Map.of()));
        }
        directory.update(entries, clock.nanos(), false);
        configure();
    }

    private void serve(Socket connection, SendHandler sendHandler) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (readHead(in)) {
                int send;
                synchronized (sends) {
                    sends.add(connection);
                    send = sends.size();
                }
                sendHandler.handle(send, connection);
            }
        } catch (IOException reset) {
            // The relay has closed the connection.
        }
    }

    private static boolean readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    /** Writes to the connection of the first send. */
    private void writeToFirst(String text) {
        try {
            write(sends.element(), text);
        } catch (IOException closed) {
            // The relay has closed it.
        }
    }

    /**
     * Guards against a request that runs twice, or is rejected as not run after it has run, because a copy of the rejection by
     * one target is taken for the answer of another one at the same address.
     */
    @ParameterizedTest
    @ValueSource(strings = {"t-not-run", "t-other-target", "t-other-weights"})
    void targetsAtOneAddressShareNoConnectionForOneRequest(String header) throws Exception {
        String rejection = "HTTP/1.1 503 Rejected\r\nt-id: id-1\r\n" + header + ": 1\r\ncontent-length: 0\r\n\r\n";
        startTargets((send, connection) -> {
            if (send == 1) {
                write(connection, rejection);
                return;
            }
            runs.incrementAndGet();
            writeToFirst(rejection);
            write(connection, ANSWER);
        });
        assertThat(get("/once/order").getStatus(), equalTo(200));
        assertThat("runs", runs.get(), equalTo(1));
        assertThat("connections", sends.stream().distinct().toList(), hasSize(2));
    }

    /** Guards against a promise when the relay fails on the answer of a target that may have run the request. */
    @Test
    void failureAfterSendIsNoPromise() throws Exception {
        startTargets((send, connection) -> {
            runs.incrementAndGet();
            write(connection, ANSWER.replace("t-id", "t-weights: no number\r\nt-id"));
        });
        assertThat(get("/once/order").getStatus(), equalTo(500));
        assertThat("runs", runs.get(), equalTo(1));
    }
}
