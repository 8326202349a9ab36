package dev.bluebellshunt.relay.peer;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Recent updates of cached prefixes in the order in which a hub received them, for the members of its group.
 * Thread-safe.
 */
final class PrefixUpdates {

    /** How long updates are kept; longer than the interval of reports, and than a change of the hub takes. */
    static final Duration RETENTION = Duration.ofSeconds(3);

    private final MonotonicClock clock;
    private final Deque<Update> updates = new ArrayDeque<>();
    private final Map<String, Map<String, List<String>>> unreported = new HashMap<>();
    private long count;

    private record Update(
            long number, String source, Map<String, Map<String, List<String>>> prefixes, Deadline expiry) {}

    /**
     * Updates that a VM lacked.
     *
     * @param next the number of updates that the VM has afterwards
     * @param prefixes ids of shared segments by cache domain and engine
     */
    public record Batch(long next, Map<String, Map<String, List<String>>> prefixes) {}

    PrefixUpdates(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Adds an update.
     *
     * @param source the VM that it came from
     * @param prefixes ids of shared segments by cache domain and engine
     * @param ofGroup whether the other hubs are to be told
     */
    synchronized void add(String source, Map<String, Map<String, List<String>>> prefixes, boolean ofGroup) {
        if (prefixes.isEmpty()) {
            return;
        }
        while (!updates.isEmpty() && updates.getFirst().expiry().hasPassed(clock)) {
            updates.removeFirst();
        }
        count++;
        updates.addLast(new Update(count, source, prefixes, Deadline.after(clock, RETENTION)));
        if (ofGroup) {
            merge(unreported, prefixes);
        }
    }

    /** Returns and clears the updates of this hub's group that the other hubs have not been told. */
    synchronized Map<String, Map<String, List<String>>> drainUnreported() {
        Map<String, Map<String, List<String>>> drained = Map.copyOf(unreported);
        unreported.clear();
        return drained;
    }

    /**
     * Returns the updates that a VM lacks, as far as they are kept.
     *
     * @param since the number of updates that it has
     * @param vm the name of the VM, which needs no updates that came from itself
     * @return the updates
     */
    synchronized Batch since(long since, String vm) {
        Map<String, Map<String, List<String>>> missing = new HashMap<>();
        for (Update update : updates) {
            if (update.number() > since && !update.source().equals(vm)) {
                merge(missing, update.prefixes());
            }
        }
        return new Batch(count, missing);
    }

    private static void merge(
            Map<String, Map<String, List<String>>> into, Map<String, Map<String, List<String>>> prefixes) {
        prefixes.forEach((domain, byTarget) ->
                byTarget.forEach((target, segments) -> into.computeIfAbsent(domain, d -> new HashMap<>())
                        .computeIfAbsent(target, t -> new ArrayList<>())
                        .addAll(segments)));
    }
}
