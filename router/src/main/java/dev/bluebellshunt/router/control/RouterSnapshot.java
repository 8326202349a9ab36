package dev.bluebellshunt.router.control;

import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Immutable view of the control state for the threads that handle requests.
 *
 * @param configuration the configuration revision in use
 * @param routing the targets that accept requests
 * @param configurationCurrentUntil until when there is evidence that the configuration revision is the latest, or null if
 *     there has never been any
 * @param members all routers, including this one
 * @param lendersByGroup the addresses of peers that may lend tokens, by workspace group
 */
public record RouterSnapshot(
        FleetConfiguration configuration,
        RoutingSnapshot routing,
        @Nullable Deadline configurationCurrentUntil,
        List<Member> members,
        Map<Integer, List<String>> lendersByGroup) {

    /** The snapshot that is in use until the first tick of the control thread. */
    public static final RouterSnapshot EMPTY =
            new RouterSnapshot(FleetConfiguration.EMPTY, RoutingSnapshot.EMPTY, null, List.of(), Map.of());

    public RouterSnapshot {
        members = List.copyOf(members);
        lendersByGroup = Map.copyOf(lendersByGroup);
    }

    /**
     * Returns whether there is evidence now that the configuration revision is the latest. A snapshot may be as old as the
     * last pause of the VM is long.
     *
     * @param clock the clock of the control thread
     * @return false if API keys must not be verified with this snapshot
     */
    public boolean isConfigurationCurrent(MonotonicClock clock) {
        Deadline end = configurationCurrentUntil;
        return end != null && !end.hasPassed(clock);
    }
}
