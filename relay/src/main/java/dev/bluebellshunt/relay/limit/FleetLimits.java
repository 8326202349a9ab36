package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.model.RelayConfiguration;
import dev.bluebellshunt.relay.model.RelayWorkspace;
import dev.bluebellshunt.relay.peer.PeerUses;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * This VM's parts of the limits that hold over all VMs.
 *
 * <p>A VM's part of a workspace's limit follows its part of the workspace's demand, as all VMs have
 * published it; a floor lets a VM without demand serve its first requests. Since all VMs work out their
 * parts from the same records, the parts add up to one, but for the moments in which records spread.
 */
public final class FleetLimits {

    /** The part of each limit that is spread evenly, whatever the demand. */
    static final double EVEN_PART = 0.15;

    /** The part of a whole limit that may be used beyond a VM's own part. */
    static final double LENT_PART = 0.92;

    /** The part of the allowed retries that is used; the rest covers VMs that restart. */
    static final double RETRY_MARGIN = 0.75;

    private final MonotonicClock clock;
    private final RetryBounds bounds;
    private final Duration quotaWindow;
    private final PeerUses peers;
    private final Map<String, WorkspaceQuota> quotas = new ConcurrentHashMap<>();
    private final Map<String, RetryAllowance> allowances = new ConcurrentHashMap<>();
    private volatile int vms = 1;

    /**
     * Bounds on retries over all VMs.
     *
     * @param perRequest retries that one request earns its pool
     * @param window the time over which they are counted
     * @param extra retries that a pool may get in each window beside the earned ones
     */
    public record RetryBounds(double perRequest, Duration window, double extra) {}

    /**
     * Creates limits for a VM that knows of no others.
     *
     * @param clock the clock to read
     * @param bounds bounds on retries
     * @param quotaWindow the time over which a workspace's limit holds
     * @param peers what the other VMs have admitted
     */
    public FleetLimits(MonotonicClock clock, RetryBounds bounds, Duration quotaWindow, PeerUses peers) {
        this.clock = clock;
        this.bounds = bounds;
        this.quotaWindow = quotaWindow;
        this.peers = peers;
    }

    /**
     * Works out this VM's parts.
     *
     * @param configuration the workspaces and their limits
     * @param own the demand that this VM has published, by workspace
     * @param total the demand that all VMs have published, this one included
     * @param liveVms how many VMs there are
     */
    public void resize(
            RelayConfiguration configuration, Map<String, Double> own, Map<String, Double> total, int liveVms) {
        vms = Math.max(1, liveVms);
        for (RelayWorkspace workspace : configuration.workspaces().values()) {
            if (!workspace.isLimited()) {
                quotas.remove(workspace.name());
                continue;
            }
            double demand = total.getOrDefault(workspace.name(), 0.0);
            double even = 1.0 / vms;
            double part = demand <= 0
                    ? even
                    : EVEN_PART * even + (1 - EVEN_PART) * own.getOrDefault(workspace.name(), 0.0) / demand;
            quota(workspace.name()).resize(limitOf(workspace) * part);
        }
        allowances.values().forEach(allowance -> allowance.resize(extraPerVm()));
    }

    private WorkspaceQuota quota(String workspace) {
        return quotas.computeIfAbsent(workspace, w -> new WorkspaceQuota(clock, quotaWindow));
    }

    private RetryAllowance allowance(String pool) {
        return allowances.computeIfAbsent(
                pool,
                p -> new RetryAllowance(clock, bounds.perRequest() * RETRY_MARGIN, bounds.window(), extraPerVm()));
    }

    /** A bucket that starts full and refills once a window lets through twice its size in the first window. */
    private double extraPerVm() {
        return bounds.extra() * RETRY_MARGIN / vms / 2;
    }

    /**
     * Charges a request to its workspace.
     *
     * @param workspace the workspace
     * @param cost its size in the workspace's units
     * @return zero where it is admitted, else how long to wait
     */
    public Duration admit(RelayWorkspace workspace, double cost) {
        return workspace.isLimited() ? quota(workspace.name()).admit(cost, leftByOthers(workspace)) : Duration.ZERO;
    }

    /**
     * What the other VMs have left of a workspace's limit, zero unless all of them have reported lately.
     * Reports are a moment old, so a part of the limit is kept back.
     */
    private double leftByOthers(RelayWorkspace workspace) {
        if (peers.reporting() < vms - 1) {
            return 0;
        }
        return limitOf(workspace) * LENT_PART - peers.admitted(workspace.name());
    }

    private double limitOf(RelayWorkspace workspace) {
        double seconds = (double) quotaWindow.toNanos() / TimeUnit.SECONDS.toNanos(1);
        return workspace.ratePerSecond() * seconds + workspace.burst();
    }

    /**
     * What this VM has admitted of each limited workspace within the limit's window.
     *
     * @return units by workspace
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
     * Gives back what a request was charged that no target has run.
     *
     * @param workspace the workspace
     * @param cost what it was charged
     */
    public void refund(RelayWorkspace workspace, double cost) {
        if (workspace.isLimited()) {
            quota(workspace.name()).refund(cost);
        }
    }

    /**
     * Counts a request for a pool.
     *
     * @param pool the pool
     */
    public void requested(String pool) {
        allowance(pool).requested();
    }

    /**
     * Takes one retry from a pool's allowance.
     *
     * @param pool the pool
     * @return false where it is used up
     */
    public boolean tryRetry(String pool) {
        return allowance(pool).tryRetry();
    }

    /**
     * What was admitted of each workspace since the last call.
     *
     * @return units by workspace
     */
    public Map<String, Double> takeAdmitted() {
        Map<String, Double> admitted = new HashMap<>();
        quotas.forEach((workspace, quota) -> admitted.put(workspace, quota.takeAdmitted()));
        return admitted;
    }
}
