package dev.bluebellshunt.router.control;

import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.limit.ShareGroup;
import dev.bluebellshunt.core.limit.ShareSystem;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.model.FleetConfiguration;
import dev.bluebellshunt.core.routing.RoutingSnapshot;
import dev.bluebellshunt.core.spread.ConfigurationSystem;
import dev.bluebellshunt.core.target.TargetTable;
import dev.bluebellshunt.core.target.TargetView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Publishes a snapshot at the end of each tick in which something changed. */
public final class SnapshotSystem implements ControlSystem {

    private final ConfigurationSystem spread;
    private final TargetTable targets;
    private final MemberTable members;
    private final ShareSystem shares;
    private final SnapshotHolder holder;
    private FleetConfiguration configuration = FleetConfiguration.EMPTY;
    private List<TargetView> lastViews = List.of();
    private RoutingSnapshot routing = RoutingSnapshot.EMPTY;

    /**
     * Creates the system.
     *
     * @param spread tells whether the revision in force is the latest
     * @param targets the table of targets
     * @param members the table of members
     * @param shares tells which VMs hold shares
     * @param holder receives the snapshots
     */
    public SnapshotSystem(
            ConfigurationSystem spread,
            TargetTable targets,
            MemberTable members,
            ShareSystem shares,
            SnapshotHolder holder) {
        this.spread = spread;
        this.targets = targets;
        this.members = members;
        this.shares = shares;
        this.holder = holder;
    }

    /**
     * Takes over the revision in force.
     *
     * @param inForce the revision
     */
    public void configuration(FleetConfiguration inForce) {
        configuration = inForce;
    }

    @Override
    public void tick() {
        List<TargetView> views = targets.views();
        if (!views.equals(lastViews)) {
            lastViews = views;
            routing = new RoutingSnapshot(views);
        }
        RouterSnapshot next = new RouterSnapshot(configuration, routing, spread.isCurrent(), members.all(), lenders());
        if (!next.equals(holder.snapshot())) {
            holder.publish(next);
        }
    }

    private Map<Integer, List<String>> lenders() {
        Map<Integer, List<String>> lenders = new HashMap<>();
        List<Member> alive = members.alivePeers();
        for (int group = 0; group < ShareGroup.COUNT; group++) {
            lenders.put(group, lenders(group, alive));
        }
        return lenders;
    }

    /** Holders first; while none is known, any peer may be one. */
    private List<String> lenders(int group, List<Member> alive) {
        Set<String> addresses = new LinkedHashSet<>();
        for (String vm : shares.holders(group)) {
            Member peer = members.alivePeer(vm);
            if (peer != null) {
                addresses.add(peer.address());
            }
        }
        if (addresses.isEmpty()) {
            alive.forEach(peer -> addresses.add(peer.address()));
        }
        return new ArrayList<>(addresses);
    }
}
