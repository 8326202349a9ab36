package dev.bluebellshunt.transport;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

/**
 * The open connections of a port, whose number and memory are limited. Thread-safe.
 *
 * <p>Addresses the load of callers that open many connections, and send or read next to nothing on them. When a limit is
 * reached, connections are closed in the order of {@link DropOrder}, so that callers which make progress are still served.
 */
public final class CallerConnections {

    /** Closes a tenth more than needed, so that not every further byte looks for the next connection to close. */
    private static final int SLACK_FRACTION = 10;

    /** An upload that has made progress within this time is not dropped in favor of another one. */
    private static final long ACTIVE_UPLOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ConnectionLimits limits;
    private final MonotonicClock clock;
    private final DropListener listener;
    private final Map<CallerEndPoint, Long> heldByConnection = new ConcurrentHashMap<>();
    private final AtomicLong heldBytes = new AtomicLong();

    /** Is told about each connection that is closed because of a limit or a deadline. */
    @FunctionalInterface
    public interface DropListener {

        /**
         * Records a closed connection.
         *
         * @param reason {@code connections}, {@code held_bytes}, {@code bodies} or {@code overdue}
         * @param noProgress the time since its last byte was read or written
         * @param heldBytes the memory that was held for it, in bytes
         */
        void dropped(String reason, Duration noProgress, long heldBytes);
    }

    /**
     * Creates an empty table.
     *
     * @param limits the limits
     * @param clock the time source
     * @param listener is told about closed connections
     */
    public CallerConnections(ConnectionLimits limits, MonotonicClock clock, DropListener listener) {
        this.limits = limits;
        this.clock = clock;
        this.listener = listener;
    }

    ConnectionLimits limits() {
        return limits;
    }

    long nanos() {
        return clock.nanos();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int count() {
        return heldByConnection.size();
    }

    /**
     * Returns the estimated memory that is held for the connections.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes.get();
    }

    void opened(CallerEndPoint connection) {
        heldByConnection.put(connection, 0L);
        if (heldByConnection.size() > limits.maxConnections()) {
            drop("connections", connection, false, () -> heldByConnection.size() <= limits.maxConnections());
        }
    }

    void closed(CallerEndPoint connection) {
        Long held = heldByConnection.remove(connection);
        if (held != null) {
            heldBytes.addAndGet(-held);
        }
    }

    /** Adds to what is held for a connection, and drops connections if the limit is exceeded. */
    void changeHeld(CallerEndPoint connection, long change) {
        if (change == 0 || heldByConnection.computeIfPresent(connection, (key, held) -> held + change) == null) {
            return;
        }
        long excess = heldBytes.addAndGet(change) - limits.maxHeldBytes();
        if (excess > 0 && change > 0) {
            long target = limits.maxHeldBytes() - limits.maxHeldBytes() / SLACK_FRACTION;
            drop("held_bytes", connection, true, () -> heldBytes.get() <= target);
        }
    }

    /**
     * Drops connections until a condition holds; the connection that exceeds the limit comes last, and is not dropped while
     * its request runs.
     */
    private synchronized void drop(
            String reason, CallerEndPoint latest, boolean holdersOnly, BooleanSupplier isEnough) {
        long now = clock.nanos();
        PriorityQueue<Ranked> queue = rank(now, latest);
        for (Ranked ranked = queue.poll(); ranked != null && !isEnough.getAsBoolean(); ranked = queue.poll()) {
            if (!holdersOnly || ranked.connection().heldBytes() > 0) {
                drop(reason, ranked);
            }
        }
        DropOrder.Candidate last = latest.candidate(now);
        if (!isEnough.getAsBoolean() && last.mayBeDropped()) {
            drop(reason, new Ranked(latest, last));
        }
    }

    private record Ranked(CallerEndPoint connection, DropOrder.Candidate candidate) {}

    /** Returns the connections that may be dropped; a queue, since mostly the first one is enough. */
    private PriorityQueue<Ranked> rank(long now, @Nullable CallerEndPoint excluded) {
        PriorityQueue<Ranked> ranked =
                new PriorityQueue<>(Comparator.comparing(Ranked::candidate, DropOrder.FIRST_TO_DROP));
        for (CallerEndPoint connection : heldByConnection.keySet()) {
            DropOrder.Candidate candidate = connection.candidate(now);
            if (connection != excluded && candidate.mayBeDropped()) {
                ranked.add(new Ranked(connection, candidate));
            }
        }
        return ranked;
    }

    private void drop(String reason, Ranked ranked) {
        if (ranked.connection().drop()) {
            // Its memory and its place count as free from here on, although it is closed on another thread.
            closed(ranked.connection());
            DropOrder.Candidate candidate = ranked.candidate();
            listener.dropped(reason, Duration.ofNanos(candidate.noProgressNanos()), candidate.heldBytes());
        }
    }

    /**
     * Drops connections that hold bodies and make no progress.
     *
     * @param bytes the memory that is needed
     * @return whether as much memory has been given back
     */
    public synchronized boolean dropStalledBodies(long bytes) {
        long freed = 0;
        PriorityQueue<Ranked> queue = rank(clock.nanos(), null);
        for (Ranked ranked = queue.poll(); ranked != null && freed < bytes; ranked = queue.poll()) {
            long held = ranked.connection().bodyBytes();
            if (held > 0 && ranked.candidate().noProgressNanos() >= ACTIVE_UPLOAD_NANOS) {
                drop("bodies", ranked);
                freed += held;
            }
        }
        return freed >= bytes;
    }

    /**
     * Closes the connections whose request is not complete in time.
     *
     * @param headTimeout the time for the head of a request, from its first byte
     */
    public void closeOverdue(Duration headTimeout) {
        long now = clock.nanos();
        for (CallerEndPoint connection : heldByConnection.keySet()) {
            if (connection.isOverdue(now, headTimeout.toNanos())) {
                drop("overdue", new Ranked(connection, connection.candidate(now)));
            }
        }
    }

    private static @Nullable CallerEndPoint find(Request request) {
        return request.getConnectionMetaData().getConnection().getEndPoint() instanceof CallerEndPoint connection
                ? connection
                : null;
    }

    static void requestBegun(Request request) {
        CallerEndPoint connection = find(request);
        if (connection != null) {
            connection.requestBegun(
                    request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING), Math.max(0, request.getLength()));
            Request.addCompletionListener(request, failure -> connection.requestEnded());
        }
    }

    /**
     * Records that the body of a request is being read. Without effect if the connections of its port are not limited.
     *
     * @param request the request
     * @param deadline when the request is no longer of use, so that the rest of its body is not awaited
     * @param onDrop gives back the memory of the body when the connection is dropped; may be called by any thread
     */
    public static void readingBody(Request request, Deadline deadline, Runnable onDrop) {
        CallerEndPoint connection = find(request);
        if (connection != null) {
            connection.readingBody(deadline, onDrop);
        }
    }

    /**
     * Records the memory that is held for the bodies of a request and its response.
     *
     * @param request the request
     * @param bytes the memory in bytes
     */
    public static void holdBody(Request request, long bytes) {
        CallerEndPoint connection = find(request);
        if (connection != null) {
            connection.holdBody(bytes);
        }
    }

    /**
     * Records that a request has been read as far as it will be, so that its connection is not dropped before the response.
     *
     * @param request the request
     */
    public static void requestRead(Request request) {
        CallerEndPoint connection = find(request);
        if (connection != null) {
            connection.requestRead();
        }
    }
}
