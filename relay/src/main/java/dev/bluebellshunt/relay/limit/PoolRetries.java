package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.relay.peer.RetryUsage;

/**
 * Retries of this VM to one pool.
 *
 * <p>A small part of the permitted retries is divided between the VMs, and is available to each without any message. The
 * rest is shared: a VM may take a retry while all VMs together have taken few enough. It assumes that each of the others has
 * taken as many since its report as it has itself. A VM that has just started does not know what it took before,
 * and uses its own part only, for one window.
 *
 * <p>Thread-safe.
 */
final class PoolRetries {

    /** Fraction of the permitted retries that is divided between the VMs. */
    static final double DIVIDED_FRACTION = 0.2;

    /** Fraction of the permitted retries that all VMs share; restarted VMs may have taken as many again. */
    static final double SHARED_FRACTION = 0.4;

    /** Number of slots that peers' reports may lag behind, in addition to the current one. */
    private static final int UNREPORTED_SLOTS = 2;

    private final MonotonicClock clock;
    private final FleetLimits.RetryBounds bounds;
    private final PoolRetryBudget ownPart;
    private final SlidingSum requests;
    private final SlidingSum retries;
    private final Deadline sharingStart;

    /**
     * The usage by the other VMs.
     *
     * @param reported the sum over the VMs that report
     * @param vms the number of VMs in the fleet
     * @param silentVms the number of VMs that do not report
     */
    record PeerUsage(RetryUsage reported, int vms, int silentVms) {}

    PoolRetries(MonotonicClock clock, FleetLimits.RetryBounds bounds, Deadline sharingStart, int vms) {
        this.clock = clock;
        this.bounds = bounds;
        this.ownPart = new PoolRetryBudget(
                clock, bounds.perRequest() * DIVIDED_FRACTION, bounds.window(), extraPerVm(bounds, vms));
        this.requests = new SlidingSum(clock, bounds.window());
        this.retries = new SlidingSum(clock, bounds.window());
        this.sharingStart = sharingStart;
    }

    /** Half of a VM's part of the extra retries: a bucket that starts full permits twice its size in a window. */
    private static double extraPerVm(FleetLimits.RetryBounds bounds, int vms) {
        return bounds.extra() * DIVIDED_FRACTION / vms / 2;
    }

    synchronized void resize(int vms) {
        ownPart.resize(extraPerVm(bounds, vms));
    }

    synchronized void recordRequest() {
        ownPart.recordRequest();
        requests.add(1);
    }

    /** Takes a retry, or returns false if the limit does not permit one. */
    synchronized boolean tryAcquire(PeerUsage peers) {
        if (!ownPart.tryAcquireRetry() && !isSharedRetryFree(peers)) {
            return false;
        }
        retries.add(1);
        return true;
    }

    private boolean isSharedRetryFree(PeerUsage peers) {
        if (!sharingStart.hasPassed(clock)) {
            return false;
        }
        double permitted = bounds.extra()
                + bounds.perRequest() * (requests.total() + peers.reported().requests());
        double reporting = (double) (peers.vms() - peers.silentVms()) / peers.vms();
        double others = peers.reported().retries() + retries.recent(UNREPORTED_SLOTS) * (peers.vms() - 1);
        return others + retries.total() + 1 <= permitted * SHARED_FRACTION * reporting;
    }

    /** Returns the requests and retries of this VM within the window. */
    synchronized RetryUsage usage() {
        return new RetryUsage(requests.total(), retries.total());
    }
}
