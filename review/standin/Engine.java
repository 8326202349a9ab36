package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine or an application: registers itself, reports its state, takes orders, and runs requests. */
final class Engine {

    static final String MODEL = "m0";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** A request that the engine has begun to run. */
    record Run(long millis, String id, String path, String engine, String key, String tenant, int bodyBytes) {}

    /** An order that the engine has accepted. */
    record Order(long millis, String holder, long fence, long version) {}

    final String id;
    final String service;
    final String zone;
    final Net.Server server;
    final long bornMillis = System.currentTimeMillis();
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    final Queue<Order> orders = new ConcurrentLinkedQueue<>();
    final AtomicInteger running = new AtomicInteger();
    private final Store store;
    private final Net.Handler behaviour;
    private final boolean hasModel;
    private int beats;
    volatile String state = "ready";
    volatile boolean beating = true;
    volatile long version = 1;
    volatile long acceptedOrders;
    volatile long highestFence;

    Engine(Store store, String host, String id, String service, String zone, boolean hasModel, Net.Handler behaviour)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.hasModel = hasModel;
        this.behaviour = behaviour;
        this.server = new Net.Server(host, this::handle);
        beat();
        Thread.ofPlatform().daemon().start(() -> {
            while (true) {
                Clock.sleep(1_200);
                if (beating) {
                    beat();
                }
            }
        });
    }

    private String models() {
        return hasModel ? "[{\"name\":\"" + MODEL + "\",\"version\":" + version + ",\"adapters\":[]}]" : "[]";
    }

    /** Writes the entry of the engine into the store. */
    synchronized void beat() {
        beats++;
        store.put(
                Names.TARGET_PREFIX + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":48,\"state\":\"" + state
                        + "\",\"cold-left-ms\":0,\"phase\":\"unified\",\"models\":" + models() + ",\"sequence\":"
                        + beats + ",\"born\":" + bornMillis + "}");
    }

    private void handle(Net.Connection connection, Net.Message request) throws Exception {
        String expected = request.headers().get(Names.received(Names.INSTANCE_HEADER));
        if (expected != null && !expected.equals(id)) {
            connection.respond(421, Map.of("X-Instance-Id", id), new byte[0]);
            return;
        }
        if (request.path().equals(Names.STATE_CALL)) {
            connection.respondJson(
                    200,
                    "{\"phase\":\"unified\",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + acceptedOrders
                            + ",\"queued\":0,\"running\":" + running.get()
                            + ",\"kv-used\":0,\"kv-total\":228731,\"handles\":0,\"born\":" + bornMillis + "}");
        } else if (request.path().equals(Names.ORDER_CALL)) {
            takeOrder(connection, JSON.readTree(request.body()));
        } else if (request.path().equals("/health")) {
            connection.respond(200, Map.of("X-Instance-Id", id), new byte[0]);
        } else {
            behaviour.handle(connection, request);
        }
    }

    private void takeOrder(Net.Connection connection, JsonNode order) throws IOException {
        long fence = order.path(Names.FENCE_FIELD).asLong();
        int status;
        synchronized (this) {
            if (fence < highestFence) {
                status = 412;
            } else if (order.has("precondition") && order.path("precondition").asLong() != acceptedOrders) {
                highestFence = fence;
                status = 409;
            } else {
                highestFence = fence;
                acceptedOrders++;
                version = order.path("version").asLong();
                orders.add(new Order(Clock.millis(), order.path("holder").asText(), fence, version));
                status = 202;
            }
        }
        connection.respond(status, Map.of(), new byte[0]);
        beat();
    }

    /** Records that a request begins to run. */
    void recordRun(Net.Message request) {
        runs.add(new Run(
                Clock.millis(),
                request.headers().get("x-request-id"),
                request.path(),
                id,
                request.headers().get("authorization"),
                request.headers().get("x-tenant"),
                request.body().length));
    }

    /** Returns the headers that every answer of this engine has. */
    Map<String, String> answerHeaders(Net.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", request.headers().get("x-request-id"));
        headers.put(Names.SEAL_HEADER, "seal." + request.headers().get("x-request-id"));
        headers.put("X-Instance-Id", id);
        if (hasModel) {
            headers.put(Names.WEIGHTS_HEADER, Long.toString(version));
        }
        return headers;
    }

    /** Answers with a stream of events, of which the first comes after a delay. */
    void stream(Net.Connection connection, Net.Message request, long firstMillis, int events, long gapMillis)
            throws IOException {
        recordRun(request);
        running.incrementAndGet();
        try {
            Clock.sleep(firstMillis);
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            answerHeaders(request)
                    .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.write(head.toString());
            for (int i = 0; i < events; i++) {
                String event = "id: " + i + "\ndata: token of " + request.headers().get("x-request-id") + "\n\n";
                byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
                connection.write(Integer.toHexString(bytes.length) + "\r\n" + event + "\r\n");
                Clock.sleep(gapMillis);
            }
            connection.write("0\r\n\r\n");
        } finally {
            running.decrementAndGet();
        }
    }

    /** Answers with a short document after a delay. */
    void answer(Net.Connection connection, Net.Message request, long millis) throws IOException {
        recordRun(request);
        running.incrementAndGet();
        try {
            Clock.sleep(millis);
            connection.respond(
                    200,
                    answerHeaders(request),
                    ("the answer to " + request.headers().get("x-request-id")).getBytes(StandardCharsets.UTF_8));
        } finally {
            running.decrementAndGet();
        }
    }
}
