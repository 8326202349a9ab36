package dev.bluebellshunt.core.retry;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SequencedMap;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Detects prompt parts that crash every target that runs a request with them, and quarantines these parts.
 *
 * <p>A crash is recorded against each shared part of each request that the target was running, most of which did not
 * cause it. A successful response to a request clears its parts of all crashes recorded before the request was sent.
 * What remains against a part are the crashes since the last request that completed with it. A part is quarantined
 * after {@link #CRASHES_UNTIL_QUARANTINE} such crashes under several requests if
 *
 * <ul>
 *   <li>no request has completed with it recently, and no other such part accounts for as many of the crashes, or
 *   <li>nothing has completed with it for {@link #OBSERVATION_TIME}, while requests to the same routes without it have.
 *       If targets have been writing responses with it meanwhile, {@link #CRASHES_IF_WRITTEN} crashes are needed.
 * </ul>
 *
 * <p>Parts of requests that merely run beside the cause are popular, so that a request with them soon completes, or
 * rare, so that few crashes are recorded against them.
 *
 * <p>After a quarantine, one request with the part is permitted. VMs wait for different times, so that a single VM
 * tries; each crash doubles the quarantine.
 *
 * <p>This class is thread-safe. Its memory is bounded, whatever parts the callers send.
 */
public final class PromptPartSuspects {

    /** The number of crashes since the last completed request after which a part may be quarantined. */
    public static final int CRASHES_UNTIL_QUARANTINE = 4;

    /** The number of crashes that suffice if several parts account for them equally well. */
    static final int CRASHES_IF_AMBIGUOUS = 5;

    /** The number of crashes needed if targets seem to run requests with the part. */
    static final int CRASHES_IF_WRITTEN = 8;

    /** The number of distinct requests that must have crashed targets; a single one is quarantined by itself. */
    static final int REQUESTS_UNTIL_QUARANTINE = 3;

    /** The number of crashes since the last completed request after which broken requests are not repeated. */
    static final int CRASHES_UNTIL_SUSPECT = 3;

    /** How long a part with which requests used to complete must have had the opportunity to do so again. */
    static final Duration OBSERVATION_TIME = Duration.ofSeconds(2);

    /** The number of distinct requests without the part that must have completed meanwhile, at all VMs together. */
    static final int COMPLETIONS_OF_OTHERS = 4;

    /** How long a completed request speaks for its parts in later crashes. */
    static final Duration COMPLETION_MEMORY = Duration.ofMinutes(1);

    /** Crashes of several targets within this time have a common cause, which is no single request. */
    static final Duration SIMULTANEITY = Duration.ofMillis(20);

    /** Minimum duration of the first quarantine of a part. */
    static final Duration INITIAL_QUARANTINE = Duration.ofMinutes(1);

    /** Maximum duration of a quarantine on the VM that tries first. */
    static final Duration MAX_QUARANTINE = Duration.ofMinutes(30);

    /** Crashes later than this after the previous one were caused by a trial after a quarantine. */
    static final Duration STRAGGLER_TIME = Duration.ofSeconds(10);

    /** How long an entry is kept after its last crash, or after its quarantine. */
    static final Duration ENTRY_TTL = Duration.ofMinutes(10);

    /** The maximum number of parts with crashes, and of parts with completions. */
    static final int MAX_ENTRIES = 4_096;

    /** The maximum number of crashes that are kept for a part. */
    static final int MAX_CRASHES = 64;

    /** The number of latest crashes of a part in a report; fewer than are kept, so that none is reported as new again. */
    static final int MAX_REPORTED_CRASHES = 8;

    /** The maximum number of entries in one report to a peer. */
    static final int MAX_REPORT_ENTRIES = 100;

    private static final int MAX_ID_LENGTH = 64;

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final SequencedMap<String, PromptPartEntry> entries = new LinkedHashMap<>();
    private final SequencedMap<String, Long> completionNanos = new LinkedHashMap<>();
    private @Nullable String lastCrash;
    private long lastCrashNanos;
    private volatile boolean empty = true;

    /**
     * Creates an empty table.
     *
     * @param clock the monotonic clock
     * @param random spreads the ends of quarantines over the VMs
     */
    public PromptPartSuspects(MonotonicClock clock, RandomGenerator random) {
        this.clock = clock;
        this.random = random;
    }

    /**
     * Returns whether broken requests with these parts must not be repeated at another target.
     *
     * @param parts the shared parts of a request
     * @return true if one of them is suspected of crashing targets
     */
    public boolean isSuspect(Collection<String> parts) {
        return mostCrashes(parts) >= CRASHES_UNTIL_SUSPECT;
    }

    /**
     * Returns the number of crashes that speak against the worst of several parts.
     *
     * @param parts the shared parts of a request
     * @return the number of crashes since a request completed with the part
     */
    public int mostCrashes(Collection<String> parts) {
        if (empty || parts.isEmpty()) {
            return 0;
        }
        synchronized (this) {
            return parts.stream()
                    .map(PromptPartSuspects::key)
                    .mapToInt(part -> {
                        PromptPartEntry entry = entries.get(part);
                        return entry == null ? 0 : unexplained(part, entry).size();
                    })
                    .max()
                    .orElse(0);
        }
    }

    /**
     * Returns how long a request must not run because of its parts. After the quarantine of a part, permits this one
     * request and extends the quarantine, so that other requests wait for its outcome.
     *
     * @param parts the shared parts of the request
     * @return the remaining quarantine, or zero if the request may run now
     */
    public Duration acquireRun(Collection<String> parts) {
        if (empty || parts.isEmpty()) {
            return Duration.ZERO;
        }
        synchronized (this) {
            Duration remaining = Duration.ZERO;
            Set<PromptPartEntry> due = new HashSet<>();
            for (String part : parts) {
                PromptPartEntry entry = entries.get(key(part));
                if (entry == null || !isQuarantined(key(part), entry)) {
                    continue;
                }
                Duration left = entry.quarantineEnd.remaining(clock);
                if (left.compareTo(remaining) > 0) {
                    remaining = left;
                }
                due.add(entry);
            }
            if (remaining.isZero()) {
                due.forEach(this::restartQuarantine);
            }
            return remaining;
        }
    }

    /**
     * Returns the quarantined ones of several parts.
     *
     * @param parts the shared parts of a request
     * @return the ids of the quarantined parts
     */
    public synchronized Set<String> quarantined(Collection<String> parts) {
        return parts.stream()
                .map(PromptPartSuspects::key)
                .filter(part -> {
                    PromptPartEntry entry = entries.get(part);
                    return entry != null && entry.quarantined;
                })
                .collect(Collectors.toSet());
    }

    /**
     * Records that a target crashed while running a request.
     *
     * @param crash a name of the crash that all VMs use
     * @param parts the shared parts of the request
     * @param route the name of the request's route
     * @param fingerprint the request's fingerprint
     */
    public synchronized void recordCrash(String crash, Collection<String> parts, String route, long fingerprint) {
        long now = clock.nanos();
        String previous = lastCrash;
        boolean alone = previous == null || previous.equals(crash) || now - lastCrashNanos > SIMULTANEITY.toNanos();
        if (previous != null && !alone) {
            markSimultaneous(previous);
        }
        lastCrash = crash;
        lastCrashNanos = now;
        for (String part : parts) {
            PromptPartEntry entry =
                    recordCrashes(key(part), Map.of(crash, new PromptPartReport.Crash(alone, fingerprint)));
            if (entry != null) {
                entry.observed = true;
                entry.addRoute(route);
            }
        }
    }

    private void markSimultaneous(String crash) {
        for (PromptPartEntry entry : entries.values()) {
            entry.crashes.computeIfPresent(crash, (name, recorded) -> recorded.notAlone());
        }
    }

    /**
     * Records that a request received a complete, successful response.
     *
     * @param parts the shared parts of the request
     * @param route the name of the request's route
     * @param fingerprint the request's fingerprint
     * @param sentNanos the clock reading when the request was sent to the target that responded
     * @return the parts that were cleared of crashes
     */
    public synchronized Set<String> recordCompletion(
            Collection<String> parts, String route, long fingerprint, long sentNanos) {
        Set<String> keys = parts.stream().map(PromptPartSuspects::key).collect(Collectors.toSet());
        for (String key : keys) {
            completionNanos.remove(key);
            completionNanos.put(key, sentNanos);
        }
        while (completionNanos.size() > MAX_ENTRIES) {
            completionNanos.pollFirstEntry();
        }
        if (empty) {
            return Set.of();
        }
        Set<String> cleared = new HashSet<>();
        entries.forEach((key, entry) -> {
            if (keys.contains(key)) {
                if (entry.clear(crash -> crash.getValue().recordedNanos() - sentNanos < 0, clock.nanos())) {
                    cleared.add(key);
                }
            } else if (!entry.crashes.isEmpty() && entry.routes.contains(route) && sentNanos - entry.firstNanos() > 0) {
                entry.addCompletedWithout(Set.of(fingerprint), clock.nanos());
            }
        });
        return cleared;
    }

    /**
     * Records that a target has been writing the response to a request for a while. It may still crash, so this clears
     * no crashes, but more of them are needed for a quarantine.
     *
     * @param parts the shared parts of the request
     * @param sentNanos the clock reading when the request was sent to the target
     */
    public synchronized void recordWriting(Collection<String> parts, long sentNanos) {
        for (String part : parts) {
            PromptPartEntry entry = entries.get(key(part));
            if (entry != null && !entry.crashes.isEmpty() && sentNanos - entry.firstNanos() > 0) {
                entry.written = true;
                entry.writtenHere = true;
            }
        }
    }

    /**
     * Returns the quarantined parts, and those for which a crash was recorded or cleared recently.
     *
     * @param window how recently
     * @return the report for the peers
     */
    public synchronized PromptPartReport recentReport(Duration window) {
        if (empty) {
            return PromptPartReport.EMPTY;
        }
        long oldestNanos = clock.nanos() - window.toNanos();
        removeExpired();
        Map<String, Set<String>> cleared = new HashMap<>();
        Set<String> quarantined = new HashSet<>();
        entries.forEach((part, entry) -> {
            if (cleared.size() < MAX_REPORT_ENTRIES && entry.clearedNanos - oldestNanos >= 0) {
                cleared.put(part, Set.copyOf(entry.cleared));
            }
            if (isQuarantined(part, entry)) {
                quarantined.add(part);
            }
        });
        Map<String, Map<String, PromptPartReport.Crash>> crashes =
                report(entry -> entry.quarantined || entry.changedNanos() - oldestNanos >= 0);
        Set<String> completed =
                crashes.keySet().stream().filter(this::hasCompletedHere).collect(Collectors.toSet());
        Set<String> written =
                crashes.keySet().stream().filter(this::isWrittenHere).collect(Collectors.toSet());
        return new PromptPartReport(
                crashes, cleared, quarantined, completed, written, completedWithout(crashes.keySet()));
    }

    private Map<String, Map<String, Set<Long>>> completedWithout(Set<String> parts) {
        Map<String, Map<String, Set<Long>>> completed = new HashMap<>();
        for (String part : parts) {
            PromptPartEntry entry = entries.get(part);
            if (entry != null
                    && entry.crashes.size() >= CRASHES_UNTIL_QUARANTINE
                    && !entry.completedWithout.isEmpty()) {
                completed.put(part, Map.of(entry.crashes.firstEntry().getKey(), Set.copyOf(entry.completedWithout)));
            }
        }
        return completed;
    }

    /**
     * Returns the crashes of the quarantined parts of which this VM has observed at least one itself.
     *
     * @return for each part, the crashes by their names
     */
    public synchronized Map<String, Map<String, PromptPartReport.Crash>> observedQuarantines() {
        return report(entry -> entry.quarantined && entry.observed);
    }

    private Map<String, Map<String, PromptPartReport.Crash>> report(Predicate<PromptPartEntry> condition) {
        return entries.sequencedEntrySet().reversed().stream()
                .filter(row -> !row.getValue().crashes.isEmpty() && condition.test(row.getValue()))
                .sorted(Comparator.comparingInt(row -> -row.getValue().crashes.size()))
                .limit(MAX_REPORT_ENTRIES)
                .collect(Collectors.toMap(
                        Map.Entry::getKey, row -> row.getValue().latestCrashes()));
    }

    /**
     * Merges what a peer reports.
     *
     * @param report the peer's report
     */
    public synchronized void mergeReport(PromptPartReport report) {
        report.cleared().forEach((part, crashes) -> {
            PromptPartEntry entry = entries.get(part);
            if (entry != null) {
                entry.addCleared(crashes);
                entry.clear(crash -> crashes.contains(crash.getKey()), entry.clearedNanos);
            }
        });
        report.crashes().forEach(this::recordCrashes);
        for (String part : report.quarantined()) {
            PromptPartEntry entry = entries.get(part);
            if (entry != null) {
                entry.quarantinedByPeer = true;
            }
        }
        for (String part : report.completed()) {
            PromptPartEntry entry = entries.get(part);
            if (entry != null) {
                entry.completedElsewhere = Deadline.after(clock, COMPLETION_MEMORY);
            }
        }
        for (String part : report.written()) {
            PromptPartEntry entry = entries.get(part);
            if (entry != null) {
                entry.written = true;
            }
        }
        report.completedWithout().forEach((part, completed) -> {
            PromptPartEntry entry = entries.get(part);
            if (entry != null) {
                completed.forEach((crash, fingerprints) -> {
                    if (entry.crashes.containsKey(crash)) {
                        entry.addCompletedWithout(fingerprints, clock.nanos());
                    }
                });
            }
        });
    }

    /**
     * Merges quarantines from before a restart.
     *
     * @param quarantines for each part, the crashes by their names
     */
    public synchronized void mergeQuarantines(Map<String, Map<String, PromptPartReport.Crash>> quarantines) {
        mergeReport(new PromptPartReport(quarantines, Map.of(), quarantines.keySet(), Set.of(), Set.of(), Map.of()));
    }

    private @Nullable PromptPartEntry recordCrashes(String part, Map<String, PromptPartReport.Crash> crashes) {
        PromptPartEntry entry = entries.get(part);
        long now = clock.nanos();
        if (entry == null) {
            entry = new PromptPartEntry(now - ENTRY_TTL.toNanos());
        }
        boolean changed = false;
        for (Map.Entry<String, PromptPartReport.Crash> crash : crashes.entrySet()) {
            changed |= entry.add(crash.getKey(), crash.getValue(), now);
        }
        if (!changed) {
            return entries.get(part);
        }
        if (entry.quarantined) {
            boolean trialFailed = now - entry.lastCrashNanos > STRAGGLER_TIME.toNanos();
            entry.failedTrials += trialFailed ? 1 : 0;
            restartQuarantine(entry);
        }
        entry.lastCrashNanos = now;
        entry.expiry = Deadline.after(clock, ENTRY_TTL);
        entries.remove(part);
        entries.put(part, entry);
        empty = false;
        removeExpired();
        return entry;
    }

    /** Removes expired entries, and beyond the maximum number those with the fewest crashes, the oldest first. */
    private void removeExpired() {
        entries.values()
                .removeIf(entry ->
                        entry.expiry.hasPassed(clock) && (!entry.quarantined || entry.quarantineEnd.hasPassed(clock)));
        int fewest = 1;
        while (entries.size() > MAX_ENTRIES) {
            Iterator<PromptPartEntry> oldestFirst = entries.values().iterator();
            while (entries.size() > MAX_ENTRIES && oldestFirst.hasNext()) {
                if (oldestFirst.next().crashes.size() <= fewest) {
                    oldestFirst.remove();
                }
            }
            fewest++;
        }
        empty = entries.isEmpty();
    }

    private boolean isQuarantined(String part, PromptPartEntry entry) {
        if (!entry.quarantined && causesCrashes(part, entry)) {
            entry.quarantined = true;
            restartQuarantine(entry);
        } else if (entry.quarantined && unexplained(part, entry).size() < CRASHES_UNTIL_QUARANTINE) {
            entry.release();
        }
        return entry.quarantined;
    }

    private void restartQuarantine(PromptPartEntry entry) {
        Duration quarantine = INITIAL_QUARANTINE;
        for (int i = 0; i < entry.failedTrials && quarantine.compareTo(MAX_QUARANTINE) < 0; i++) {
            quarantine = quarantine.multipliedBy(2);
        }
        long spreadNanos = quarantine.multipliedBy(2).toNanos();
        entry.quarantineEnd = Deadline.after(clock, quarantine.plusNanos(random.nextLong(spreadNanos)));
    }

    private boolean causesCrashes(String part, PromptPartEntry entry) {
        if (entry.crashes.size() < CRASHES_UNTIL_QUARANTINE) {
            return false;
        }
        Set<String> crashes = unexplained(part, entry);
        if (crashes.size() < CRASHES_UNTIL_QUARANTINE || entry.distinctRequests(crashes) < REQUESTS_UNTIL_QUARANTINE) {
            return false;
        }
        if (!hasCompleted(part) && crashes.stream().filter(entry::isAlone).count() >= CRASHES_UNTIL_QUARANTINE) {
            return entry.quarantinedByPeer || crashes.size() >= CRASHES_IF_AMBIGUOUS || !isAmbiguous(entry, crashes);
        }
        return crashes.size() >= (entry.written ? CRASHES_IF_WRITTEN : CRASHES_UNTIL_QUARANTINE)
                && clock.nanos() - entry.firstNanos() >= OBSERVATION_TIME.toNanos()
                && (entry.quarantinedByPeer || entry.completedWithout.size() >= COMPLETIONS_OF_OTHERS);
    }

    /** Returns the crashes of a part for which no quarantined part accounts better. */
    private Set<String> unexplained(String part, PromptPartEntry entry) {
        Set<String> crashes = new HashSet<>(entry.crashes.keySet());
        if (crashes.isEmpty()) {
            return crashes;
        }
        boolean completed = hasCompleted(part);
        entries.forEach((otherPart, other) -> {
            if (other.quarantined && other != entry && explains(other, hasCompleted(otherPart), entry, completed)) {
                crashes.removeAll(other.crashes.keySet());
            }
        });
        return crashes;
    }

    /**
     * Returns whether a part accounts better for crashes than another one: by their number, unless the part with more of
     * them has completed requests, and all its crashes of single targets since the first one of the other are crashes of both.
     */
    private static boolean explains(
            PromptPartEntry cause, boolean causeCompleted, PromptPartEntry entry, boolean completed) {
        boolean more = cause.crashes.size() > entry.crashes.size();
        if (causeCompleted == completed) {
            return more;
        }
        return completed
                ? more || entry.hasOnlyCommonCrashesSince(cause)
                : more && !cause.hasOnlyCommonCrashesSince(entry);
    }

    /** Returns whether another part with which nothing has completed accounts for half of the crashes or more. */
    private boolean isAmbiguous(PromptPartEntry entry, Set<String> crashes) {
        for (Map.Entry<String, PromptPartEntry> other : entries.entrySet()) {
            if (other.getValue() == entry || hasCompleted(other.getKey())) {
                continue;
            }
            long common = crashes.stream()
                    .filter(other.getValue().crashes::containsKey)
                    .count();
            if (2 * common >= crashes.size()) {
                return true;
            }
        }
        return false;
    }

    private boolean hasCompleted(String part) {
        PromptPartEntry entry = entries.get(part);
        return hasCompletedHere(part) || (entry != null && !entry.completedElsewhere.hasPassed(clock));
    }

    private boolean hasCompletedHere(String part) {
        Long nanos = completionNanos.get(part);
        return nanos != null && clock.nanos() - nanos < COMPLETION_MEMORY.toNanos();
    }

    private boolean isWrittenHere(String part) {
        PromptPartEntry entry = entries.get(part);
        return entry != null && entry.writtenHere;
    }

    /** Returns the id of a part, or a hash of it if it is long, since ids come from callers. */
    private static String key(String part) {
        return part.length() <= MAX_ID_LENGTH
                ? part
                : Long.toHexString(Hashing.komihash5_0().hashCharsToLong(part));
    }
}
