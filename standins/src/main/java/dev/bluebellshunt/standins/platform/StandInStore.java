package dev.bluebellshunt.standins.platform;

import dev.bluebellshunt.core.store.StoreEntry;
import dev.bluebellshunt.standins.Exchange;
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

/** A stand-in for the platform's key-value service; {@code docs/PLATFORM-PROTOCOL.md} describes its calls. */
public final class StandInStore implements AutoCloseable {

    private static final int MAX_VALUE_BYTES = 1024 * 1024;

    private final SortedMap<String, StoreEntry> entries = new TreeMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final StandInServer server;
    private long revision;
    private volatile boolean down;
    private volatile boolean losesAnswers;

    /**
     * Starts a service.
     *
     * @param host the IP number on which it listens
     * @param port the port, zero for any free one
     */
    public StandInStore(String host, int port) {
        this.server = new StandInServer(host, port, new StoreHandler());
    }

    /**
     * The port on which the service listens.
     *
     * @return a TCP port
     */
    public int port() {
        return server.port();
    }

    /**
     * Begins or ends an outage.
     *
     * @param now whether the service is down
     */
    public void down(boolean now) {
        down = now;
    }

    /**
     * Loses the answers of writes that have taken effect, or stops to.
     *
     * @param now whether answers are lost
     */
    public void losesAnswers(boolean now) {
        losesAnswers = now;
    }

    /**
     * The calls so far.
     *
     * @return reads, writes and watches
     */
    public Calls calls() {
        return new Calls(reads.get(), writes.get(), watches.get());
    }

    @Override
    public void close() {
        server.close();
    }

    /**
     * Calls to the service.
     *
     * @param reads reads
     * @param writes writes, refused ones too
     * @param watches watches
     */
    public record Calls(long reads, long writes, long watches) {}

    private @Nullable StoreEntry get(String key) {
        lock.lock();
        try {
            return entries.get(key);
        } finally {
            lock.unlock();
        }
    }

    private long put(String key, Write write) {
        lock.lock();
        try {
            StoreEntry present = entries.get(key);
            long presentRevision = present == null ? 0 : present.revision();
            if (presentRevision != write.expect()) {
                return -presentRevision - 1;
            }
            revision++;
            entries.put(key, new StoreEntry(key, write.value(), revision));
            changed.signalAll();
            return revision;
        } finally {
            lock.unlock();
        }
    }

    private @Nullable StoreEntry await(String key, long after, long waitMillis) throws InterruptedException {
        long nanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
        lock.lock();
        try {
            while (true) {
                StoreEntry entry = entries.get(key);
                if (entry != null && entry.revision() > after) {
                    return entry;
                }
                if (nanos <= 0) {
                    return null;
                }
                nanos = changed.awaitNanos(nanos);
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
        private static final String KEYS = "/v1/kv/";
        private static final String WATCHES = "/v1/watch/";

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Exchange exchange = new Exchange(request, response, callback);
            String path = request.getHttpURI().getPath();
            if (path.startsWith("/control/")) {
                control(exchange, path);
            } else if (down) {
                exchange.send(HttpStatus.SERVICE_UNAVAILABLE_503);
            } else if (path.startsWith(KEYS) && exchange.is("PUT")) {
                write(exchange, decode(path.substring(KEYS.length())));
            } else if (path.startsWith(KEYS)) {
                reads.incrementAndGet();
                sendEntry(exchange, get(decode(path.substring(KEYS.length()))), HttpStatus.NOT_FOUND_404);
            } else if (path.startsWith(WATCHES)) {
                watches.incrementAndGet();
                String key = decode(path.substring(WATCHES.length()));
                StoreEntry entry = await(key, exchange.number("after", 0), exchange.number("wait", 1_000));
                sendEntry(exchange, entry, HttpStatus.NO_CONTENT_204);
            } else if (path.equals("/v1/kv")) {
                reads.incrementAndGet();
                exchange.send(HttpStatus.OK_200, new Listing(list(String.valueOf(exchange.parameter("prefix")))));
            } else {
                exchange.send(HttpStatus.NOT_FOUND_404);
            }
            return true;
        }

        private void control(Exchange exchange, String path) {
            switch (path) {
                case "/control/down" -> down = exchange.number("down", 1) == 1;
                case "/control/lose-answers" -> losesAnswers = exchange.number("lose", 1) == 1;
                default -> {}
            }
            exchange.send(HttpStatus.OK_200, calls());
        }

        private void write(Exchange exchange, String key) throws Exception {
            writes.incrementAndGet();
            Write write = exchange.body(Write.class);
            if (write.value().length() > MAX_VALUE_BYTES) {
                exchange.send(HttpStatus.PAYLOAD_TOO_LARGE_413);
                return;
            }
            long result = put(key, write);
            if (losesAnswers) {
                exchange.request()
                        .getConnectionMetaData()
                        .getConnection()
                        .getEndPoint()
                        .close();
                return;
            }
            if (result < 0) {
                exchange.send(HttpStatus.CONFLICT_409, new Revision(-result - 1));
            } else {
                exchange.send(HttpStatus.OK_200, new Revision(result));
            }
        }

        private static void sendEntry(Exchange exchange, @Nullable StoreEntry entry, int statusOfNone) {
            if (entry == null) {
                exchange.send(statusOfNone);
            } else {
                exchange.send(HttpStatus.OK_200, entry);
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
