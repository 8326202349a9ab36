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

/** Publishes a new snapshot at the end of each tick of the control thread that changed the control state. */
public final class SnapshotSystem implements ControlSystem {

    private final ConfigurationSystem configurationSystem;
    private final TargetTable targets;
    private final MemberTable members;
    private final ShareSystem shares;
    private final SnapshotHolder holder;
    private FleetConfiguration configuration = FleetConfiguration.EMPTY;
    private List<TargetView> lastTargetViews = List.of();
    private RoutingSnapshot routing = RoutingSnapshot.EMPTY;

    /**
     * Creates the publisher.
     *
     * @param configurationSystem tells until when there is evidence that the configuration revision is the latest
     * @param targets the target table
     * @param members the member table
     * @param shares tells which VMs hold shares of the limits
     * @param holder the holder to which snapshots are published
     */
    public SnapshotSystem(
            ConfigurationSystem configurationSystem,
            TargetTable targets,
            MemberTable members,
            ShareSystem shares,
            SnapshotHolder holder) {
        this.configurationSystem = configurationSystem;
        this.targets = targets;
        this.members = members;
        this.shares = shares;
        this.holder = holder;
    }

    /**
     * Sets the configuration to publish with the next snapshot.
     *
     * @param newConfiguration the configuration revision in use
     */
    public void setConfiguration(FleetConfiguration newConfiguration) {
        configuration = newConfiguration;
    }

    @Override
    public void tick() {
        List<TargetView> views = targets.views();
        if (!views.equals(lastTargetViews)) {
            lastTargetViews = views;
            routing = new RoutingSnapshot(views);
        }
        RouterSnapshot next = new RouterSnapshot(
                configuration,
                routing,
                configurationSystem.currentUntil().orElse(null),
                members.all(),
                lendersByGroup());
        if (!next.equals(holder.snapshot())) {
            holder.publish(next);
        }
    }

    private Map<Integer, List<String>> lendersByGroup() {
        Map<Integer, List<String>> lendersByGroup = new HashMap<>();
        List<Member> alivePeers = members.alivePeers();
        for (int group = 0; group < ShareGroup.COUNT; group++) {
            lendersByGroup.put(group, lendersOf(group, alivePeers));
        }
        return lendersByGroup;
    }

    /** Returns the peers that hold shares of a group, or all alive peers while no holder is known. */
    private List<String> lendersOf(int group, List<Member> alivePeers) {
        Set<String> addresses = new LinkedHashSet<>();
        for (String vm : shares.holders(group)) {
            Member peer = members.alivePeer(vm);
            if (peer != null) {
                addresses.add(peer.address());
            }
        }
        if (addresses.isEmpty()) {
            alivePeers.forEach(peer -> addresses.add(peer.address()));
        }
        return new ArrayList<>(addresses);
    }
}
