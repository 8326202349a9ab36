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
 * One line for each decision about a request, of bounded volume.
 *
 * <p>Each kind of decision may write {@link #LINES_PER_SECOND} lines a second; the first line after a
 * second in which more were due says how many were dropped. Safe for use by many threads.
 */
public final class DecisionLog {

    /** Lines of one kind a second; enough to explain any single request, too few to slow a small VM. */
    static final int LINES_PER_SECOND = 20;

    private static final Logger log = LoggerFactory.getLogger("request");
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final MonotonicClock clock;
    private final Map<String, Bucket> buckets = new ConcurrentHashMap<>();

    /**
     * Creates a log.
     *
     * @param clock the clock to read
     */
    public DecisionLog(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Writes a line, unless too many of its kind were written within this second.
     *
     * @param kind the kind of decision, from a fixed set
     * @param requestId the request
     * @param inputs what decided it, and the outcome: names and values in turn
     */
    public void write(String kind, String requestId, Object... inputs) {
        int dropped = buckets.computeIfAbsent(kind, k -> new Bucket()).take(clock);
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

    private static final class Bucket {
        private Deadline periodEnd = new Deadline(Long.MIN_VALUE / 2);
        private int written;
        private int dropped;

        /** The lines dropped before this one, or -1 where this one is dropped too. */
        private synchronized int take(MonotonicClock clock) {
            if (periodEnd.hasPassed(clock)) {
                periodEnd = Deadline.after(clock, PERIOD);
                written = 0;
            }
            if (written >= LINES_PER_SECOND) {
                dropped++;
                return -1;
            }
            written++;
            int before = dropped;
            dropped = 0;
            return before;
        }
    }
}
