package dev.bluebellshunt.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The events of a prefix cache as an engine publishes them: late, and with gaps.
 *
 * <p>Every {@link #LOST_EACH}th event is lost, and all but the last {@link #KEPT} are dropped; the
 * numbers of the events show the gaps. Not safe for many threads.
 */
public final class CacheEvents {

    private static final int LOST_EACH = 50;
    private static final int KEPT = 10_000;
    private static final long LATE_NANOS = 1_000_000_000;

    private final Deque<Stamped> events = new ArrayDeque<>();
    private long last;

    void record(long block, boolean added) {
        last++;
        if (last % LOST_EACH == 0) {
            return;
        }
        events.add(new Stamped(new Event(last, Long.toHexString(block), added), System.nanoTime()));
        if (events.size() > KEPT) {
            events.removeFirst();
        }
    }

    Page after(long number, long nowNanos) {
        return new Page(events.stream()
                .filter(stamped -> stamped.event().number() > number)
                .filter(stamped -> nowNanos - stamped.atNanos() >= LATE_NANOS)
                .map(Stamped::event)
                .toList());
    }

    /**
     * Some events.
     *
     * @param events in the order of their numbers
     */
    public record Page(List<Event> events) {}

    /**
     * A change of the cache.
     *
     * @param number its number, from 1; a missing number is a lost event
     * @param block the hash of the block's chain, in hexadecimal
     * @param added whether the block was added, rather than evicted
     */
    public record Event(long number, String block, boolean added) {}

    private record Stamped(Event event, long atNanos) {}
}
