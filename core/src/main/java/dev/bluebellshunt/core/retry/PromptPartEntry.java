package dev.bluebellshunt.core.retry;

import dev.bluebellshunt.core.time.Deadline;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** What is known of one prompt part with crashes. Guarded by the lock of {@link PromptPartSuspects}. */
final class PromptPartEntry {

    /**
     * A crash of a target.
     *
     * @param recordedNanos when this VM recorded it
     * @param alone whether no other target crashed at that moment, as far as is known
     * @param fingerprint the fingerprint of a request that the target was running
     */
    record Crash(long recordedNanos, boolean alone, long fingerprint) {

        Crash notAlone() {
            return new Crash(recordedNanos, false, fingerprint);
        }
    }

    private static final int MAX_ROUTES = 16;

    /** The crashes since the last completed request, the oldest first. */
    final SequencedMap<String, Crash> crashes = new LinkedHashMap<>();

    /** Names of crashes that are not counted again when peers still report them. */
    final LinkedHashSet<String> cleared = new LinkedHashSet<>();

    /** Fingerprints of requests without the part that completed since the first crash. */
    final Set<Long> completedWithout = new HashSet<>();

    final Set<String> routes = new HashSet<>();
    boolean observed;
    boolean quarantined;
    boolean quarantinedByPeer;
    boolean written;
    boolean writtenHere;
    int failedTrials;
    long lastCrashNanos;
    long completedWithoutNanos;
    long clearedNanos;
    Deadline quarantineEnd;
    Deadline completedElsewhere;
    Deadline expiry;

    PromptPartEntry(long neverNanos) {
        lastCrashNanos = neverNanos;
        completedWithoutNanos = neverNanos;
        clearedNanos = neverNanos;
        quarantineEnd = new Deadline(neverNanos);
        completedElsewhere = new Deadline(neverNanos);
        expiry = new Deadline(neverNanos);
    }

    /** Adds a crash, or what is known of one. Returns whether it is new. */
    boolean add(String crash, PromptPartReport.Crash reported, long now) {
        if (cleared.contains(crash)) {
            return false;
        }
        Crash known = crashes.get(crash);
        if (known != null) {
            crashes.put(crash, reported.alone() ? known : known.notAlone());
            return false;
        }
        crashes.put(crash, new Crash(now, reported.alone(), reported.fingerprint()));
        if (crashes.size() > PromptPartSuspects.MAX_CRASHES) {
            crashes.pollFirstEntry();
        }
        return true;
    }

    boolean clear(Predicate<Map.Entry<String, Crash>> condition, long now) {
        List<String> removed = crashes.entrySet().stream()
                .filter(condition)
                .map(Map.Entry::getKey)
                .toList();
        if (removed.isEmpty()) {
            return false;
        }
        crashes.keySet().removeAll(removed);
        addCleared(removed);
        clearedNanos = now;
        completedWithout.clear();
        quarantinedByPeer = false;
        written = false;
        writtenHere = false;
        if (crashes.size() < PromptPartSuspects.CRASHES_UNTIL_QUARANTINE) {
            release();
        }
        return true;
    }

    void release() {
        quarantined = false;
        failedTrials = 0;
    }

    long distinctRequests(Set<String> names) {
        return crashes.entrySet().stream()
                .filter(crash -> names.contains(crash.getKey()))
                .map(crash -> crash.getValue().fingerprint())
                .distinct()
                .count();
    }

    void addCleared(Collection<String> names) {
        cleared.addAll(names);
        while (cleared.size() > 2 * PromptPartSuspects.MAX_CRASHES) {
            cleared.removeFirst();
        }
    }

    /** Adds requests that completed without the part; more than are needed for a quarantine say nothing new. */
    void addCompletedWithout(Set<Long> fingerprints, long now) {
        for (long fingerprint : fingerprints) {
            if (completedWithout.size() >= PromptPartSuspects.COMPLETIONS_OF_OTHERS) {
                return;
            }
            if (completedWithout.add(fingerprint)) {
                completedWithoutNanos = now;
            }
        }
    }

    /** Returns when there was something new to report. */
    long changedNanos() {
        return lastCrashNanos - completedWithoutNanos > 0 ? lastCrashNanos : completedWithoutNanos;
    }

    void addRoute(String route) {
        if (routes.size() < MAX_ROUTES) {
            routes.add(route);
        }
    }

    Map<String, PromptPartReport.Crash> latestCrashes() {
        return crashes.sequencedEntrySet().reversed().stream()
                .limit(PromptPartSuspects.MAX_REPORTED_CRASHES)
                .collect(Collectors.toMap(
                        Map.Entry::getKey,
                        crash -> new PromptPartReport.Crash(
                                crash.getValue().alone(), crash.getValue().fingerprint())));
    }

    /** Returns whether all crashes of single targets since the first crash of another part are crashes of both. */
    boolean hasOnlyCommonCrashesSince(PromptPartEntry other) {
        long firstNanos = other.firstNanos();
        return crashes.entrySet().stream()
                .filter(crash -> crash.getValue().alone() && crash.getValue().recordedNanos() - firstNanos >= 0)
                .allMatch(crash -> other.crashes.containsKey(crash.getKey()));
    }

    long firstNanos() {
        return crashes.firstEntry().getValue().recordedNanos();
    }

    boolean isAlone(String crash) {
        Crash known = crashes.get(crash);
        return known != null && known.alone();
    }
}
