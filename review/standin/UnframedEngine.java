package review;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A process of one engine, whose streams have neither a length nor chunks and end with their connections. It is started
 * with its address and id, and writes its port to the standard output.
 */
final class UnframedEngine {

    static final int EVENTS = 30;
    private static final long GAP_MILLIS = 100;

    private UnframedEngine() {}

    public static void main(String[] args) throws Exception {
        String id = args[1];
        Net.Server server = new Net.Server(args[0], (connection, request) -> handle(connection, request, id));
        System.out.println(server.socket.getLocalPort());
        Thread.sleep(Long.MAX_VALUE);
    }

    private static void handle(Net.Connection connection, Net.Message request, String id) throws IOException {
        String expected = request.headers().get(Names.received(Names.INSTANCE_HEADER));
        if (expected != null && !expected.equals(id)) {
            connection.respond(421, Map.of("X-Instance-Id", id), new byte[0]);
            return;
        }
        if (!request.path().startsWith(Operator.LONG_STREAM)) {
            connection.respond(200, Map.of("X-Instance-Id", id), new byte[0]);
            return;
        }
        String requestId = request.headers().get("x-request-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", requestId);
        headers.put(Names.SEAL_HEADER, "seal." + requestId);
        headers.put("X-Instance-Id", id);
        headers.put(Names.WEIGHTS_HEADER, "1");
        headers.put("Content-Type", "text/event-stream");
        headers.put("Connection", "close");
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        connection.write(head.append("\r\n").toString());
        for (int i = 1; i <= EVENTS; i++) {
            connection.write(event(i, requestId));
            Clock.sleep(GAP_MILLIS);
        }
        connection.close();
        throw new IOException("the answer ends with its connection");
    }

    static String event(int number, String requestId) {
        return "id: " + number + "\ndata: token " + number + " of " + requestId + "\n\n";
    }
}
