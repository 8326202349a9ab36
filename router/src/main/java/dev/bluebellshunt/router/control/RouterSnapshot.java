package dev.bluebellshunt.router.control;

import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import java.util.List;
import java.util.Map;

/**
 * Immutable view of the control state for the threads that handle requests.
 *
 * @param configuration the configuration revision in use
 * @param routing the targets that accept requests
 * @param configurationCurrent whether there is evidence that the configuration revision is the latest
 * @param members all routers, including this one
 * @param lendersByGroup the addresses of peers that may lend tokens, by workspace group
 */
public record RouterSnapshot(
        FleetConfiguration configuration,
        RoutingSnapshot routing,
        boolean configurationCurrent,
        List<Member> members,
        Map<Integer, List<String>> lendersByGroup) {

    /** The snapshot that is in use until the first tick of the control thread. */
    public static final RouterSnapshot EMPTY =
            new RouterSnapshot(FleetConfiguration.EMPTY, RoutingSnapshot.EMPTY, false, List.of(), Map.of());

    public RouterSnapshot {
        members = List.copyOf(members);
        lendersByGroup = Map.copyOf(lendersByGroup);
    }
}
