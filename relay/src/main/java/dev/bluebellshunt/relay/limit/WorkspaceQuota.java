package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Sliding-window counter of the units that this VM has admitted for a workspace.
 *
 * <p>A request larger than the limit is admitted when most of the limit is free, so that it does not starve.
 * Thread-safe.
 */
final class WorkspaceQuota {

    /** Number of slots per window; one more is kept because the oldest is only partly outside the window. */
    private static final int SLOTS = 32;

    /** Number of slots that peers' reports may lag behind, due to the report interval and the network delay. */
    private static final int UNREPORTED_SLOTS = 1;

    private final MonotonicClock clock;
    private final long slotNanos;
    private final double[] admitted = new double[SLOTS + 1];
    private long currentSlot;
    private double admittedTotal;
    private double largestInSlot;
    private double share;
    private boolean initialized;
    private double admittedSinceDrain;

    /**
     * Usage of the limit by the other VMs.
     *
     * @param limit the units that this VM and the reporting peers may admit together within a window
     * @param reported the units that the reporting peers had admitted as of their latest reports
     * @param estimated the units that they have admitted by now, if they went on at the reported rates
     * @param oversizedThreshold the free units that suffice to admit a request of any size
     */
    record PeerUsage(double limit, double reported, double estimated, double oversizedThreshold) {}

    WorkspaceQuota(MonotonicClock clock, Duration window) {
        this.clock = clock;
        this.slotNanos = window.toNanos() / SLOTS;
        this.currentSlot = clock.nanos() / slotNanos;
    }

    /**
     * Sets this VM's share of the limit.
     *
     * @param newShare the share in units per window
     * @param admittedBeforeRestart the units admitted in the last window before a restart; the first call
     *     distributes them evenly over the window
     */
    synchronized void updateShare(double newShare, double admittedBeforeRestart) {
        if (!initialized) {
            initialized = true;
            Arrays.fill(admitted, admittedBeforeRestart / admitted.length);
            admittedTotal = admittedBeforeRestart;
        }
        share = newShare;
    }

    synchronized double share() {
        return share;
    }

    /**
     * Admits a request if it fits into the limit.
     *
     * @param cost the cost of the request in units
     * @param peers the usage by the other VMs
     * @return zero if the request was admitted, otherwise the estimated time until it fits
     */
    synchronized Duration admit(double cost, PeerUsage peers) {
        expireSlots();
        double used = admittedTotal + Math.max(peers.estimated(), peers.reported() + estimateUnreported(peers));
        double needed = Math.min(cost, peers.oversizedThreshold());
        if (!initialized || used + needed > peers.limit()) {
            return Duration.ofNanos(slotNanos * slotsUntilFree(used + needed - peers.limit(), used));
        }
        charge(cost);
        largestInSlot = Math.max(largestInSlot, cost);
        return Duration.ZERO;
    }

    /**
     * Estimates what the peers have admitted since their latest reports, assuming the same ratio of recent to
     * total admissions as on this VM. Without the estimate, every VM would admit the same free units. A VM that has
     * admitted a single request recently can't tell a ratio.
     */
    private double estimateUnreported(PeerUsage peers) {
        if (admittedTotal <= 0) {
            return 0;
        }
        double recent = -largestInSlot;
        for (int slots = 0; slots < UNREPORTED_SLOTS; slots++) {
            recent += admitted[index(currentSlot - slots)];
        }
        return peers.reported() * Math.clamp(recent / admittedTotal, 0, 1);
    }

    /** Returns the number of slots until the excess has expired, assuming that the peers' slots are distributed alike. */
    private int slotsUntilFree(double excess, double used) {
        double scale = admittedTotal <= 0 ? 0 : used / admittedTotal;
        double freed = 0;
        for (int slots = 1; slots <= SLOTS; slots++) {
            freed += admitted[index(currentSlot + slots)] * scale;
            if (freed >= excess) {
                return slots;
            }
        }
        return SLOTS;
    }

    /** Refunds the cost of a request that no target has executed. */
    synchronized void refund(double cost) {
        expireSlots();
        charge(-Math.min(cost, admitted[index(currentSlot)]));
    }

    private void charge(double cost) {
        admitted[index(currentSlot)] += cost;
        admittedTotal += cost;
        admittedSinceDrain += cost;
    }

    /** Returns the units admitted within the current window. */
    synchronized double admitted() {
        expireSlots();
        return Math.max(0, admittedTotal);
    }

    /** Returns the units admitted per second, measured over the current slot and the one before. */
    synchronized double admittedPerSecond() {
        expireSlots();
        long measuredNanos = clock.nanos() - (currentSlot - 1) * slotNanos;
        double recent = admitted[index(currentSlot)] + admitted[index(currentSlot - 1)];
        return Math.max(0, recent) * TimeUnit.SECONDS.toNanos(1) / measuredNanos;
    }

    /** Returns the units admitted since the previous call, and resets the count. */
    synchronized double drainAdmitted() {
        double drained = Math.max(0, admittedSinceDrain);
        admittedSinceDrain = 0;
        return drained;
    }

    private int index(long ofSlot) {
        return (int) Math.floorMod(ofSlot, (long) admitted.length);
    }

    private void expireSlots() {
        long nowSlot = clock.nanos() / slotNanos;
        for (int passed = 0; currentSlot < nowSlot && passed <= SLOTS; passed++) {
            currentSlot++;
            admittedTotal -= admitted[index(currentSlot)];
            admitted[index(currentSlot)] = 0;
            largestInSlot = 0;
        }
        currentSlot = Math.max(currentSlot, nowSlot);
    }
}
