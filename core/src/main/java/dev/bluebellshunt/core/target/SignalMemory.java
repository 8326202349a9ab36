package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What the incarnations of a target have said of themselves. Late responses of an earlier incarnation say nothing of
 * the next one. Thread-safe.
 */
final class SignalMemory {

    /** Responses of more incarnations than these are not in flight at the same time. */
    private static final int MAX_INCARNATIONS = 4;

    private final Map<String, Marks> marks = new LinkedHashMap<>();

    /** Records what an incarnation says of itself. Returns what was not known, or null if nothing. */
    synchronized @Nullable TargetSignals record(String incarnation, TargetSignals signals, MonotonicClock clock) {
        Marks known = marks.getOrDefault(incarnation, new Marks(false, new Deadline(clock.nanos())));
        Duration retryAfter = signals.retryAfter();
        Deadline end = retryAfter == null ? known.refusalEnd() : Deadline.after(clock, retryAfter);
        boolean later = end.atNanos() - known.refusalEnd().atNanos() > 0;
        boolean newlyLeaving = signals.leaving() && !known.leaving();
        if (!later && !newlyLeaving) {
            return null;
        }
        marks.put(incarnation, new Marks(known.leaving() || signals.leaving(), later ? end : known.refusalEnd()));
        while (marks.size() > MAX_INCARNATIONS) {
            marks.remove(marks.keySet().iterator().next());
        }
        return new TargetSignals(newlyLeaving, later ? retryAfter : null);
    }

    synchronized boolean isLeaving(String incarnation) {
        Marks known = marks.get(incarnation);
        return known != null && known.leaving();
    }

    /** Returns for how long an incarnation wants no more requests. */
    synchronized Duration refusalTime(String incarnation, MonotonicClock clock) {
        Marks known = marks.get(incarnation);
        return known == null ? Duration.ZERO : known.refusalEnd().remaining(clock);
    }

    private record Marks(boolean leaving, Deadline refusalEnd) {}
}
