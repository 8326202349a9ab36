package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.fleet.FleetSystem;
import dev.bluebellshunt.relay.fleet.FleetTopology;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.peer.OfferedUnits;
import dev.bluebellshunt.relay.peer.PeerAdmissions;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import dev.bluebellshunt.relay.peer.RetryUsage;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Enforces fleet-wide workspace limits and retry budgets on this VM.
 *
 * <p>A request is admitted if it fits into the limit together with everything that all VMs have admitted
 * within the sliding window. VMs report their admissions to each other several times a second. A VM that stops
 * reporting may still be serving callers, so its share of the limit stays reserved. Shares are proportional to
 * the demand that the VMs publish, with a minimum for a VM without demand. All VMs compute them from the same
 * records, so the shares add up to the limit, and VMs that can't reach each other still stay within it together.
 * A VM that has stood still for so long that the others may have taken its share waits until it has heard from them.
 */
public final class FleetLimits {

    /** Fraction of each limit that is divided evenly between the VMs, regardless of demand. */
    static final double EVEN_FRACTION = 0.15;

    /** Fraction of a limit that must be free to admit a request larger than the limit. */
    private static final double OVERSIZED_FREE_FRACTION = 0.8;

    private final MonotonicClock clock;
    private final RetryBounds bounds;
    private final Duration quotaWindow;
    private final PeerReportTable peers;
    private final RandomGenerator random;
    private final Predicate<RelayWorkspace> paced;
    private final PauseGuard pauseGuard;
    private final Map<String, WorkspaceQuota> quotas = new ConcurrentHashMap<>();
    private final Deadline retrySharingStart;
    private final Map<String, PoolRetries> retriesByPool = new ConcurrentHashMap<>();
    private volatile PeerShares peerShares = new PeerShares(Map.of(), Map.of());
    private volatile Reservations reservations = new Reservations(PeerAdmissions.NONE, peerShares, Map.of());
    private volatile Map<String, Double> demandBeforeRestart = Map.of();
    private volatile int vmCount = 1;

    /**
     * Bounds on retries across all VMs.
     *
     * @param perRequest the retries that each request adds to the budget of its pool
     * @param window the period over which retries are counted
     * @param extra the retries per pool and window that are permitted regardless of the number of requests
     */
    public record RetryBounds(double perRequest, Duration window, double extra) {}

    /**
     * What is reserved for VMs that do not report.
     *
     * @param basis the admissions from which the reservations were computed
     * @param shares the shares from which they were computed
     * @param byWorkspace the reservations
     */
    private record Reservations(PeerAdmissions basis, PeerShares shares, Map<String, Reservation> byWorkspace) {}

    /**
     * The shares of the other VMs, by workspace.
     *
     * @param byVm the shares of the known VMs
     * @param ofUnknownVm the share of each VM that is expected and not known; empty if all are known
     */
    private record PeerShares(Map<String, Map<String, Double>> byVm, Map<String, Double> ofUnknownVm) {}

    private record Reservation(double units, boolean anySilent) {

        private static final Reservation NONE = new Reservation(0, false);
    }

    /**
     * Creates the limits of a VM that does not know any peers yet.
     *
     * @param clock the time source
     * @param bounds the bounds on retries
     * @param quotaWindow the length of the sliding window of workspace limits
     * @param peers the reports of the other VMs
     * @param random spreads the admissions and returns of requests that compete
     */
    public FleetLimits(
            MonotonicClock clock,
            RetryBounds bounds,
            Duration quotaWindow,
            PeerReportTable peers,
            RandomGenerator random) {
        this(clock, bounds, quotaWindow, peers, random, workspace -> true);
    }

    /**
     * Creates the limits of a VM that does not know any peers yet.
     *
     * @param clock the time source
     * @param bounds the bounds on retries
     * @param quotaWindow the length of the sliding window of workspace limits
     * @param peers the reports of the other VMs
     * @param random spreads the admissions and returns of requests that compete
     * @param paced the workspaces whose requests are admitted by urgency while their limit is short; those of others are admitted
     *     in the order of arrival
     */
    public FleetLimits(
            MonotonicClock clock,
            RetryBounds bounds,
            Duration quotaWindow,
            PeerReportTable peers,
            RandomGenerator random,
            Predicate<RelayWorkspace> paced) {
        this.paced = paced;
        this.clock = clock;
        this.bounds = bounds;
        this.quotaWindow = quotaWindow;
        this.peers = peers;
        this.random = random;
        this.pauseGuard = new PauseGuard(clock, quotaWindow);
        this.retrySharingStart = Deadline.after(clock, bounds.window());
    }

