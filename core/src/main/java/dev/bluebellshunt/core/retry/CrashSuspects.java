package dev.bluebellshunt.core.retry;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Detects requests that crash every target that runs them, and quarantines them.
 *
 * <p>A request is identified by the fingerprint of its workspace and content. When a target crashes, the crash is
 * recorded against each request that it was running, most of which did not cause it. A complete response to a
 * request, or evidence that the target is still running, clears the crash again. A request against which the crashes of
 * {@link #TARGETS_UNTIL_QUARANTINE} targets are recorded is quarantined. The quarantine ends by itself, so that a
 * request that was only present when several targets were lost can run again; it lasts twice as long after each
 * further crash.
 *
 * <p>This class is thread-safe. It holds at most {@link #MAX_ENTRIES} fingerprints.
 */
public final class CrashSuspects {

    /** The number of distinct targets that must crash while running a request before it is quarantined. */
    public static final int TARGETS_UNTIL_QUARANTINE = 3;

    /** Duration of the first quarantine of a request. */
    static final Duration INITIAL_QUARANTINE = Duration.ofMinutes(1);

    /** Maximum duration of a quarantine. */
    static final Duration MAX_QUARANTINE = Duration.ofMinutes(30);

    /**
     * Added to the quarantine on VMs that learn of a crash from others, so that a VM that has seen the crash itself
     * runs the request first, and can report whether it crashes another target.
     */
    static final Duration PEER_QUARANTINE_MARGIN = Duration.ofSeconds(10);

    /** The maximum number of fingerprints; the least recently updated one is evicted first. */
    static final int MAX_ENTRIES = 10_000;

    /** The maximum number of entries in one report to a peer. */
    static final int MAX_REPORT_ENTRIES = 100;

    /** How long an entry is kept after its last recorded crash; exceeds the longest quarantine. */
    static final Duration ENTRY_TTL = Duration.ofMinutes(31);

    private static final char CRASH_NUMBER_SEPARATOR = '#';

    private final MonotonicClock clock;
    private final PromptPartSuspects promptParts;
    private final SequencedMap<Long, Entry> entries = new LinkedHashMap<>();

    /** Targets of which this VM has observed a crash that may still be cleared by a response. */
    private final Set<String> observedTargets = new HashSet<>();

    private volatile boolean empty = true;

    /**
     * Creates an empty table.
     *
     * @param clock the monotonic clock
     * @param random spreads the ends of quarantines over the VMs
     */
    public CrashSuspects(MonotonicClock clock, RandomGenerator random) {
        this.clock = clock;
        this.promptParts = new PromptPartSuspects(clock, random);
    }

    /**
     * Returns the crashes by the prompt parts of the requests.
     *
     * @return the table of prompt parts
     */
    public PromptPartSuspects promptParts() {
        return promptParts;
    }

    /**
     * Returns whether no crashes are recorded. Does not block.
     *
     * @return true if every request is clear
     */
    public boolean isEmpty() {
        return empty;
    }

    /**
     * Returns whether a request is suspected or quarantined.
     *
     * @param fingerprint the request's fingerprint
     * @return the request's status
     */
    public synchronized Status status(long fingerprint) {
        Entry entry = unexpiredEntry(fingerprint);
        if (entry == null || entry.crashes.isEmpty()) {
            return Status.CLEAR;
        }
        return isQuarantined(entry) ? Status.QUARANTINED : Status.SUSPECT;
    }

    /**
     * Returns how long a request must not run. If its quarantine has ended, permits this one run and extends the
     * quarantine, so that other runs wait for the outcome of this one.
     *
     * @param fingerprint the request's fingerprint
     * @return the remaining quarantine, or zero if the request may run now
     */
    public synchronized Duration acquireRun(long fingerprint) {
        Entry entry = unexpiredEntry(fingerprint);
        if (entry == null || entry.targetCount() < TARGETS_UNTIL_QUARANTINE) {
            return Duration.ZERO;
        }
        if (isQuarantined(entry)) {
            return entry.quarantineEnd.remaining(clock);
        }
        entry.quarantineEnd = Deadline.after(clock, INITIAL_QUARANTINE);
        return Duration.ZERO;
    }

    /**
     * Returns the targets that crashed while running a request, which must not run it again.
     *
     * @param fingerprint the request's fingerprint
     * @return the targets' names
     */
    public synchronized Set<String> crashedTargets(long fingerprint) {
        Entry entry = unexpiredEntry(fingerprint);
        return entry == null
                ? Set.of()
                : entry.crashes.keySet().stream().map(CrashSuspects::targetOf).collect(Collectors.toSet());
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
            recordCrash(target, failureDomain, fingerprint, clock.nanos());
        }
    }

    /**
     * Records that a target crashed while running a request.
     *
     * @param target the target's name
     * @param failureDomain the target's failure domain
     * @param fingerprint the request's fingerprint
     * @param sentNanos the clock reading when the request was sent to the target
     */
    public synchronized void recordCrash(String target, String failureDomain, long fingerprint, long sentNanos) {
        recordCrashes(fingerprint, Map.of(target, new Crash(failureDomain, new Observation(sentNanos, clock.nanos()))));
    }

    /**
     * Records that a request received a complete response, which clears the crashes recorded against it.
     *
     * @param fingerprint the request's fingerprint
     * @return the names of the targets whose crashes were cleared
     */
    public synchronized Set<String> recordCompletion(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        return entry == null ? Set.of() : entry.clear(target -> true, clock.nanos());
    }

    /**
     * Records that a target has responded to any request. A crash has not happened if the connection is as old as the
     * request under which it was observed, and the target responds on it to a later one, since a connection does not
     * outlive its process. Crashes that were observed by other VMs are not cleared.
     *
     * @param target the target's name
     * @param openSinceNanos a clock reading at which the connection was open
     * @param sentNanos the clock reading when the request was sent
     * @return the fingerprints of the requests for which a crash of the target was cleared
     */
    public synchronized Set<Long> recordResponse(String target, long openSinceNanos, long sentNanos) {
        if (!observedTargets.contains(target)) {
            return Set.of();
        }
        Set<Long> cleared = new HashSet<>();
        boolean observed = false;
        for (Map.Entry<Long, Entry> row : entries.entrySet()) {
            Entry entry = row.getValue();
            Observation observation = entry.observation(target);
            if (observation == null) {
                continue;
            }
            if (openSinceNanos - observation.sentNanos() <= 0 && observation.recordedNanos() - sentNanos < 0) {
                entry.clear(name -> targetOf(name).equals(target), clock.nanos());
                cleared.add(row.getKey());
            } else {
                observed = true;
            }
        }
        if (!observed) {
            observedTargets.remove(target);
        }
        return cleared;
    }

    /**
     * Returns the crashes known to this VM, to be sent to peers.
     *
     * @return for each fingerprint, the failure domains of crashed targets by target name
     */
    public synchronized Map<Long, Map<String, String>> report() {
        return mostCrashes(entry -> true);
    }

    /**
     * Returns the crashes of the quarantined requests, and of those for which a crash was recorded or cleared recently.
     *
     * @param window how recently
     * @return the report for the peers
     */
    public synchronized CrashReport recentReport(Duration window) {
        PromptPartReport parts = promptParts.recentReport(window);
        if (empty) {
            return new CrashReport(Map.of(), Map.of(), parts);
        }
        long oldestNanos = clock.nanos() - window.toNanos();
        Map<Long, Set<String>> cleared = new HashMap<>();
        entries.forEach((fingerprint, entry) -> {
            if (cleared.size() < MAX_REPORT_ENTRIES && entry.clearedNanos - oldestNanos >= 0) {
                cleared.put(fingerprint, Set.copyOf(entry.cleared));
            }
        });
        return new CrashReport(
                mostCrashes(entry -> isQuarantined(entry) || entry.lastCrashNanos - oldestNanos >= 0), cleared, parts);
    }

    /**
     * Returns the crashes of the quarantined requests of which this VM has observed at least one itself.
     *
     * @return for each fingerprint, the failure domains of crashed targets by target name
     */
    public synchronized Map<Long, Map<String, String>> observedQuarantines() {
        return mostCrashes(entry -> isQuarantined(entry) && entry.observed);
    }

    /** Returns the crashes of the requests with most of them, and of the newest ones among equals. */
    private Map<Long, Map<String, String>> mostCrashes(Predicate<Entry> condition) {
        return entries.sequencedEntrySet().reversed().stream()
                .filter(row -> !row.getValue().crashes.isEmpty()
                        && !row.getValue().expiry.hasPassed(clock)
                        && condition.test(row.getValue()))
                .sorted(Comparator.comparingInt(row -> -row.getValue().targetCount()))
                .limit(MAX_REPORT_ENTRIES)
                .collect(Collectors.toMap(
                        Map.Entry::getKey, row -> row.getValue().failureDomains()));
    }

    /**
     * Merges the crashes reported by a peer. A report without new crashes does not extend an entry's
     * lifetime.
     *
     * @param report the peer's report, in the form of {@link #report}
     */
    public synchronized void mergeReport(Map<Long, Map<String, String>> report) {
        report.forEach((fingerprint, domainsByTarget) -> {
            Map<String, Crash> crashes = new HashMap<>();
            domainsByTarget.forEach((target, domain) -> crashes.put(target, new Crash(domain, null)));
            recordCrashes(fingerprint, crashes);
        });
    }

    /**
     * Merges the crashes reported by a peer, and clears those that the peer has cleared.
     *
     * @param report the peer's report
     */
    public synchronized void mergeReport(CrashReport report) {
        promptParts.mergeReport(report.promptParts());
        report.cleared().forEach((fingerprint, targets) -> {
            Entry entry = unexpiredEntry(fingerprint);
            if (entry != null) {
                entry.cleared.addAll(targets);
                entry.crashes.keySet().removeAll(targets);
            }
        });
        mergeReport(report.crashes());
    }

    private void recordCrashes(long fingerprint, Map<String, Crash> crashes) {
        Entry entry = unexpiredEntry(fingerprint);
        if (entry == null) {
            entry = new Entry(clock.nanos() - ENTRY_TTL.toNanos());
        }
        long now = clock.nanos();
        boolean changed = false;
        boolean observed = false;
        for (Map.Entry<String, Crash> crash : crashes.entrySet()) {
            boolean observedHere = crash.getValue().observation() != null;
            String name = observedHere ? entry.nameOfNextCrash(crash.getKey()) : crash.getKey();
            if (entry.cleared.contains(name) || entry.crashes.putIfAbsent(name, crash.getValue()) != null) {
                continue;
            }
            changed = true;
            if (observedHere) {
                observed = true;
                observedTargets.add(crash.getKey());
            }
        }
        if (!changed) {
            return;
        }
        entry.observed |= observed;
        entry.lastCrashNanos = now;
        entry.expiry = Deadline.after(clock, ENTRY_TTL);
        Duration quarantine = quarantine(entry.targetCount());
        entry.quarantineEnd = Deadline.after(clock, observed ? quarantine : quarantine.plus(PEER_QUARANTINE_MARGIN));
        entries.remove(fingerprint);
        entries.put(fingerprint, entry);
        removeOldEntries();
        empty = false;
    }

    private void removeOldEntries() {
        while (entries.size() > MAX_ENTRIES
                || entries.firstEntry().getValue().expiry.hasPassed(clock)) {
            entries.pollFirstEntry();
        }
        if (observedTargets.size() > MAX_ENTRIES) {
            observedTargets.retainAll(entries.values().stream()
                    .flatMap(entry -> entry.crashes.keySet().stream())
                    .map(CrashSuspects::targetOf)
                    .collect(Collectors.toSet()));
        }
    }

    private static String targetOf(String crashName) {
        int separator = crashName.lastIndexOf(CRASH_NUMBER_SEPARATOR);
        return separator < 0 ? crashName : crashName.substring(0, separator);
    }

    private static Duration quarantine(int crashes) {
        Duration quarantine = INITIAL_QUARANTINE;
        for (int i = TARGETS_UNTIL_QUARANTINE; i < crashes && quarantine.compareTo(MAX_QUARANTINE) < 0; i++) {
            quarantine = quarantine.multipliedBy(2);
        }
        return quarantine.compareTo(MAX_QUARANTINE) > 0 ? MAX_QUARANTINE : quarantine;
    }

    private boolean isQuarantined(Entry entry) {
        return entry.targetCount() >= TARGETS_UNTIL_QUARANTINE && !entry.quarantineEnd.hasPassed(clock);
    }

    private @Nullable Entry unexpiredEntry(long fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && entry.expiry.hasPassed(clock)) {
            entries.remove(fingerprint);
            empty = entries.isEmpty();
            return null;
        }
        return entry;
    }

    /** Restrictions on running a request. */
    public enum Status {
        /** No restriction. */
        CLEAR,
        /** Must not run on targets that crashed while running it. */
        SUSPECT,
        /** Must not run. */
        QUARANTINED
    }

    /**
     * A crash of a target.
     *
     * @param failureDomain the target's failure domain
     * @param observation when this VM observed it, or null if another VM did
     */
    private record Crash(String failureDomain, @Nullable Observation observation) {}

    /**
     * The loss of a connection to a target.
     *
     * @param sentNanos when the request was sent
     * @param recordedNanos when the connection was lost
     */
    private record Observation(long sentNanos, long recordedNanos) {}

    private static final class Entry {
        /** The crashes by name: that of the target, with a number from the second one on. */
        private final Map<String, Crash> crashes = new HashMap<>();

        /** Names of crashes that are not counted again when peers still report them. */
        private final Set<String> cleared = new HashSet<>();

        private boolean observed;
        private long lastCrashNanos;
        private long clearedNanos;
        private Deadline quarantineEnd = new Deadline(0);
        private Deadline expiry = new Deadline(0);

        private Entry(long neverNanos) {
            lastCrashNanos = neverNanos;
            clearedNanos = neverNanos;
        }

        private Set<String> clear(Predicate<String> targets, long now) {
            Set<String> removed = crashes.keySet().stream().filter(targets).collect(Collectors.toSet());
            if (!removed.isEmpty()) {
                cleared.addAll(removed);
                crashes.keySet().removeAll(removed);
                clearedNanos = now;
            }
            return removed;
        }

        /** Returns the number of targets; a peer may have cleared one of two crashes of a target. */
        private int targetCount() {
            return (int) crashes.keySet().stream()
                    .map(CrashSuspects::targetOf)
                    .distinct()
                    .count();
        }

        /** Returns the name of the next crash of a target, since its previous ones may have been cleared. */
        private String nameOfNextCrash(String target) {
            String name = target;
            for (int number = 2; cleared.contains(name); number++) {
                name = target + CRASH_NUMBER_SEPARATOR + number;
            }
            return name;
        }

        /** Returns when this VM observed a crash of a target that has not been cleared, or null if it has not. */
        private @Nullable Observation observation(String target) {
            for (Map.Entry<String, Crash> crash : crashes.entrySet()) {
                if (targetOf(crash.getKey()).equals(target)) {
                    return crash.getValue().observation();
                }
            }
            return null;
        }

        private Map<String, String> failureDomains() {
            return crashes.entrySet().stream()
                    .collect(Collectors.toMap(
                            Map.Entry::getKey, crash -> crash.getValue().failureDomain()));
        }
    }
}
