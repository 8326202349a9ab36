package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.close.Closer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** A target on raw sockets, which records every byte that it receives. */
final class RecordingTarget {

    private static final String HEAD_END = "\r\n\r\n";
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final Behavior behavior;
    private final Map<Integer, Connection> connectionsByPort = new ConcurrentHashMap<>();
    private final Queue<Connection> connections = new ConcurrentLinkedQueue<>();
    private final Queue<String> completeRequests = new ConcurrentLinkedQueue<>();

    /** What the target does. Each method may block, and an exception closes the connection. */
    interface Behavior {

        /** Called before the first byte of a connection is read. */
        default void accepted(Connection connection) throws Exception {}

        /** Called once for the head of each request, before its body is read. */
        default void headReceived(Connection connection, String requestId) throws Exception {}

        /** Called for each complete request. */
        void requestReceived(Connection connection, String requestId) throws Exception;
    }

    /** A connection to the target. */
    static final class Connection {

        private final CompletableFuture<Socket> socket = new CompletableFuture<>();
        private final CompletableFuture<Boolean> ended = new CompletableFuture<>();
        private final ByteArrayOutputStream unread = new ByteArrayOutputStream();
        private volatile boolean partOfRequestLeft;

        void write(String text) throws IOException {
            OutputStream out = socket.join().getOutputStream();
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        Socket socket() {
            return socket.join();
        }

        /** Waits until the other side has ended the connection. */
        void awaitEnd() throws Exception {
            ended.get(AbstractRelayHandlerTests.WAIT_SECONDS, TimeUnit.SECONDS);
        }

        /** Ends the connection after the last byte: a client may leave one open that it opened during its stop. */
        private void readToEnd() {
            try {
                while (!ended.isDone()) {
                    if (socket().getInputStream().available() == 0) {
                        socket().shutdownInput();
                        return;
                    }
                    Thread.onSpinWait();
                }
            } catch (IOException closed) {
                // The connection has ended.
            }
        }

        /** Whether the connection has ended with part of a request. */
        boolean hasPartOfRequest() {
            return partOfRequestLeft;
        }
    }

    private RecordingTarget(ServerSocket listener, Behavior behavior) {
        this.listener = listener;
        this.behavior = behavior;
    }

    /** Starts a target on a free port. */
    static RecordingTarget start(Closer closer, Behavior behavior) throws IOException {
        RecordingTarget target =
                new RecordingTarget(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), behavior);
        closer.add(target.listener);
        target.startAccepting(closer);
        return target;
    }

    /** Serves a listener, whose kernel may have accepted connections before. */
    static RecordingTarget start(Closer closer, ServerSocket listener, Behavior behavior) {
        RecordingTarget target = new RecordingTarget(listener, behavior);
        target.startAccepting(closer);
        return target;
    }

    private void startAccepting(Closer closer) {
        Thread.ofVirtual().start(() -> {
            try {
                while (true) {
                    Socket socket = closer.add(listener.accept());
                    Connection connection = connection(socket.getPort());
                    connections.add(connection);
                    connection.socket.complete(socket);
                    Thread.ofVirtual().start(() -> serve(connection, socket));
                }
            } catch (IOException closed) {
                // The test has ended.
            }
        });
    }

    /** Returns the connection from a local port of the other side, which need not have been accepted yet. */
    Connection connection(int remotePort) {
        return connectionsByPort.computeIfAbsent(remotePort, p -> new Connection());
    }

    private void serve(Connection connection, Socket socket) {
        try (socket) {
            behavior.accepted(connection);
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            boolean headKnown = false;
            while (true) {
                int read = socket.getInputStream().read(buffer);
                if (read < 0) {
                    return;
                }
                connection.unread.write(buffer, 0, read);
                while (true) {
                    String received = connection.unread.toString(StandardCharsets.ISO_8859_1);
                    int headEnd = received.indexOf(HEAD_END);
                    if (headEnd < 0) {
                        break;
                    }
                    String head = received.substring(0, headEnd);
                    if (!headKnown) {
                        headKnown = true;
                        behavior.headReceived(connection, field(head, "t-id"));
                    }
                    int end = headEnd + HEAD_END.length() + bodyLength(head);
                    if (received.length() < end) {
                        break;
                    }
                    headKnown = false;
                    connection.unread.reset();
                    connection.unread.writeBytes(received.substring(end).getBytes(StandardCharsets.ISO_8859_1));
                    completeRequests.add(field(head, "t-id"));
                    behavior.requestReceived(connection, field(head, "t-id"));
                }
            }
        } catch (Exception reset) {
            // The relay has reset the connection, or the behavior closes it.
        } finally {
            connection.partOfRequestLeft = connection.unread.size() > 0;
            connection.ended.complete(true);
        }
    }

    private static int bodyLength(String head) {
        String length = field(head, "content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    private static String field(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the ids of the requests that have been received completely. */
    List<String> completeRequests() {
        return List.copyOf(completeRequests);
    }

    /** Returns how often a request has been received completely. */
    long runs(String requestId) {
        return completeRequests.stream().filter(requestId::equals).count();
    }

    /** Returns all connections so far, in the order of their acceptance. */
    List<Connection> connections() {
        return List.copyOf(connections);
    }

    /**
     * Makes the record final, when all clients have stopped: waits until every connection has been accepted, including those
     * that wait for it, and until all that was sent on them has been read.
     */
    void awaitAllEnds() throws Exception {
        // Connections are accepted in the order in which they were opened, so this one is the last.
        try (Socket last = new Socket(InetAddress.getLoopbackAddress(), port())) {
            connection(last.getLocalPort()).socket.get(AbstractRelayHandlerTests.WAIT_SECONDS, TimeUnit.SECONDS);
        }
        for (Connection connection : connections) {
            connection.readToEnd();
            connection.awaitEnd();
        }
    }
}
