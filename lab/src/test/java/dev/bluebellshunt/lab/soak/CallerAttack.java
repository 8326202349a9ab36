package dev.bluebellshunt.lab.soak;

import dev.bluebellshunt.platform.standin.Operator;
import dev.bluebellshunt.platform.standin.TargetProcess;
import dev.bluebellshunt.platform.standin.VmSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections of callers that keep a relay from its work. They stay open until {@link #close}, and responses are not read.
 * All of their connections are written in turn by one thread, a piece at a time as far as the relay takes it.
 */
final class CallerAttack implements AutoCloseable {

    private static final int UNREAD_RECEIVE_BUFFER_BYTES = 4 * 1024;

    private static final long TURN_MILLIS = 20;

    /** Longer than callers wait for a response in the requests of this class. */
    private static final int MAX_WAITING_TURNS = 120;

    private final InetSocketAddress relay;
    private final List<Sender> senders = new ArrayList<>();

    /** A connection and what is still to be sent on it. */
    private static final class Sender {
        private final SocketChannel channel;
        private final ByteBuffer unsent;
        private final int pieceBytes;
        private boolean closed;
        private boolean answered;

        Sender(SocketChannel channel, byte[] bytes, int pieceBytes) {
            this.channel = channel;
            this.unsent = ByteBuffer.wrap(bytes);
            this.pieceBytes = pieceBytes;
        }

        /** Writes a piece; returns whether the relay took any of it. */
        boolean write() {
            if (closed || !unsent.hasRemaining()) {
                return false;
            }
            int end = unsent.limit();
            unsent.limit(Math.min(end, unsent.position() + pieceBytes));
            try {
                return channel.write(unsent) > 0;
            } catch (IOException e) {
                closed = true;
                return false;
            } finally {
                unsent.limit(end);
            }
        }

        /** Reads the first byte of the response; returns true once, when there is one or the connection has ended. */
        boolean hasBegunResponse() {
            if (answered) {
                return false;
            }
            try {
                answered = channel.read(ByteBuffer.allocate(1)) != 0;
            } catch (IOException e) {
                answered = true;
            }
            return answered;
        }
    }

    /** A port and path of the relay. */
    enum Place {
        ROUTE("/many/ab"),
        NO_ROUTE("/none/ab"),
        READINESS(VmSettings.READINESS_PATH),
        PEERS("/peers/reports");

        private final String path;

        Place(String path) {
            this.path = path;
        }

        String head(String requestId, String path, String framing) {
            String head = Operator.requestHead(Operator.Route.REPEATABLE, requestId, "ada", 1_900, 0, 0);
            return head.replace(Operator.path(Operator.Route.REPEATABLE, requestId), path)
                    .replace("Content-Length: 0\r\n\r\n", framing);
        }

        String head(String requestId, String framing) {
            return head(requestId, path, framing);
        }
    }

    CallerAttack(InetSocketAddress relay) {
        this.relay = relay;
    }

    /** Opens a connection, unless the relay refuses it. */
    void add(String text, int pieceBytes) {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, UNREAD_RECEIVE_BUFFER_BYTES);
            channel.connect(relay);
            channel.configureBlocking(false);
            senders.add(new Sender(channel, text.getBytes(StandardCharsets.ISO_8859_1), pieceBytes));
        } catch (IOException e) {
            // A relay may refuse or reset connections.
        }
    }

    /** Adds bodies within the limit, which stop one byte short of their end. */
    void addStalledBodies(Place place, int count, int maxBytes) {
        for (int i = 0; i < count; i++) {
            // The smaller ones take what the larger ones leave of the memory for bodies.
            int length = maxBytes >> (i % 6);
            String id = "stalled-" + i;
            switch (i % 3) {
                case 0 ->
                    add(place.head(id, "Content-Length: " + length + "\r\n\r\n") + "b".repeat(length - 1), length);
                case 1 -> add(place.head(id, "Content-Length: " + length + "\r\n\r\n") + "b".repeat(length - 1), 2_000);
                default -> {
                    String chunk = "400\r\n" + "c".repeat(1_024) + "\r\n";
                    add(place.head(id, "Transfer-Encoding: chunked\r\n\r\n") + chunk.repeat(length / 1_024), 2_000);
                }
            }
        }
    }

    /** Adds bodies that are much longer than the limit, announced and in chunks. */
    void addOversizedBodies(Place place, int count, int bytes) {
        for (int i = 0; i < count; i++) {
            String id = "oversized-" + i;
            String chunk = "4000\r\n" + "c".repeat(16 * 1_024) + "\r\n";
            add(
                    i % 2 == 0
                            ? place.head(id, "Content-Length: " + bytes + "\r\n\r\n") + "b".repeat(bytes / 2)
                            : place.head(id, "Transfer-Encoding: chunked\r\n\r\n")
                                    + chunk.repeat(bytes / 2 / (16 * 1_024)),
                    64 * 1_024);
        }
    }

    /** Adds heads within the limit of very many fields; half of them stop before their end, the others within the body. */
    void addShortFields(Place place, int count, int headBytes) {
        for (int i = 0; i < count; i++) {
            String head = place.head("fields-" + i, "Content-Length: 9\r\n");
            String fields = "a:b\r\n".repeat((headBytes - head.length() - 2) / 5);
            add(head + fields + (i % 2 == 0 ? "" : "\r\n12345678"), headBytes);
        }
    }

    /** Adds requests that follow each other without a pause. */
    void addPipelined(Place place, int count, int requests) {
        for (int i = 0; i < count; i++) {
            String request = place.head("pipelined-" + i, "Content-Length: 2\r\n\r\n") + "ok";
            add(request.repeat(requests), 64 * 1_024);
        }
    }

    /** Adds connections that send nothing, or a few bytes of a head. */
    void addSilent(Place place, int count) {
        for (int i = 0; i < count; i++) {
            add(place.head("slow-" + i, "Content-Length: 9\r\n\r\n1").substring(0, (i % 8) * 16), 1);
        }
    }

    /** Sends requests for long responses, and waits for the begin of each response, of which nothing more is read. */
    void sendUnread(Place place, int count) throws InterruptedException {
        int first = senders.size();
        for (int i = 0; i < count; i++) {
            String path = place == Place.ROUTE ? "/many/" + TargetProcess.LARGE_PATH : place.path;
            add(place.head("unread-" + senders.size(), path, "Content-Length: 2\r\n\r\n") + "ok", 64 * 1_024);
        }
        send(1);
        int waiting = senders.size() - first;
        for (int turn = 0; waiting > 0 && turn < MAX_WAITING_TURNS; turn++) {
            Thread.sleep(TURN_MILLIS);
            for (Sender sender : senders.subList(first, senders.size())) {
                waiting -= sender.hasBegunResponse() ? 1 : 0;
            }
        }
    }

    /** Sends all that the relay takes. It is done when the relay has taken nothing for a number of turns. */
    void send(int quietTurns) throws InterruptedException {
        for (int quiet = 0; quiet < quietTurns; ) {
            boolean progress = false;
            for (Sender sender : senders) {
                progress |= sender.write();
            }
            if (progress) {
                quiet = 0;
            } else {
                quiet++;
                Thread.sleep(TURN_MILLIS);
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Sender sender : senders) {
            sender.channel.close();
        }
    }
}
