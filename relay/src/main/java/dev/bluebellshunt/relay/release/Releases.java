package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.ReleaseCounts;
import dev.bluebellshunt.relay.target.LiveTarget;
import dev.bluebellshunt.relay.telemetry.RelayMetrics;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Which versions of a pool a request may be sent to, and what came of it. Thread-safe.
 *
 * <p>Without bounds in the settings, all versions are permitted and nothing is counted.
 */
public final class Releases {

    private final MonotonicClock clock;
    private final RelayMetrics metrics;
    private final Supplier<Set<TargetEntry.Incarnation>> loading;
    private final TypicalTimes typicalTimes = new TypicalTimes();
    private volatile Map<String, ReleaseState> states = Map.of();

    /**
     * Creates releases without orders.
     *
     * @param clock the time source
     * @param metrics counts the responses of both versions
     * @param loading the targets that load weights, whose responses are not compared
     */
    public Releases(MonotonicClock clock, RelayMetrics metrics, Supplier<Set<TargetEntry.Incarnation>> loading) {
        this.clock = clock;
        this.metrics = metrics;
        this.loading = loading;
    }

    void update(Map<String, ReleaseState> next) {
        states = Map.copyOf(next);
    }

    @Nullable
    ReleaseState state(String pool) {
        return states.get(pool);
    }

    /**
     * Begins the choice of a version for one request.
     *
     * @param pool the pool of the request
     * @return the choice, confined to the thread of the request except where stated otherwise
     */
    public Choice begin(String pool) {
        return new Choice(pool);
    }

    /**
     * Returns what this VM has counted, and the phases that it knows, by release.
     *
     * @return the counts since this VM learned of each order
     */
    public Map<String, ReleaseCounts> observations() {
        Map<String, ReleaseCounts> observed = new HashMap<>();
        for (ReleaseState state : states.values()) {
            ReleaseState.Current current = state.current();
            if (current != null) {
                observed.put(current.order().id(), current.counter().counts(state.phase()));
            }
        }
        return observed;
    }

    /** The version of one request, which stays the same for all its sends once a target may have run it. */
    public final class Choice {
        private final String pool;
        private volatile @Nullable Boolean newVersion;
        private boolean counted;

        private Choice(String pool) {
            this.pool = pool;
        }

        /**
         * Chooses the version of the next send.
         *
         * @param possiblyExecuted whether a target may have run the request already
         */
        public void chooseForSend(boolean possiblyExecuted) {
            ReleaseState state = states.get(pool);
            ReleaseState.Current current = state == null ? null : state.current();
            if (state == null || current == null) {
                return;
            }
            if (!counted) {
                counted = true;
                current.exposure().recordRequest();
            }
            if (possiblyExecuted && Boolean.FALSE.equals(newVersion)) {
                return;
            }
            boolean permitted = state.isNewOnly()
                    || (isCanaryOpen(state) && current.exposure().tryAcquire(state.verdict()));
            // A request that has run on the new version is not sent to the old one; it gets no target instead.
            newVersion = permitted || possiblyExecuted;
            if (!permitted && possiblyExecuted) {
                newVersion = null;
            }
        }

        /**
         * Chooses the old version instead of the new one, if no target of the new one is available.
         *
         * @param possiblyExecuted whether a target may have run the request already
         * @return true if the choice has changed
         */
        public boolean fallBack(boolean possiblyExecuted) {
            ReleaseState state = states.get(pool);
            if (possiblyExecuted || !Boolean.TRUE.equals(newVersion) || state == null || !state.permitsOld()) {
                return false;
            }
            newVersion = false;
            return true;
        }

        /**
         * Returns whether the next send may go to a target. Thread-safe.
         *
         * @param target the target
         * @return true if its version is the one chosen, and orders still permit it
         */
        public boolean permits(LiveTarget target) {
            ReleaseState state = states.get(pool);
            String version = target.entry().softwareVersion();
            if (state == null) {
                return true;
            }
            if (state.current() == null || state.phase().isFinal()) {
                return state.permitted().contains(version);
            }
            Boolean chosen = newVersion;
            if (chosen == null) {
                return false;
            }
            if (!chosen) {
                return state.permitsOld() && version.equals(state.base());
            }
            return version.equals(state.targetVersion())
                    && (state.isNewOnly()
                            || (isCanaryOpen(state)
                                    && state.canary().contains(target.entry().incarnation())));
        }

        /**
         * Counts a complete response that is not a rejection, or the begin of a streamed one.
         *
         * @param target the target
         * @param route the name of the route
         * @param failed whether it reports a failure of the target
         * @param nanos the time since the send
         */
        public void recordResponse(LiveTarget target, String route, boolean failed, long nanos) {
            ReleaseState state = states.get(pool);
            if (state == null || loading.get().contains(target.entry().incarnation())) {
                return;
            }
            ReleaseState.Current current = state.current();
            boolean tested = isNew(state, target);
            boolean slow = !failed && typicalTimes.isSlow(route, nanos);
            if (!failed && (!tested || state.phase() == ReleasePhase.COMPLETED)) {
                typicalTimes.record(route, nanos);
            }
            if (current != null && !state.phase().isFinal()) {
                current.counter().respond(route, tested, group(state, target), failed, slow);
                metrics.releaseResponse(tested ? "new" : "old", failed ? "failed" : slow ? "slow" : "ok");
            }
        }

        /**
         * Counts a lost connection or a timeout.
         *
         * @param target the target
         * @param route the name of the route
         */
        public void recordLost(LiveTarget target, String route) {
            ReleaseState state = states.get(pool);
            ReleaseState.Current current = state == null ? null : state.current();
            if (state != null && current != null) {
                current.counter()
                        .lose(
                                route,
                                isNew(state, target),
                                group(state, target),
                                target.entry().incarnation());
            }
        }

        private static boolean isNew(ReleaseState state, LiveTarget target) {
            return state.current() != null
                    && !state.targetVersion().equals(state.base())
                    && target.entry().softwareVersion().equals(state.targetVersion());
        }

        private static int group(ReleaseState state, LiveTarget target) {
            return state.ranks().getOrDefault(target.entry().incarnation(), 0) % ReleaseDecision.GROUPS;
        }
    }

    private boolean isCanaryOpen(ReleaseState state) {
        return state.phase() == ReleasePhase.RUNNING
                && state.verdict().share() > 0
                && !state.validUntil().hasPassed(clock);
    }

    /**
     * Returns whether two targets may share cached prompts.
     *
     * @param first a target
     * @param second another target of the same pool
     * @return false if an order is in force for the pool and their versions differ
     */
    public boolean sameVersion(LiveTarget first, LiveTarget second) {
        return !states.containsKey(first.entry().pool())
                || first.entry().softwareVersion().equals(second.entry().softwareVersion());
    }
}
