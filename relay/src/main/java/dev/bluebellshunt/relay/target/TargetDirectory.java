package dev.bluebellshunt.relay.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The registered targets, updated from full listings of the store.
 *
 * <p>During a store outage the entries of live targets can expire. After an outage, missing entries are therefore
 * kept until targets have had time to register again. Confined to the control thread, except for
 * {@link #snapshot()} and the methods that are documented as thread-safe.
 */
public final class TargetDirectory {

    /** Time that targets need to register again after a store outage. */
    static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(2);

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final MonotonicClock clock;
    private final Map<TargetEntry.Incarnation, LiveTarget> targets = new LinkedHashMap<>();
    private final Map<TargetEntry.Incarnation, TargetLoad> loads = new HashMap<>();
    private boolean storeWasUnavailable;
    private Deadline graceDeadline;
    private volatile TargetSnapshot snapshot = TargetSnapshot.EMPTY;
    private volatile Set<TargetEntry.Incarnation> loading = Set.of();

    /**
     * Creates an empty directory.
     *
     * @param clock the clock for the grace period
     */
    public TargetDirectory(MonotonicClock clock) {
        this.clock = clock;
        this.graceDeadline = new Deadline(clock.nanos());
    }

    /** Records that reading the listing from the store failed. */
    public void recordStoreFailure() {
        storeWasUnavailable = true;
    }

    /**
     * Replaces the registered targets by a full listing.
     *
     * @param listing all entries in the store
     */
    public void update(List<TargetEntry> listing) {
        if (storeWasUnavailable) {
            storeWasUnavailable = false;
            graceDeadline = Deadline.after(clock, REREGISTRATION_GRACE);
        }
        boolean keepMissing = !graceDeadline.hasPassed(clock);
        Map<TargetEntry.Incarnation, LiveTarget> previous = new LinkedHashMap<>(targets);
        targets.clear();
        for (TargetEntry entry : listing) {
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
        previous.forEach((incarnation, target) -> {
            if (keepMissing && !isReplaced(target.entry(), listing)) {
                targets.put(incarnation, target);
                log.info(
                        "Target {} of pool {} is not registered, but kept for {} ms more after an outage.",
                        incarnation.id(),
                        target.entry().pool(),
                        graceDeadline.remaining(clock).toMillis());
            } else {
                log.info(
                        "Target {} of pool {} is no longer registered.",
                        incarnation.id(),
                        target.entry().pool());
            }
        });
        loads.keySet().retainAll(targets.keySet());
        publishSnapshot();
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
