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

/**
 * Polls the platform's VM list, and reports leaving and terminated VMs to the other control systems.
 *
 * <p>The list is eventually consistent, so a VM is considered terminated only after it has been missing from
 * the list for {@link #TERMINATION_TIMEOUT}, up to a list that was requested after that time. Until then a missing
 * router still counts for the majority and as a seed, unless it was leaving. A host that was leaving stays so until it is
 * listed as live.
 */
public final class VmListSystem implements ControlSystem {

    /** How long a VM must be missing from the list before it is considered terminated. */
    static final Duration TERMINATION_TIMEOUT = Duration.ofSeconds(60);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

    private final VmList vmList;
    private final MemberTable members;
    private final GossipSystem gossip;
    private final TargetTable targets;
    private final ShareSystem shares;
    private final Set<String> configuredSeeds;
    private final ControlExecutor control;
    private final MonotonicClock clock;
    private final JitteredTimer timer;
    private final Map<String, Deadline> terminationDeadlines = new HashMap<>();
    private final Set<String> knownVms = new HashSet<>();
    private final Map<String, VmEntry> routers = new HashMap<>();
    private final Set<String> leavingHosts = new HashSet<>();
    private boolean readPending;

    /**
     * Creates the poller and registers the configured seeds.
     *
     * @param vmList the platform's VM list
     * @param members the member table, from which terminated VMs are removed
     * @param gossip receives the seed addresses
     * @param targets receives the hosts that are leaving
     * @param shares receives the terminated VMs
     * @param configuredSeeds the seed addresses from the settings
     * @param control runs callbacks on the control thread
     * @param clock the monotonic clock
     * @param random the source of jitter for the poll interval
     */
    public VmListSystem(
            VmList vmList,
            MemberTable members,
            GossipSystem gossip,
            TargetTable targets,
            ShareSystem shares,
            Set<String> configuredSeeds,
            ControlExecutor control,
            MonotonicClock clock,
            RandomGenerator random) {
        this.vmList = vmList;
        this.members = members;
        this.gossip = gossip;
        this.targets = targets;
        this.shares = shares;
        this.configuredSeeds = Set.copyOf(configuredSeeds);
        this.control = control;
        this.clock = clock;
        this.timer = new JitteredTimer(clock, random, POLL_INTERVAL);
        gossip.setSeedAddresses(configuredSeeds);
    }

    @Override
    public void tick() {
        if (readPending || !timer.isDue()) {
            return;
        }
        readPending = true;
        long sentNanos = clock.nanos();
        control.onCompletion(
                vmList.readEntries(),
                entries -> {
                    readPending = false;
                    applyList(entries, sentNanos);
                },
                failure -> readPending = false);
    }

    private void applyList(List<VmEntry> entries, long asOfNanos) {
        Set<String> listedRouters = new HashSet<>();
        routers.values().removeIf(VmEntry::isLeaving);
        for (VmEntry entry : entries) {
            if (entry.isRouter()) {
                listedRouters.add(entry.vm());
                routers.put(entry.vm(), entry);
            } else if (entry.isLeaving()) {
                leavingHosts.add(entry.host());
            } else {
                leavingHosts.remove(entry.host());
            }
        }
        targets.setHostsLeavingByList(leavingHosts);
        routers.keySet().removeAll(updateTerminatedVms(listedRouters, asOfNanos));
        Set<String> seeds = new TreeSet<>(configuredSeeds);
        routers.values().forEach(router -> seeds.add(router.host() + ":" + router.peerPort()));
        gossip.setSeedAddresses(seeds);
        members.setExpectedRouters(routers.size());
    }

    private Set<String> updateTerminatedVms(Set<String> listedRouters, long asOfNanos) {
        knownVms.addAll(listedRouters);
        members.all().stream().map(Member::vm).forEach(knownVms::add);
        knownVms.addAll(shares.knownHolders());
        terminationDeadlines.keySet().removeAll(listedRouters);
        Set<String> terminated = new HashSet<>();
        for (String vm : knownVms) {
            if (listedRouters.contains(vm)) {
                continue;
            }
            Deadline deadline =
                    terminationDeadlines.computeIfAbsent(vm, v -> Deadline.after(clock, TERMINATION_TIMEOUT));
            if (asOfNanos - deadline.atNanos() >= 0) {
                terminated.add(vm);
            }
        }
        terminated.remove(members.self().vm());
        members.removeMembers(terminated);
        shares.setTerminatedVms(terminated);
        knownVms.removeAll(terminated);
        knownVms.addAll(shares.knownHolders());
        return terminated;
    }
}
