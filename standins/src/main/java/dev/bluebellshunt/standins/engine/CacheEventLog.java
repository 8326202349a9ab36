package dev.bluebellshunt.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The event log of a prefix cache, published with a delay and with gaps to simulate an unreliable event stream.
 *
 * <p>One of every {@link #EVENTS_PER_LOSS} events is lost, and only the last {@link #MAX_RETAINED_EVENTS} events
 * are retained. Readers detect gaps by the event numbers. Not thread-safe.
 */
public final class CacheEventLog {

    private static final int EVENTS_PER_LOSS = 50;
    private static final int MAX_RETAINED_EVENTS = 10_000;
    private static final long PUBLICATION_DELAY_NANOS = 1_000_000_000;

    private final Deque<TimestampedEvent> events = new ArrayDeque<>();
    private long lastNumber;

    void record(long block, boolean added) {
        lastNumber++;
        if (lastNumber % EVENTS_PER_LOSS == 0) {
            return;
        }
        events.add(new TimestampedEvent(new Event(lastNumber, Long.toHexString(block), added), System.nanoTime()));
        if (events.size() > MAX_RETAINED_EVENTS) {
            events.removeFirst();
        }
    }

    Page eventsAfter(long number, long nowNanos) {
        return new Page(events.stream()
                .filter(stamped -> stamped.event().number() > number)
                .filter(stamped -> nowNanos - stamped.recordedNanos() >= PUBLICATION_DELAY_NANOS)
                .map(TimestampedEvent::event)
                .toList());
    }

    /**
     * A page of events.
     *
     * @param events the events, ordered by number
     */
    public record Page(List<Event> events) {}

    /**
     * A block that was added to or evicted from the cache.
     *
     * @param number the sequence number, starting at 1; a missing number indicates a lost event
     * @param block the hash of the prefix that ends with the block, in hexadecimal
     * @param added true if the block was added, false if it was evicted
     */
    public record Event(long number, String block, boolean added) {}

    private record TimestampedEvent(Event event, long recordedNanos) {}
}
