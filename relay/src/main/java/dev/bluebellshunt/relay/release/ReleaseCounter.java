package dev.bluebellshunt.relay.release;

import dev.bluebellshunt.relay.model.TargetEntry;
import dev.bluebellshunt.relay.peer.ReleaseCounts;
import dev.bluebellshunt.relay.peer.ReleaseCounts.RouteCounts;
import dev.bluebellshunt.relay.peer.ReleaseCounts.VersionCounts;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Outcomes that this VM has seen since it learned of an order. Thread-safe. */
final class ReleaseCounter {

    private final Map<String, RouteCounts> byRoute = new HashMap<>();
    private final Set<TargetEntry.Incarnation> lost = new HashSet<>();

    synchronized void respond(String route, boolean newVersion, int group, boolean failed, boolean slow) {
        add(route, newVersion, group, new VersionCounts(1, failed ? 1 : 0, slow && !failed ? 1 : 0, 0));
    }

    /** Counts a lost connection or a timeout, once for each incarnation, so that a crash is not one of the version. */
    synchronized void lose(String route, boolean newVersion, int group, TargetEntry.Incarnation target) {
        if (lost.add(target)) {
            add(route, newVersion, group, new VersionCounts(0, 0, 0, 1));
        }
    }

    private void add(String route, boolean newVersion, int group, VersionCounts counts) {
        RouteCounts added =
                newVersion ? new RouteCounts(VersionCounts.NONE, counts) : new RouteCounts(counts, VersionCounts.NONE);
        byRoute.merge(ReleaseDecision.countName(route, newVersion ? group : 0), added, RouteCounts::plus);
    }

    /** Returns the counts, with the phase that this VM knows. */
    synchronized ReleaseCounts counts(ReleasePhase phase) {
        return new ReleaseCounts(Map.copyOf(byRoute), phase.number());
    }
}