    /**
     * Recomputes the shares of all VMs.
     *
     * @param configuration the workspaces and their limits
     * @param ownVm the name of this VM
     * @param demands the published demand by VM and workspace, including this VM's own
     */
    public void updateShares(RelayConfiguration configuration, String ownVm, Map<String, Map<String, Double>> demands) {
        updateShares(configuration, ownVm, demands, Math.max(1, demands.size()), false);
    }

    /**
     * Recomputes the shares while some VMs may not have registered yet. All VMs have equal shares, and those of VMs that
     * are not known are reserved: even if one of them reports to this VM, it does not hear what this VM admits.
     *
     * @param configuration the workspaces and their limits
     * @param ownVm the name of this VM
     * @param knownVms the VMs that are known
     * @param expectedVms the expected number of VMs
     */
    public void updateEqualShares(
            RelayConfiguration configuration, String ownVm, Set<String> knownVms, int expectedVms) {
        Map<String, Map<String, Double>> demands = new HashMap<>();
        knownVms.forEach(vm -> demands.put(vm, Map.of()));
        demands.put(ownVm, Map.of());
        updateShares(configuration, ownVm, demands, Math.max(expectedVms, demands.size()), true);
    }

    private void updateShares(
            RelayConfiguration configuration,
            String ownVm,
            Map<String, Map<String, Double>> demands,
            int vms,
            boolean mayLackVms) {
        vmCount = vms;
        Map<String, Map<String, Double>> newPeerShares = new HashMap<>();
        Map<String, Double> ofUnknownVm = new HashMap<>();
        for (RelayWorkspace workspace : configuration.workspaces().values()) {
            if (!workspace.isLimited()) {
                quotas.remove(workspace.name());
                continue;
            }
            Map<String, Double> shares = computeShares(workspace, demands);
            Double ownShare = shares.remove(ownVm);
            quota(workspace.name())
                    .updateShare(
                            ownShare == null ? windowLimit(workspace) * EVEN_FRACTION / vmCount : ownShare,
                            admittedBeforeRestart(workspace, demands));
            newPeerShares.put(workspace.name(), shares);
            if (mayLackVms) {
                ofUnknownVm.put(workspace.name(), windowLimit(workspace) / vms);
            }
        }
        peerShares = new PeerShares(newPeerShares, ofUnknownVm);
        retriesByPool.values().forEach(pool -> pool.resize(vmCount));
    }

    /**
     * Returns what this VM may have admitted in the last window before a restart. The published demand may lag behind by the
     * factor at which it is published again. Where the workspace may have used its whole limit, it is assumed to have done so.
     */
    private double admittedBeforeRestart(RelayWorkspace workspace, Map<String, Map<String, Double>> demands) {
        double published = demandBeforeRestart.getOrDefault(workspace.name(), 0.0);
        double total = 0;
        for (Map<String, Double> demand : demands.values()) {
            total += demand.getOrDefault(workspace.name(), 0.0);
        }
        boolean mayHaveUsedAll = total * FleetSystem.DEMAND_CHANGE_FACTOR >= workspace.ratePerSecond();
        double scale = total <= 0 || !mayHaveUsedAll
                ? 1
                : Math.clamp(windowLimit(workspace) / (total * windowSeconds()), 1, FleetSystem.DEMAND_CHANGE_FACTOR);
        return published * windowSeconds() * scale;
    }

    /** Records that the control thread runs. A long time between two calls means that this VM has stood still. */
    public void recordRunning() {
        pauseGuard.recordRunning(
                peers.admissions(),
                peerShares.byVm().values().stream().map(Map::keySet).toList());
    }

    /**
     * Records that the store holds the record of this VM, so that the others reserve its share.
     *
     * @param askedNanos when the store was asked
     */
    public void recordRegistration(long askedNanos) {
        pauseGuard.recordRegistration(askedNanos);
    }

    /**
     * Restores the demand that this VM published before a restart, so that its earlier admissions still count.
     *
     * @param demand units per second by workspace
     */
    public void restoreDemand(Map<String, Double> demand) {
        demandBeforeRestart = Map.copyOf(demand);
    }

    private Map<String, Double> computeShares(RelayWorkspace workspace, Map<String, Map<String, Double>> demands) {
        double total = 0;
        for (Map<String, Double> demand : demands.values()) {
            total += demand.getOrDefault(workspace.name(), 0.0);
        }
        Map<String, Double> shares = new HashMap<>();
        for (Map.Entry<String, Map<String, Double>> vm : demands.entrySet()) {
            double even = 1.0 / vmCount;
            double share = total <= 0
                    ? even
                    : EVEN_FRACTION * even
                            + (1 - EVEN_FRACTION) * vm.getValue().getOrDefault(workspace.name(), 0.0) / total;
            shares.put(vm.getKey(), windowLimit(workspace) * share);
        }
        return shares;
    }

