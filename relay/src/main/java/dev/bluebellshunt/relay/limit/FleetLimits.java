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
 * This VM's view of the limits that hold over all VMs.
 *
 * <p>A request is admitted while what all VMs have admitted within the limit's window leaves room for it.
 * The others report what they have admitted a few times a second. A VM that is silent may go on alone, so
 * that its part of the limit is kept for it. Parts follow the demand that VMs have published, with a floor
 * for a VM without demand; since all work them out from the same records, they add up to one, and VMs that
 * hear nothing of each other stay within the limit together.
 */
public final class FleetLimits {

    /** The part of each limit that is spread evenly, whatever the demand. */
    static final double EVEN_PART = 0.15;

    /** The part of a limit that must be free for a request that is larger than it. */
    private static final double FREE_FOR_LARGE = 0.8;

    /** The part of the allowed retries that is used; the rest covers VMs that restart. */
    static final double RETRY_MARGIN = 0.75;

    private final MonotonicClock clock;
    private final RetryBounds bounds;
    private final Duration quotaWindow;
    private final PeerUses peers;
    private final Map<String, WorkspaceQuota> quotas = new ConcurrentHashMap<>();
    private final Map<String, RetryAllowance> allowances = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Double>> othersParts = new ConcurrentHashMap<>();
    private volatile Map<String, Double> demandBefore = Map.of();
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
     * Works out the parts of all VMs.
     *
     * @param configuration the workspaces and their limits
     * @param own this VM's name
     * @param demands the demand that each VM has published, by VM and workspace, this one included
     */
    public void resize(RelayConfiguration configuration, String own, Map<String, Map<String, Double>> demands) {
        vms = Math.max(1, demands.size());
        for (RelayWorkspace workspace : configuration.workspaces().values()) {
            if (!workspace.isLimited()) {
                quotas.remove(workspace.name());
                othersParts.remove(workspace.name());
                continue;
            }
            Map<String, Double> parts = parts(workspace, demands);
            Double ownPart = parts.remove(own);
            quota(workspace.name())
                    .resize(
                            ownPart == null ? limitOf(workspace) * EVEN_PART / vms : ownPart,
                            demandBefore.getOrDefault(workspace.name(), 0.0) * windowSeconds());
            othersParts.put(workspace.name(), parts);
        }
        allowances.values().forEach(allowance -> allowance.resize(extraPerVm()));
    }

    /**
     * Notes what this VM had published before it restarted, so that what it had admitted then counts.
     *
     * @param demand units a second by workspace
     */
    public void recall(Map<String, Double> demand) {
        demandBefore = Map.copyOf(demand);
    }

    private Map<String, Double> parts(RelayWorkspace workspace, Map<String, Map<String, Double>> demands) {
        double total = 0;
        for (Map<String, Double> demand : demands.values()) {
            total += demand.getOrDefault(workspace.name(), 0.0);
        }
        Map<String, Double> parts = new HashMap<>();
        for (Map.Entry<String, Map<String, Double>> vm : demands.entrySet()) {
            double even = 1.0 / demands.size();
            double part = total <= 0
                    ? even
                    : EVEN_PART * even + (1 - EVEN_PART) * vm.getValue().getOrDefault(workspace.name(), 0.0) / total;
            parts.put(vm.getKey(), limitOf(workspace) * part);
        }
        return parts;
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
        return workspace.isLimited() ? quota(workspace.name()).admit(cost, others(workspace)) : Duration.ZERO;
    }

    /**
     * What the other VMs have admitted of a workspace within the window, as far as this one can tell. A
     * silent VM counts with its part of the limit, and with what it had admitted before as long as that
     * is in the window.
     */
    private WorkspaceQuota.Others others(RelayWorkspace workspace) {
        double limit = limitOf(workspace);
        long now = clock.nanos();
        double reported = 0;
        double kept = 0;
        boolean silent = false;
        Map<String, Double> silentParts = new HashMap<>(othersParts.getOrDefault(workspace.name(), Map.of()));
        for (Map.Entry<String, PeerUses.Admissions> peer : peers.admissions().entrySet()) {
            double units = peer.getValue().units().getOrDefault(workspace.name(), 0.0);
            if (!peer.getValue().countsUntil().hasPassed(clock)) {
                reported += units;
                silentParts.remove(peer.getKey());
                continue;
            }
            boolean inWindow = now - peer.getValue().reportedNanos() < quotaWindow.toNanos();
            Double part = silentParts.remove(peer.getKey());
            kept += Math.max(part == null ? 0 : part, inWindow ? units : 0);
            silent |= part != null;
        }
        for (double part : silentParts.values()) {
            kept += part;
            silent = true;
        }
        double own = quota(workspace.name()).part();
        return new WorkspaceQuota.Others(limit - kept, reported, FREE_FOR_LARGE * (silent ? own : limit));
    }

    private double limitOf(RelayWorkspace workspace) {
        return workspace.ratePerSecond() * windowSeconds() + workspace.burst();
    }

    private double windowSeconds() {
        return (double) quotaWindow.toNanos() / TimeUnit.SECONDS.toNanos(1);
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
