package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.Map;
import java.util.WeakHashMap;

/**
 * The times since which connections to a target are known to be open. Holds no connection that is not used elsewhere.
 * Thread-safe.
 */
final class ConnectionTimes {

    private final MonotonicClock clock;
    private final Map<Object, Long> firstUseNanos = new WeakHashMap<>();

    ConnectionTimes(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns the time of the first call for a connection.
     *
     * @param connection an open connection
     * @return a reading of the clock; now, for a connection that was not known
     */
    synchronized long openSinceNanos(Object connection) {
        return firstUseNanos.computeIfAbsent(connection, c -> clock.nanos());
    }
}
