package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.relay.model.TargetEntry;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What one VM knows of the versions of a pool. Immutable, except for the counters of the order.
 *
 * @param base the version that serves the pool without the order
 * @param permitted the versions that get requests while no order is in force; none that has just appeared
 * @param current the order in force, or null if there is none
 * @param phase the phase of the order
 * @param verdict the current decision, as far as it concerns this VM
 * @param canary the new targets that receive the canary's requests
 * @param ranks the ranks of the new targets
 * @param baseAbsent whether no target of the base version is registered
 * @param validUntil when the state is too old for sends to a version under test
 */
record ReleaseState(
        String base,
        Set<String> permitted,
        @Nullable Current current,
        ReleasePhase phase,
        ReleaseDecision.Verdict verdict,
        Set<TargetEntry.Incarnation> canary,
        Map<TargetEntry.Incarnation, Integer> ranks,
        boolean baseAbsent,
        Deadline validUntil) {

    /**
     * An order with what this VM has counted since it learned of it.
     *
     * @param order the order
     * @param exposure the bound on sends to the new version
     * @param counter the outcomes
     */
    record Current(ReleaseOrder order, ReleaseExposure exposure, ReleaseCounter counter) {}

    /** Whether all requests go to the version that the order names. */
    boolean isNewOnly() {
        Current known = current;
        return known != null
                && (phase == ReleasePhase.ACCEPTED
                        || phase == ReleasePhase.COMPLETED
                        || known.order().targetVersion().equals(base)
                        || (phase == ReleasePhase.UNKNOWN && baseAbsent));
    }

    /** Whether requests go to targets of the old version. */
    boolean permitsOld() {
        return !isNewOnly();
    }

    String targetVersion() {
        Current known = current;
        return known == null ? base : known.order().targetVersion();
    }
}
