package dev.bluebellshunt.router.control;

import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import java.util.List;
import java.util.Map;

/**
 * All that traffic threads read of the control state. Immutable.
 *
 * @param configuration the revision in force
 * @param routing the targets that take work
 * @param current whether there are signs that the revision is the latest
 * @param members all routers, this one included
 * @param lenders addresses of peers that may lend tokens, by group of workspaces
 */
public record RouterSnapshot(
        FleetConfiguration configuration,
        RoutingSnapshot routing,
        boolean current,
        List<Member> members,
        Map<Integer, List<String>> lenders) {

    /** The snapshot before the first tick. */
    public static final RouterSnapshot EMPTY =
            new RouterSnapshot(FleetConfiguration.EMPTY, RoutingSnapshot.EMPTY, false, List.of(), Map.of());

    public RouterSnapshot {
        members = List.copyOf(members);
        lenders = Map.copyOf(lenders);
    }
}
