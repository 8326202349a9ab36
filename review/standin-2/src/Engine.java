import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An application server that registers itself in the store and answers requests. */
final class Engine implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 1_200;

    /** Answers a request, of which only the head has been read; returns false to end the connection. */
    interface Work {
        boolean run(Http.Message head, InputStream in, OutputStream out) throws Exception;
    }

    final String id;
    private final String service;
    private final Store store;
    private final Run run;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private volatile Work work = (request, in, out) -> {
        Http.withBody(request, in);
        out.write(answer(request, "{\"done\":true}"));
        return true;
    };
    private volatile long nextBeatNanos = System.nanoTime();
    private volatile boolean leaving;
    private boolean registered = true;
    private long sequence;

    Engine(String id, String service, Store store, Run run) throws IOException {
        this(id, service, store, run, 0);
    }

    /** A receive buffer of 0 bytes stands for the default of the kernel. */
    Engine(String id, String service, Store store, Run run, int receiveBufferBytes) throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.run = run;
        this.server = new Http.Server(0, receiveBufferBytes, this::serve);
        Thread.ofVirtual().start(() -> {
            while (true) {
                if (System.nanoTime() - nextBeatNanos >= 0) {
                    beatIn(HEARTBEAT_MILLIS);
                    beat();
                }
                try {
                    Thread.sleep(10);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    void work(Work newWork) {
        work = newWork;
    }

    /** Writes the entry after a time, and then again every heartbeat interval. */
    void beatIn(int millis) {
        nextBeatNanos = System.nanoTime() + millis * 1_000_000L;
    }

    private synchronized void beat() {
        if (registered && !store.isAway()) {
            sequence++;
            store.put(Names.TARGET_PREFIX + id, entry());
        }
    }

    private String entry() {
        return Json.write(Json.map(
                "service", service,
                "address", server.address(),
                "zone", "zone-a",
                "version", "v1",
                "slots", 48,
                "state", "ready",
                "cold-left-ms", 0,
                "phase", "unified",
                "models", List.of(),
                "sequence", sequence,
                "born", born));
    }

    /** Leaves without reporting it: the entry is removed, and the engine goes on serving. */
    synchronized void removeEntry() {
        leaving = true;
        registered = false;
        store.delete(Names.TARGET_PREFIX + id);
    }

    private boolean serve(Http.Message request, InputStream in, Socket connection, OutputStream out)
            throws Exception {
        String requestId = request.header("x-request-id");
        if (requestId == null) {
            Http.withBody(request, in);
            out.write(Http.response(404, Map.of("X-Instance-Id", id), new byte[0]));
            return true;
        }
        String expected = request.header(Names.INSTANCE_HEADER);
        if (expected != null && !expected.equals(id)) {
            Http.withBody(request, in);
            run.record("engine " + id + " answers 421 to " + requestId);
            out.write(Http.response(421, Map.of("X-Instance-Id", id, "X-Request-Id", requestId), new byte[0]));
            return true;
        }
        run.record("engine " + id + " runs " + requestId + " of tenant " + request.header("x-tenant"));
        return work.run(request, in, out);
    }

    /** Returns a signed answer. */
    byte[] answer(Http.Message request, String body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", request.header("x-request-id"));
        headers.put(Names.SEAL_HEADER, "seal-" + id);
        headers.put("Content-Type", "application/json");
        if (leaving) {
            headers.put("Server-Leaving", "1");
        }
        return Http.response(200, headers, Http.bytes(body));
    }

    /** Crashes: nothing is reported, and the entry stays. */
    @Override
    public synchronized void close() throws IOException {
        registered = false;
        server.close();
    }
}
