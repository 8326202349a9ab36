package dev.bluebellshunt.router.control;

import dev.bluebellshunt.core.control.ControlExecutor;
import dev.bluebellshunt.core.control.ControlSystem;
import dev.bluebellshunt.core.control.JitteredTimer;
import dev.bluebellshunt.core.limit.ShareSystem;
import dev.bluebellshunt.core.member.GossipSystem;
import dev.bluebellshunt.core.member.Member;
import dev.bluebellshunt.core.member.MemberTable;
import dev.bluebellshunt.core.target.TargetTable;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.transport.VmEntry;
import dev.bluebellshunt.transport.VmList;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Reads the platform's list of VMs, and tells other systems which VMs are leaving and which are gone.
 *
 * <p>The list lags, so a VM counts as gone only once it has been missing for {@link #GONE_AFTER}.
 */
public final class VmListSystem implements ControlSystem {

    /** How long a VM must be missing from the list before it counts as gone. */
    static final Duration GONE_AFTER = Duration.ofSeconds(60);

    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private final VmList list;
    private final MemberTable members;
    private final GossipSystem gossip;
    private final TargetTable targets;
    private final ShareSystem shares;
    private final Set<String> settingsSeeds;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer every;
    private final Map<String, Deadline> goneAt = new HashMap<>();
    private final Set<String> everSeen = new HashSet<>();
    private boolean pending;

    /**
     * Creates the system.
     *
     * @param list the platform's list
     * @param members the table of members
     * @param gossip is told of peers to try
     * @param targets is told of leaving VMs
     * @param shares is told of VMs that are gone
     * @param settingsSeeds peers that the settings name
     * @param control runs work on the control thread
     * @param clock the clock to read
     * @param random the source of jitter
     */
    public VmListSystem(
            VmList list,
            MemberTable members,
            GossipSystem gossip,
            TargetTable targets,
            ShareSystem shares,
            Set<String> settingsSeeds,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.list = list;
        this.members = members;
        this.gossip = gossip;
        this.targets = targets;
        this.shares = shares;
        this.settingsSeeds = Set.copyOf(settingsSeeds);
        this.control = control;
        this.clock = clock;
        this.every = new JitteredTimer(clock, random, INTERVAL);
        gossip.setSeedAddresses(settingsSeeds);
    }

    @Override
    public void tick() {
        if (pending || !every.isDue()) {
            return;
        }
        pending = true;
        control.onCompletion(
                list.read(),
                entries -> {
                    pending = false;
                    received(entries);
                },
                failure -> pending = false);
    }

    private void received(List<VmEntry> entries) {
        targets.setHostsLeavingByList(entries.stream()
                .filter(entry -> !entry.isRouter() && entry.isLeaving())
                .map(VmEntry::host)
                .collect(Collectors.toSet()));
        Set<String> seeds = new TreeSet<>(settingsSeeds);
        Set<String> listed = new HashSet<>();
        for (VmEntry entry : entries) {
            if (entry.isRouter()) {
                listed.add(entry.vm());
                seeds.add(entry.host() + ":" + entry.peerPort());
            }
        }
        gossip.setSeedAddresses(seeds);
        members.setExpectedRouters(listed.size());
        markGone(listed);
    }

    private void markGone(Set<String> listed) {
        everSeen.addAll(listed);
        members.all().stream().map(Member::vm).forEach(everSeen::add);
        everSeen.addAll(shares.knownHolders());
        goneAt.keySet().removeAll(listed);
        Set<String> gone = new HashSet<>();
        for (String vm : everSeen) {
            if (listed.contains(vm)) {
                continue;
            }
            if (goneAt.computeIfAbsent(vm, v -> Deadline.after(clock, GONE_AFTER))
                    .hasPassed(clock)) {
                gone.add(vm);
            }
        }
        gone.remove(members.self().vm());
        members.removeMembers(gone);
        shares.setTerminatedVms(gone);
        everSeen.removeAll(gone);
        everSeen.addAll(shares.knownHolders());
    }
}