    private WorkspaceQuota quota(String workspace) {
        return quotas.computeIfAbsent(workspace, w -> new WorkspaceQuota(clock, quotaWindow, random));
    }

    private PoolRetries retries(String pool) {
        return retriesByPool.computeIfAbsent(pool, p -> new PoolRetries(clock, bounds, retrySharingStart, vmCount));
    }

    /**
     * Admits a request and charges it to its workspace, or rejects it.
     *
     * @param workspace the workspace
     * @param cost the cost of the request in the units of the workspace's limit
     * @param urgency the urgency of the request, 0 being the most urgent
     * @return zero if the request was admitted, otherwise the time to wait before it is retried
     */
    public Duration admit(RelayWorkspace workspace, double cost, int urgency) {
        if (!workspace.isLimited()) {
            return Duration.ZERO;
        }
        if (pauseGuard.mustWait()) {
            return PauseGuard.BUFFERED_REPORTS_TIME;
        }
        WorkspaceQuota.PeerUsage usage = peerUsage(workspace);
        if (!paced.test(workspace)) {
            return quota(workspace.name()).admit(cost, usage);
        }
        OfferedUnits peerOffers = peers.observations().offered().getOrDefault(workspace.name(), OfferedUnits.NONE);
        return quota(workspace.name())
                .admit(
                        cost,
                        urgency,
                        usage,
                        peerOffers,
                        vmCount > FleetTopology.MAX_MESH_SIZE
                                ? AdmissionPolicy.REPORT_SECONDS
                                : AdmissionPolicy.DIRECT_REPORT_SECONDS);
    }

    /**
     * Returns what callers ask this VM for of the limits that are short of capacity.
     *
     * @return the offers by limited workspace
     */
    public Map<String, OfferedUnits> offered() {
        Map<String, OfferedUnits> offered = new HashMap<>();
        quotas.forEach((workspace, quota) -> {
            OfferedUnits units = quota.offered();
            if (!units.isEmpty()) {
                offered.put(workspace, units);
            }
        });
        return offered;
    }

    /** Returns the peers' usage of a workspace's limit within the window, and what it leaves to this VM. */
    private WorkspaceQuota.PeerUsage peerUsage(RelayWorkspace workspace) {
        double limit = windowLimit(workspace);
        PeerAdmissions peerAdmissions = peers.admissions();
        Reservation reservation = reservation(workspace.name(), peerAdmissions);
        double own = quota(workspace.name()).share();
        return new WorkspaceQuota.PeerUsage(
                limit - reservation.units(),
                peerAdmissions.reported().getOrDefault(workspace.name(), 0.0),
                peerAdmissions.estimate(workspace.name(), clock.nanos()),
                OVERSIZED_FREE_FRACTION * (reservation.anySilent() ? own : limit));
    }

    private Reservation reservation(String workspace, PeerAdmissions peerAdmissions) {
        PeerAdmissions.HubReservations byHub = peerAdmissions.hubReservations();
        if (byHub != null) {
            return new Reservation(byHub.units().getOrDefault(workspace, 0.0), byHub.silentVms() > 0);
        }
        return reservations(peerAdmissions).byWorkspace().getOrDefault(workspace, Reservation.NONE);
    }

    /** Returns the reservations, which are computed once for each change of the reports or shares. */
    @SuppressWarnings("ReferenceEquality") // a change replaces the object, and comparing the contents would be slower
    private Reservations reservations(PeerAdmissions peerAdmissions) {
        Reservations current = reservations;
        PeerShares shares = peerShares;
        if (current.basis() == peerAdmissions && current.shares() == shares) {
            return current;
        }
        Map<String, Reservation> byWorkspace = new HashMap<>();
        shares.byVm().forEach((workspace, byVm) -> {
            Reservation known = reserve(workspace, byVm, peerAdmissions);
            double ofUnknownVm = shares.ofUnknownVm().getOrDefault(workspace, 0.0);
            int unknown = ofUnknownVm == 0 ? 0 : Math.max(0, vmCount - 1 - byVm.size());
            byWorkspace.put(
                    workspace,
                    new Reservation(known.units() + unknown * ofUnknownVm, known.anySilent() || unknown > 0));
        });
        Reservations computed = new Reservations(peerAdmissions, shares, byWorkspace);
        reservations = computed;
        return computed;
    }

