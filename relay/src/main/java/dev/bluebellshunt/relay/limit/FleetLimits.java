package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.peer.PeerReportTable;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Enforces fleet-wide workspace limits and retry budgets on this VM.
 *
 * <p>A request is admitted if it fits into the limit together with everything that all VMs have admitted
 * within the sliding window. VMs report their admissions to each other several times a second. A VM that stops
 * reporting may still be serving callers, so its share of the limit stays reserved. Shares are proportional to
 * the demand that the VMs publish, with a minimum for a VM without demand. All VMs compute them from the same
 * records, so the shares add up to the limit, and VMs that can't reach each other still stay within it together.
 */
public final class FleetLimits {

    /** Fraction of each limit that is divided evenly between the VMs, regardless of demand. */
    static final double EVEN_FRACTION = 0.15;

    /** Fraction of a limit that must be free to admit a request larger than the limit. */
    private static final double OVERSIZED_FREE_FRACTION = 0.8;

    /** Fraction of the permitted retries that is granted; a VM that restarts begins with a full budget again. */
    static final double RETRY_UTILIZATION = 0.75;

    private final MonotonicClock clock;
    private final RetryBounds bounds;
    private final Duration quotaWindow;
    private final PeerReportTable peers;
    private final Map<String, WorkspaceQuota> quotas = new ConcurrentHashMap<>();
    private final Map<String, PoolRetryBudget> retryBudgets = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Double>> peerShares = new ConcurrentHashMap<>();
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
     * Creates the limits of a VM that does not know any peers yet.
     *
     * @param clock the time source
     * @param bounds the bounds on retries
     * @param quotaWindow the length of the sliding window of workspace limits
     * @param peers the reports of the other VMs
     */
    public FleetLimits(MonotonicClock clock, RetryBounds bounds, Duration quotaWindow, PeerReportTable peers) {
        this.clock = clock;
        this.bounds = bounds;
        this.quotaWindow = quotaWindow;
        this.peers = peers;
    }

    /**
     * Recomputes the shares of all VMs.
     *
     * @param configuration the workspaces and their limits
     * @param ownVm the name of this VM
     * @param demands the published demand by VM and workspace, including this VM's own
     */
    public void updateShares(RelayConfiguration configuration, String ownVm, Map<String, Map<String, Double>> demands) {
        vmCount = Math.max(1, demands.size());
        for (RelayWorkspace workspace : configuration.workspaces().values()) {
            if (!workspace.isLimited()) {
                quotas.remove(workspace.name());
                peerShares.remove(workspace.name());
                continue;
            }
            Map<String, Double> shares = computeShares(workspace, demands);
            Double ownShare = shares.remove(ownVm);
            quota(workspace.name())
                    .updateShare(
                            ownShare == null ? windowLimit(workspace) * EVEN_FRACTION / vmCount : ownShare,
                            demandBeforeRestart.getOrDefault(workspace.name(), 0.0) * windowSeconds());
            peerShares.put(workspace.name(), shares);
        }
        retryBudgets.values().forEach(budget -> budget.resize(retryBurstPerVm()));
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
            double even = 1.0 / demands.size();
            double share = total <= 0
                    ? even
                    : EVEN_FRACTION * even
                            + (1 - EVEN_FRACTION) * vm.getValue().getOrDefault(workspace.name(), 0.0) / total;
            shares.put(vm.getKey(), windowLimit(workspace) * share);
        }
        return shares;
    }

    private WorkspaceQuota quota(String workspace) {
        return quotas.computeIfAbsent(workspace, w -> new WorkspaceQuota(clock, quotaWindow));
    }

    private PoolRetryBudget retryBudget(String pool) {
        return retryBudgets.computeIfAbsent(
                pool,
                p -> new PoolRetryBudget(
                        clock, bounds.perRequest() * RETRY_UTILIZATION, bounds.window(), retryBurstPerVm()));
    }

    /** Half of this VM's extra retries: a bucket that starts full permits twice its size within the first window. */
    private double retryBurstPerVm() {
        return bounds.extra() * RETRY_UTILIZATION / vmCount / 2;
    }

    /**
     * Admits a request and charges it to its workspace, or rejects it.
     *
     * @param workspace the workspace
     * @param cost the cost of the request in the units of the workspace's limit
     * @return zero if the request was admitted, otherwise the time to wait before it is retried
     */
    public Duration admit(RelayWorkspace workspace, double cost) {
        return workspace.isLimited() ? quota(workspace.name()).admit(cost, peerUsage(workspace)) : Duration.ZERO;
    }

    /**
     * Returns the peers' usage of a workspace's limit within the window. A peer without a current report counts
     * with its share of the limit, or with its last reported admissions if these are larger and still within
     * the window.
     */
    private WorkspaceQuota.PeerUsage peerUsage(RelayWorkspace workspace) {
        double limit = windowLimit(workspace);
        long now = clock.nanos();
        double reported = 0;
        double reserved = 0;
        boolean silent = false;
        Map<String, Double> silentShares = new HashMap<>(peerShares.getOrDefault(workspace.name(), Map.of()));
        for (Map.Entry<String, PeerReportTable.Admissions> peer :
                peers.admissions().entrySet()) {
            double units = peer.getValue().units().getOrDefault(workspace.name(), 0.0);
            if (!peer.getValue().expiry().hasPassed(clock)) {
                reported += units;
                silentShares.remove(peer.getKey());
                continue;
            }
            boolean inWindow = now - peer.getValue().receivedNanos() < quotaWindow.toNanos();
            Double share = silentShares.remove(peer.getKey());
            reserved += Math.max(share == null ? 0 : share, inWindow ? units : 0);
            silent |= share != null;
        }
        for (double share : silentShares.values()) {
            reserved += share;
            silent = true;
        }
        double own = quota(workspace.name()).share();
        return new WorkspaceQuota.PeerUsage(
                limit - reserved, reported, OVERSIZED_FREE_FRACTION * (silent ? own : limit));
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
     * Records a request, which adds to the retry budget of its pool.
     *
     * @param pool the name of the pool
     */
    public void recordRequest(String pool) {
        retryBudget(pool).recordRequest();
    }

    /**
     * Takes one retry from the retry budget of a pool.
     *
     * @param pool the name of the pool
     * @return false if the budget is exhausted
     */
    public boolean tryAcquireRetry(String pool) {
        return retryBudget(pool).tryAcquireRetry();
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
