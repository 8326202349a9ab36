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
 * The targets that are registered, kept up to date from whole listings.
 *
 * <p>Entries can lapse while the store is away although their targets live on. So after an outage an
 * entry that is missing is kept until the targets have had time to register again. Owned by the control
 * thread; {@link #snapshot()} may be read by all.
 */
public final class TargetDirectory {

    /** How long targets take to register again once the store is back: about two seconds. */
    static final Duration RETURN_TIME = Duration.ofSeconds(2);

    private static final Logger log = LoggerFactory.getLogger("targets");

    private final MonotonicClock clock;
    private final Map<TargetEntry.Incarnation, LiveTarget> views = new LinkedHashMap<>();
    private final Map<TargetEntry.Incarnation, TargetLoad> loads = new HashMap<>();
    private boolean storeWasAway;
    private Deadline keepMissingUntil;
    private volatile TargetSnapshot snapshot = TargetSnapshot.EMPTY;
    private volatile Set<TargetEntry.Incarnation> loading = Set.of();

    /**
     * Creates an empty directory.
     *
     * @param clock the clock to read
     */
    public TargetDirectory(MonotonicClock clock) {
        this.clock = clock;
        this.keepMissingUntil = new Deadline(clock.nanos());
    }

    /** Notes that the store did not give a listing. */
    public void storeAway() {
        storeWasAway = true;
    }

    /**
     * Takes a whole listing.
     *
     * @param listing all entries
     */
    public void update(List<TargetEntry> listing) {
        if (storeWasAway) {
            storeWasAway = false;
            keepMissingUntil = Deadline.after(clock, RETURN_TIME);
        }
        boolean keepMissing = !keepMissingUntil.hasPassed(clock);
        Map<TargetEntry.Incarnation, LiveTarget> before = new LinkedHashMap<>(views);
        views.clear();
        for (TargetEntry entry : listing) {
            TargetLoad load = loads.computeIfAbsent(entry.incarnation(), i -> new TargetLoad(clock));
            LiveTarget known = before.remove(entry.incarnation());
            if (known == null) {
                log.info("Target {} of {} registered at {}.", entry.id(), entry.pool(), entry.address());
            } else if (known.entry().leaving() != entry.leaving()) {
                log.info("Target {} of {} is now {}.", entry.id(), entry.pool(), entry.leaving() ? "leaving" : "ready");
            }
            views.put(entry.incarnation(), new LiveTarget(entry, load));
        }
        before.forEach((incarnation, view) -> {
            if (keepMissing && !isReplaced(view.entry(), listing)) {
                views.put(incarnation, view);
            } else {
                log.info(
                        "Target {} of {} is gone.",
                        incarnation.id(),
                        view.entry().pool());
            }
        });
        loads.keySet().retainAll(views.keySet());
        publish();
    }

    /** Whether a listing shows another incarnation of a target, or another target at its address. */
    private static boolean isReplaced(TargetEntry entry, List<TargetEntry> listing) {
        for (TargetEntry other : listing) {
            if (other.id().equals(entry.id()) || other.address().equals(entry.address())) {
                return true;
            }
        }
        return false;
    }

    private void publish() {
        Map<String, List<LiveTarget>> byPool = new HashMap<>();
        for (LiveTarget view : views.values()) {
            byPool.computeIfAbsent(view.entry().pool(), p -> new ArrayList<>()).add(view);
        }
        snapshot = new TargetSnapshot(byPool);
    }

    /**
     * The targets that may be used.
     *
     * @return an immutable snapshot
     */
    public TargetSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Notes what another VM has learned of engines' weights. May be called by any thread.
     *
     * @param loaded what engines have loaded
     */
    public void learnWeights(List<LoadedWeights> loaded) {
        for (LoadedWeights news : loaded) {
            for (List<LiveTarget> pool : snapshot.byPool().values()) {
                for (LiveTarget target : pool) {
                    if (target.entry().incarnation().equals(news.engine())) {
                        target.load().noteWeights(news.model(), news.version());
                    }
                }
            }
        }
    }

    /**
     * Says which engines are about to load weights, and are better left alone.
     *
     * @param engines the engines
     */
    public void setLoading(Set<TargetEntry.Incarnation> engines) {
        loading = engines;
    }

    /**
     * Engines that are about to load weights.
     *
     * @return the engines
     */
    public Set<TargetEntry.Incarnation> loading() {
        return loading;
    }
}