    /**
     * Computes what is reserved for VMs that do not report: their shares, or what they had admitted if that is more
     * and still within the window.
     */
    private static Reservation reserve(String workspace, Map<String, Double> shares, PeerAdmissions peerAdmissions) {
        Map<String, Double> silentShares = new HashMap<>(shares);
        silentShares.keySet().removeAll(peerAdmissions.reportingVms());
        boolean anySilent = !silentShares.isEmpty();
        double reserved = 0;
        for (PeerAdmissions.SilentGroup group : peerAdmissions.silent()) {
            Set<String> vms = group.vms().isEmpty() ? Set.copyOf(silentShares.keySet()) : group.vms();
            int silent = 0;
            double share = 0;
            for (String vm : vms) {
                if (!peerAdmissions.reportingVms().contains(vm)) {
                    silent++;
                    Double silentShare = silentShares.remove(vm);
                    share += silentShare == null ? 0 : silentShare;
                }
            }
            // The sum of a group can't be divided by VM, so its silent VMs are assumed to have had an equal part.
            double admitted = group.admitted().getOrDefault(workspace, 0.0) * silent / Math.max(1, vms.size());
            reserved += Math.max(share, admitted);
        }
        for (double share : silentShares.values()) {
            reserved += share;
        }
        return new Reservation(reserved, anySilent);
    }

    /**
     * Returns what this VM has reserved for VMs that do not report, for the members of its group. Until a VM that has
     * stood still has heard from the others, that is the whole of each limit.
     *
     * @return the reservations of all limited workspaces
     */
    public PeerAdmissions.HubReservations hubReservations() {
        PeerAdmissions current = peers.admissions();
        Map<String, Double> units = new HashMap<>();
        if (pauseGuard.mustWait()) {
            peerShares
                    .byVm()
                    .forEach((workspace, shares) -> units.put(
                            workspace,
                            shares.values().stream().reduce(quota(workspace).share(), Double::sum)));
            return new PeerAdmissions.HubReservations(units, silentVms(current));
        }
        reservations(current).byWorkspace().forEach((workspace, reservation) -> {
            if (reservation.units() > 0) {
                units.put(workspace, reservation.units());
            }
        });
        return new PeerAdmissions.HubReservations(units, silentVms(current));
    }

    private int silentVms(PeerAdmissions current) {
        PeerAdmissions.HubReservations byHub = current.hubReservations();
        return byHub == null
                ? Math.max(0, vmCount - 1 - current.reportingVms().size())
                : Math.min(vmCount, byHub.silentVms());
    }

    private double windowLimit(RelayWorkspace workspace) {
        return workspace.ratePerSecond() * windowSeconds() + workspace.burst();
    }

    private double windowSeconds() {
        return (double) quotaWindow.toNanos() / TimeUnit.SECONDS.toNanos(1);
    }

    /**
     * Returns what this VM has admitted within the current window.
     *
     * @return units by limited workspace
     */
    public Map<String, Double> admitted() {
        Map<String, Double> units = new HashMap<>();
        quotas.forEach((workspace, quota) -> {
            double used = quota.admitted();
            if (used > 0) {
                units.put(workspace, used);
            }
        });
        return units;
    }

    /**
     * Returns the rates at which this VM currently admits units.
     *
     * @return units per second by limited workspace
     */
    public Map<String, Double> admissionRates() {
        Map<String, Double> rates = new HashMap<>();
        quotas.forEach((workspace, quota) -> {
            double rate = quota.admittedPerSecond();
            if (rate > 0) {
                rates.put(workspace, rate);
            }
        });
        return rates;
    }

    /**
     * Refunds the cost of a request that no target has executed.
     *
     * @param workspace the workspace
     * @param cost the cost that was charged
     */
    public void refund(RelayWorkspace workspace, double cost) {
        if (workspace.isLimited()) {
            quota(workspace.name()).refund(cost);
        }
    }

    /**
     * Records a request, which adds to the retries that are permitted to its pool.
     *
     * @param pool the name of the pool
     */
    public void recordRequest(String pool) {
        retries(pool).recordRequest();
    }

    /**
     * Returns the requests and retries of this VM within the window of the retry limit.
     *
     * @return the usage by pool
     */
    public Map<String, RetryUsage> retryUsage() {
        Map<String, RetryUsage> usage = new HashMap<>();
        retriesByPool.forEach((pool, poolRetries) -> usage.put(pool, poolRetries.usage()));
        return usage;
    }

    /**
     * Takes one of the retries that are permitted to a pool.
     *
     * @param pool the name of the pool
     * @return false if none is left
     */
    public boolean tryAcquireRetry(String pool) {
        PeerAdmissions current = peers.admissions();
        return retries(pool)
                .tryAcquire(new PoolRetries.PeerUsage(
                        current.retries().getOrDefault(pool, RetryUsage.NONE), vmCount, silentVms(current)));
    }

    /**
     * Returns the units admitted since the previous call, and resets the count.
     *
     * @return units by workspace
     */
    public Map<String, Double> drainAdmitted() {
        Map<String, Double> admitted = new HashMap<>();
        quotas.forEach((workspace, quota) -> admitted.put(workspace, quota.drainAdmitted()));
        return admitted;
    }
}
