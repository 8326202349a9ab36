package dev.bluebellshunt.relay.telemetry;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Rate-limited log with one line per decision about a request.
 *
 * <p>Each kind of decision is limited to {@link #LINES_PER_SECOND} lines per second. The first line after a
 * period in which lines were dropped contains their number. Thread-safe.
 */
public final class DecisionLog {

    /** Lines per kind and second; enough to explain a single request, and too few to slow down a small VM. */
    static final int LINES_PER_SECOND = 20;

    private static final Logger log = LoggerFactory.getLogger("request");
    private static final Duration RATE_PERIOD = Duration.ofSeconds(1);

    private final MonotonicClock clock;
    private final Map<String, RateLimiter> rateLimiters = new ConcurrentHashMap<>();

    /**
     * Creates a log.
     *
     * @param clock the time source
     */
    public DecisionLog(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Writes a line, unless the limit for its kind has been reached in the current period.
     *
     * @param kind the kind of decision, from a fixed set
     * @param requestId the id of the request
     * @param inputs the inputs and the outcome of the decision, as alternating names and values
     */
    public void write(String kind, String requestId, Object... inputs) {
        int dropped = rateLimiters.computeIfAbsent(kind, k -> new RateLimiter()).tryAcquire(clock);
        if (dropped < 0) {
            return;
        }
        LoggingEventBuilder line =
                log.atLevel(Level.INFO).addKeyValue("decision", kind).addKeyValue("request", requestId);
        for (int i = 0; i + 1 < inputs.length; i += 2) {
            line = line.addKeyValue(String.valueOf(inputs[i]), inputs[i + 1]);
        }
        if (dropped > 0) {
            line = line.addKeyValue("dropped", dropped);
        }
        line.log(kind);
    }

    private static final class RateLimiter {
        private Deadline periodEnd = new Deadline(Long.MIN_VALUE / 2);
        private int written;
        private int dropped;

        /** Returns the number of lines dropped since the last one that was written, or -1 to drop this one too. */
        private synchronized int tryAcquire(MonotonicClock clock) {
            if (periodEnd.hasPassed(clock)) {
                periodEnd = Deadline.after(clock, RATE_PERIOD);
                written = 0;
            }
            if (written >= LINES_PER_SECOND) {
                dropped++;
                return -1;
            }
            written++;
            int droppedBefore = dropped;
            dropped = 0;
            return droppedBefore;
        }
    }
}
