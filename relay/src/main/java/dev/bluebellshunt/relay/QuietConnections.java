package dev.bluebellshunt.relay;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.eclipse.jetty.io.EndPoint;

/**
 * Closes connections on which no request has been in progress for a while, during a shutdown.
 *
 * <p>A request may have been sent on a connection and not been read yet. A connection is therefore closed only after a
 * time in which such a request would have been read. Not thread-safe.
 */
final class QuietConnections {

    /** How long a connection must be idle; much longer than a request takes to arrive and to be read. */
    static final Duration QUIET_PERIOD = Duration.ofSeconds(1);

    private final MonotonicClock clock;
    private final Predicate<EndPoint> idle;
    private final Map<EndPoint, Long> idleSinceNanos = new HashMap<>();

    /**
     * Creates an object that has seen no connections.
     *
     * @param clock the time source
     * @param idle whether a connection has no request in progress
     */
    QuietConnections(MonotonicClock clock, Predicate<EndPoint> idle) {
        this.clock = clock;
        this.idle = idle;
    }

    /**
     * Closes the connections that have been idle for the quiet period, as far as this method has observed them.
     *
     * @param open all open connections
     * @return the number of connections that remain open
     */
    int closeQuiet(Collection<EndPoint> open) {
        long now = clock.nanos();
        idleSinceNanos.keySet().retainAll(open);
        int remaining = 0;
        for (EndPoint connection : open) {
            if (!idle.test(connection)) {
                idleSinceNanos.remove(connection);
                remaining++;
                continue;
            }
            long since = idleSinceNanos.computeIfAbsent(connection, c -> now);
            if (now - since >= QUIET_PERIOD.toNanos()) {
                connection.close();
            } else {
                remaining++;
            }
        }
        return remaining;
    }
}
