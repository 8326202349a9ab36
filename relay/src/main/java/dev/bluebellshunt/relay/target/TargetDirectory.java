package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedSet;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The registered targets, updated from full listings of the store.
 *
 * <p>During a store outage the entries of running targets can expire. Targets that are missing in the first listing
 * after an outage are therefore kept until they have had time to register again. Confined to the control thread,
 * except for {@link #snapshot()} and the methods that are documented as thread-safe.
 */
public final class TargetDirectory {

    /** Time that targets need to register again after a store outage. */
    static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(2);

    /** The maximum number of outages in a row that each give a missing target the time to register again. */
    static final int MAX_GRACES = 3;

    /** The maximum number of targets that are remembered as leaving, or as replaced; the first one is forgotten first. */
    private static final int MAX_REMEMBERED_TARGETS = 4_096;

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final MonotonicClock clock;
    private final Consumer<LiveTarget> endListener;
    private final Map<TargetEntry.Incarnation, Grace> missing = new HashMap<>();
    private final SequencedSet<TargetEntry.Incarnation> left = new LinkedHashSet<>();
    private final SequencedSet<TargetEntry.Incarnation> replaced = new LinkedHashSet<>();
    private final Map<TargetEntry.Incarnation, LiveTarget> targets = new LinkedHashMap<>();
    private final Map<TargetEntry.Incarnation, TargetLoad> loads = new HashMap<>();
    private volatile TargetSnapshot snapshot = TargetSnapshot.EMPTY;
    private volatile Set<TargetEntry.Incarnation> loading = Set.of();

    /**
     * The time that a target has to register again.
     *
     * @param deadline the time from which a listing without the target removes it
     * @param number the number of such times since the target was last listed
     */
    private record Grace(Deadline deadline, int number) {}

    /**
     * Creates an empty directory.
     *
     * @param clock the clock for backoff and stall detection
     * @param endListener receives targets that were not leaving when they, or their registrations, ended
     */
    public TargetDirectory(MonotonicClock clock, Consumer<LiveTarget> endListener) {
        this.clock = clock;
        this.endListener = endListener;
    }

    /**
     * Replaces the registered targets by a full listing.
     *
     * @param listed all entries in the store
     * @param asOfNanos the time as of which the listing was current
     * @param mayHaveExpired whether entries of running targets may have expired since the previous listing
     */
    public void update(List<TargetEntry> listed, long asOfNanos, boolean mayHaveExpired) {
        // A late write or a restored store may show a target that has ended in place of its successor.
        List<TargetEntry> listing = listed.stream()
                .filter(entry -> !replaced.contains(entry.incarnation()))
                .toList();
        updateFrom(listing, asOfNanos, mayHaveExpired);
    }

    private void updateFrom(List<TargetEntry> listing, long asOfNanos, boolean mayHaveExpired) {
        Map<TargetEntry.Incarnation, LiveTarget> previous = new LinkedHashMap<>(targets);
        previous.forEach((incarnation, target) -> {
            if (target.load().isLeaving()) {
                rememberLeaving(incarnation);
            }
        });
        targets.clear();
        for (TargetEntry listed : listing) {
            TargetEntry entry = rememberLeaving(listed);
            TargetLoad load = loads.computeIfAbsent(entry.incarnation(), i -> new TargetLoad(clock));
            LiveTarget known = previous.remove(entry.incarnation());
            if (known == null) {
                log.info("Target {} of pool {} registered at {}.", entry.id(), entry.pool(), entry.address());
            } else if (known.entry().leaving() != entry.leaving()) {
                log.info(
                        "Target {} of pool {} is now {}.",
                        entry.id(),
                        entry.pool(),
                        entry.leaving() ? "leaving" : "ready");
            }
            targets.put(entry.incarnation(), new LiveTarget(entry, load));
        }
        missing.keySet().retainAll(previous.keySet());
        previous.forEach((incarnation, target) -> {
            if (!isReplaced(target.entry(), listing) && isInGrace(incarnation, asOfNanos, mayHaveExpired)) {
                targets.put(incarnation, target);
                log.info(
                        "Target {} of pool {} is not registered, but kept after an outage.",
                        incarnation.id(),
                        target.entry().pool());
            } else {
                missing.remove(incarnation);
                if (isReplaced(target.entry(), listing)) {
                    remember(incarnation, replaced);
                }
                if (!target.isLeaving()) {
                    endListener.accept(target);
                }
                log.info(
                        "Target {} of pool {} is no longer registered.",
                        incarnation.id(),
                        target.entry().pool());
            }
        });
        loads.keySet().retainAll(targets.keySet());
        publishSnapshot();
    }

    /**
     * Returns the entry of a target, which is leaving once it has been. A write of an entry may be carried out after later
     * ones.
     */
    private TargetEntry rememberLeaving(TargetEntry entry) {
        if (entry.leaving()) {
            rememberLeaving(entry.incarnation());
            return entry;
        }
        return left.contains(entry.incarnation()) ? entry.asLeaving() : entry;
    }

    private void rememberLeaving(TargetEntry.Incarnation incarnation) {
        remember(incarnation, left);
    }

    private static void remember(TargetEntry.Incarnation incarnation, SequencedSet<TargetEntry.Incarnation> ended) {
        ended.add(incarnation);
        if (ended.size() > MAX_REMEMBERED_TARGETS) {
            ended.removeFirst();
        }
    }

    /** Returns whether a target that is missing in a listing still has time to register again. */
    private boolean isInGrace(TargetEntry.Incarnation incarnation, long asOfNanos, boolean mayHaveExpired) {
        Grace grace = missing.get(incarnation);
        int graces = grace == null ? 0 : grace.number();
        if (mayHaveExpired && graces < MAX_GRACES) {
            Deadline deadline = new Deadline(asOfNanos + REREGISTRATION_GRACE.toNanos());
            missing.put(incarnation, new Grace(deadline, graces + 1));
            return true;
        }
        return grace != null && asOfNanos - grace.deadline().atNanos() < 0;
    }

    /**
     * Returns the time from which a listing removes targets that are missing now.
     *
     * @return the earliest such time, or empty if no target is missing
     */
    Optional<Deadline> graceEnd() {
        return missing.values().stream().map(Grace::deadline).reduce(Deadline::earlier);
    }

    /** Returns whether a listing has another incarnation of a target, or another target at its address. */
    private static boolean isReplaced(TargetEntry entry, List<TargetEntry> listing) {
        for (TargetEntry listed : listing) {
            if (listed.id().equals(entry.id()) || listed.address().equals(entry.address())) {
                return true;
            }
        }
        return false;
    }

    private void publishSnapshot() {
        Map<String, List<LiveTarget>> byPool = new HashMap<>();
        for (LiveTarget target : targets.values()) {
            byPool.computeIfAbsent(target.entry().pool(), p -> new ArrayList<>())
                    .add(target);
        }
        snapshot = new TargetSnapshot(byPool);
    }

    /**
     * Returns the targets as of the last listing. Thread-safe.
     *
     * @return an immutable snapshot
     */
    public TargetSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Records weights that engines have loaded according to another VM. Thread-safe.
     *
     * @param loaded the weights that engines have loaded
     */
    public void recordLoadedWeights(List<LoadedWeights> loaded) {
        for (LoadedWeights weights : loaded) {
            for (List<LiveTarget> pool : snapshot.byPool().values()) {
                for (LiveTarget target : pool) {
                    if (target.entry().incarnation().equals(weights.engine())) {
                        target.load().recordWeights(weights.model(), weights.version());
                    }
                }
            }
        }
    }

    /**
     * Sets the engines that are about to load weights, to which requests should not be sent.
     *
     * @param engines the incarnations of the engines
     */
    public void setLoading(Set<TargetEntry.Incarnation> engines) {
        loading = engines;
    }

    /**
     * Returns the engines that are about to load weights. Thread-safe.
     *
     * @return the incarnations of the engines
     */
    public Set<TargetEntry.Incarnation> loading() {
        return loading;
    }
}
