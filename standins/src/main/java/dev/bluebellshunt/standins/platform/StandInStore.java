package dev.bluebellshunt.standins.platform;

import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.standins.HttpExchange;
import dev.bluebellshunt.standins.StandInServer;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * In-memory stand-in for the platform's key-value store, with the HTTP API that
 * {@code docs/PLATFORM-PROTOCOL.md} specifies. Can simulate outages and lost responses.
 */
public final class StandInStore implements AutoCloseable {

    private static final int MAX_VALUE_BYTES = 1024 * 1024;

    private final SortedMap<String, StoreEntry> entries = new TreeMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition entriesChanged = lock.newCondition();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final StandInServer server;
    private long revision;
    private volatile boolean down;
    private volatile boolean dropResponses;

    /**
     * Starts an empty store.
     *
     * @param host the IP address to listen on
     * @param port the TCP port to listen on, or 0 for any free port
     */
    public StandInStore(String host, int port) {
        this.server = new StandInServer(host, port, new StoreHandler());
    }

    /**
     * Returns the port on which the store listens.
     *
     * @return the TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Starts or ends a simulated outage, during which requests fail with status 503.
     *
     * @param newDown whether the store is unavailable
     */
    public void setDown(boolean newDown) {
        down = newDown;
    }

    /**
     * Sets whether the connection is closed after each write is applied, instead of sending a response.
     *
     * @param newDropResponses whether responses to writes are dropped
     */
    public void setDropResponses(boolean newDropResponses) {
        dropResponses = newDropResponses;
    }

    /**
     * Returns the number of requests received so far. Requests during an outage are not counted.
     *
     * @return the number of reads, writes and watches
     */
    public CallCounts callCounts() {
        return new CallCounts(reads.get(), writes.get(), watches.get());
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * Number of requests by kind.
     *
     * @param reads the number of reads, including listings
     * @param writes the number of writes, including rejected ones
     * @param watches the number of watches
     */
    public record CallCounts(long reads, long writes, long watches) {}

    private @Nullable StoreEntry get(String key) {
        lock.lock();
        try {
            return entries.get(key);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the new revision, or {@code -currentRevision - 1} if the expected revision does not match. */
    private long putIfRevisionMatches(String key, Write write) {
        lock.lock();
        try {
            StoreEntry current = entries.get(key);
            long currentRevision = current == null ? 0 : current.revision();
            if (currentRevision != write.expect()) {
                return -currentRevision - 1;
            }
            revision++;
            entries.put(key, new StoreEntry(key, write.value(), revision));
            entriesChanged.signalAll();
            return revision;
        } finally {
            lock.unlock();
        }
    }

    /** Waits for an entry with a revision after the given one, and returns null on timeout. */
    private @Nullable StoreEntry awaitNewerThan(String key, long afterRevision, long waitMillis)
            throws InterruptedException {
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
        lock.lock();
        try {
            while (true) {
                StoreEntry entry = entries.get(key);
                if (entry != null && entry.revision() > afterRevision) {
                    return entry;
                }
                if (remainingNanos <= 0) {
                    return null;
                }
                remainingNanos = entriesChanged.awaitNanos(remainingNanos);
            }
        } finally {
            lock.unlock();
        }
    }

    private List<StoreEntry> list(String prefix) {
        lock.lock();
        try {
            return entries.tailMap(prefix).values().stream()
                    .takeWhile(entry -> entry.key().startsWith(prefix))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    private final class StoreHandler extends Handler.Abstract {
        private static final String KEY_PATH_PREFIX = "/v1/kv/";
        private static final String WATCH_PATH_PREFIX = "/v1/watch/";

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            HttpExchange exchange = new HttpExchange(request, response, callback);
            String path = request.getHttpURI().getPath();
            if (path.startsWith("/control/")) {
                handleControl(exchange, path);
            } else if (down) {
                exchange.sendResponse(HttpStatus.SERVICE_UNAVAILABLE_503);
            } else if (path.startsWith(KEY_PATH_PREFIX) && exchange.hasMethod("PUT")) {
                handleWrite(exchange, decode(path.substring(KEY_PATH_PREFIX.length())));
            } else if (path.startsWith(KEY_PATH_PREFIX)) {
                reads.incrementAndGet();
                sendEntry(exchange, get(decode(path.substring(KEY_PATH_PREFIX.length()))), HttpStatus.NOT_FOUND_404);
            } else if (path.startsWith(WATCH_PATH_PREFIX)) {
                watches.incrementAndGet();
                String key = decode(path.substring(WATCH_PATH_PREFIX.length()));
                StoreEntry entry = awaitNewerThan(
                        key, exchange.longQueryParameter("after", 0), exchange.longQueryParameter("wait", 1_000));
                sendEntry(exchange, entry, HttpStatus.NO_CONTENT_204);
            } else if (path.equals("/v1/kv")) {
                reads.incrementAndGet();
                exchange.sendResponse(
                        HttpStatus.OK_200, new Listing(list(String.valueOf(exchange.queryParameter("prefix")))));
            } else {
                exchange.sendResponse(HttpStatus.NOT_FOUND_404);
            }
            return true;
        }

        private void handleControl(HttpExchange exchange, String path) {
            switch (path) {
                case "/control/down" -> down = exchange.longQueryParameter("down", 1) == 1;
                case "/control/lose-answers" -> dropResponses = exchange.longQueryParameter("lose", 1) == 1;
                default -> {}
            }
            exchange.sendResponse(HttpStatus.OK_200, callCounts());
        }

        private void handleWrite(HttpExchange exchange, String key) throws Exception {
            writes.incrementAndGet();
            Write write = exchange.readBody(Write.class);
            if (write.value().length() > MAX_VALUE_BYTES) {
                exchange.sendResponse(HttpStatus.PAYLOAD_TOO_LARGE_413);
                return;
            }
            long result = putIfRevisionMatches(key, write);
            if (dropResponses) {
                exchange.request()
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint()
                        .close();
                return;
            }
            if (result < 0) {
                exchange.sendResponse(HttpStatus.CONFLICT_409, new Revision(-result - 1));
            } else {
                exchange.sendResponse(HttpStatus.OK_200, new Revision(result));
            }
        }

        private static void sendEntry(HttpExchange exchange, @Nullable StoreEntry entry, int missingStatus) {
            if (entry == null) {
                exchange.sendResponse(missingStatus);
            } else {
                exchange.sendResponse(HttpStatus.OK_200, entry);
            }
        }

        private static String decode(String text) {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        }
    }

    private record Write(String value, long expect) {}

    private record Revision(long revision) {}

    private record Listing(List<StoreEntry> entries) {}
}
