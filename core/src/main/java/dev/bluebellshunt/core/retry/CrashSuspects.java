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
 * Finds requests that crash each target that runs them.
 *
 * <p>A request is known by the fingerprint of its workspace and body. When a target crashes, each
 * request that it was running gets a strike of that target. Many innocent requests share one crash;
 * they are told apart because a suspect is kept away from other suspects, an answer in full clears
 * it, and quarantine takes strikes of several targets in more than one failure domain, which a rack's
 * loss does not give.
 *
 * <p>Safe for use by many threads; bounded to {@link #MAX_ENTRIES}.
 */
public final class CrashSuspects {

    /** Distinct targets that must crash under a request before it is quarantined. */
    public static final int TARGETS_UNTIL_QUARANTINE = 3;

    /** Fingerprints that are kept, the oldest of which give way. */
    static final int MAX_ENTRIES = 10_000;

    /** Entries in one report to a peer. */
    static final int MAX_REPORTED = 100;

    /** How long a strike or a quarantine lasts. */
    static final Duration MEMORY = Duration.ofMinutes(30);

    private final MonotonicClock clock;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock the clock to read
     */
    public CrashSuspects(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * How a request may run.
     *
     * @param fingerprint the request
     * @return the standing
     */
    public synchronized Standing standing(long fingerprint) {
        Entry entry = live(fingerprint);
        if (entry == null) {
            return Standing.CLEAR;
        }
        return entry.isQuarantined() ? Standing.QUARANTINED : Standing.SUSPECT;
    }

    /**
     * The targets that crashed under a request, which it must not run on again.
     *
     * @param fingerprint the request
     * @return names of targets
     */
    public synchronized Set<String> crashedTargets(long fingerprint) {
        Entry entry = live(fingerprint);
        return entry == null ? Set.of() : Set.copyOf(entry.domainsByTarget.keySet());
    }

    /**
     * Records that a target crashed under requests.
     *
     * @param target the target
     * @param failureDomain the failure domain in which it stands
     * @param fingerprints the requests that it was running
     */
    public synchronized void crashed(String target, String failureDomain, Collection<Long> fingerprints) {
        for (long fingerprint : fingerprints) {
            strike(fingerprint, Map.of(target, failureDomain));
        }
    }

    /**
     * Records that a request was answered in full.
     *
     * @param fingerprint the request
     */
    public synchronized void answered(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && !entry.isQuarantined()) {
            entries.remove(fingerprint);
        }
    }

    /**
     * The latest strikes that this VM knows of, for peers.
     *
     * @return failure domains by target, by fingerprint
     */
    public synchronized Map<Long, Map<String, String>> report() {
        Map<Long, Map<String, String>> report = new HashMap<>();
        int skip = entries.size() - MAX_REPORTED;
        for (Map.Entry<Long, Entry> entry : entries.entrySet()) {
            if (skip-- <= 0 && !entry.getValue().until.hasPassed(clock)) {
                report.put(entry.getKey(), Map.copyOf(entry.getValue().domainsByTarget));
            }
        }
        return report;
    }

    /**
     * Takes over the strikes that a peer knows of.
     *
     * @param report a peer's report
     */
    public synchronized void learn(Map<Long, Map<String, String>> report) {
        report.forEach((fingerprint, strikes) -> {
            Entry known = live(fingerprint);
            if (known == null || !known.domainsByTarget.keySet().containsAll(strikes.keySet())) {
                strike(fingerprint, strikes);
            }
        });
    }

    private void strike(long fingerprint, Map<String, String> domainsByTarget) {
        Entry entry = live(fingerprint);
        if (entry == null) {
            entry = new Entry();
        }
        entries.remove(fingerprint);
        entries.put(fingerprint, entry);
        entry.domainsByTarget.putAll(domainsByTarget);
        entry.until = Deadline.after(clock, MEMORY);
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    private @Nullable Entry live(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && entry.until.hasPassed(clock)) {
            entries.remove(fingerprint);
            return null;
        }
        return entry;
    }

    /** How a request may run. */
    public enum Standing {
        /** Like any other. */
        CLEAR,
        /** Away from other suspects and from the targets that crashed under it. */
        SUSPECT,
        /** Not at all. */
        QUARANTINED
    }

    private static final class Entry {
        private final Map<String, String> domainsByTarget = new HashMap<>();
        private Deadline until = new Deadline(0);

        private boolean isQuarantined() {
            return domainsByTarget.size() >= TARGETS_UNTIL_QUARANTINE
                    && Set.copyOf(domainsByTarget.values()).size() > 1;
        }
    }
}
