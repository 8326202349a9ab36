package dev.bluebellshunt.core.retry;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Detects requests that crash every target that runs them.
 *
 * <p>A request is identified by the fingerprint of its workspace and body. When a target crashes, the
 * crash is recorded against each request that the target was running, most of which did not cause it.
 * Three rules protect those requests: a suspect is kept apart from other suspects, a complete response
 * clears it, and it is quarantined only after crashes of several targets in more than one failure
 * domain, so that the loss of a single rack does not quarantine requests.
 *
 * <p>This class is thread-safe. It holds at most {@link #MAX_ENTRIES} fingerprints.
 */
public final class CrashSuspects {

    /** The number of distinct targets that must crash while running a request before it is quarantined. */
    public static final int TARGETS_UNTIL_QUARANTINE = 3;

    /** The maximum number of fingerprints; the least recently updated one is evicted first. */
    static final int MAX_ENTRIES = 10_000;

    /** The maximum number of entries in one report to a peer. */
    static final int MAX_REPORT_ENTRIES = 100;

    /** How long an entry is kept after its last recorded crash; it also limits quarantine. */
    static final Duration ENTRY_TTL = Duration.ofMinutes(30);

    private final MonotonicClock clock;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock the monotonic clock
     */
    public CrashSuspects(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns whether a request is suspected or quarantined.
     *
     * @param fingerprint the request's fingerprint
     * @return the request's status
     */
    public synchronized Status status(long fingerprint) {
        Entry entry = unexpiredEntry(fingerprint);
        if (entry == null) {
            return Status.CLEAR;
        }
        return entry.isQuarantined() ? Status.QUARANTINED : Status.SUSPECT;
    }

    /**
     * Returns the targets that crashed while running a request, which must not run it again.
     *
     * @param fingerprint the request's fingerprint
     * @return the targets' names
     */
    public synchronized Set<String> crashedTargets(long fingerprint) {
        Entry entry = unexpiredEntry(fingerprint);
        return entry == null ? Set.of() : Set.copyOf(entry.domainsByTarget.keySet());
    }

    /**
     * Records that a target crashed while running requests.
     *
     * @param target the target's name
     * @param failureDomain the target's failure domain
     * @param fingerprints the fingerprints of the requests that it was running
     */
    public synchronized void recordCrash(String target, String failureDomain, Collection<Long> fingerprints) {
        for (long fingerprint : fingerprints) {
            recordCrashes(fingerprint, Map.of(target, failureDomain));
        }
    }

    /**
     * Records that a request received a complete response. This clears a suspect, but does not lift a
     * quarantine.
     *
     * @param fingerprint the request's fingerprint
     */
    public synchronized void recordCompletion(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && !entry.isQuarantined()) {
            entries.remove(fingerprint);
        }
    }

    /**
     * Returns the most recently recorded crashes known to this VM, to be sent to peers.
     *
     * @return for each fingerprint, the failure domains of crashed targets by target name
     */
    public synchronized Map<Long, Map<String, String>> report() {
        Map<Long, Map<String, String>> report = new HashMap<>();
        int skip = entries.size() - MAX_REPORT_ENTRIES;
        for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
            if (skip-- <= 0 && !entry.getValue().expiry.hasPassed(clock)) {
                report.put(entry.getKey(), Map.copyOf(entry.getValue().domainsByTarget));
            }
        }
        return report;
    }

    /**
     * Merges the crashes reported by a peer. A report without new crashes does not extend an entry's
     * lifetime.
     *
     * @param report the peer's report, in the form of {@link #report}
     */
    public synchronized void mergeReport(Map<Long, Map<String, String>> report) {
        report.forEach((fingerprint, crashes) -> {
            Entry known = unexpiredEntry(fingerprint);
            if (known == null || !known.domainsByTarget.keySet().containsAll(crashes.keySet())) {
                recordCrashes(fingerprint, crashes);
            }
        });
    }

    private void recordCrashes(long fingerprint, Map<String, String> domainsByTarget) {
        Entry entry = unexpiredEntry(fingerprint);
        if (entry == null) {
            entry = new Entry();
        }
        entries.remove(fingerprint);
        entries.put(fingerprint, entry);
        entry.domainsByTarget.putAll(domainsByTarget);
        entry.expiry = Deadline.after(clock, ENTRY_TTL);
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    private @Nullable Entry unexpiredEntry(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && entry.expiry.hasPassed(clock)) {
            entries.remove(fingerprint);
            return null;
        }
        return entry;
    }

    /** Restrictions on running a request. */
    public enum Status {
        /** No restriction. */
        CLEAR,
        /** Must run apart from other suspects and not on targets that crashed while running it. */
        SUSPECT,
        /** Must not run. */
        QUARANTINED
    }

    private static final class Entry {
        private final Map<String, String> domainsByTarget = new HashMap<>();
        private Deadline expiry = new Deadline(0);

        private boolean isQuarantined() {
            return domainsByTarget.size() >= TARGETS_UNTIL_QUARANTINE
                    && Set.copyOf(domainsByTarget.values()).size() > 1;
        }
    }
}
