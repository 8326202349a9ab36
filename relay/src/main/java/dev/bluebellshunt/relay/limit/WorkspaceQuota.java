package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Arrays;

/**
 * What one VM has admitted of a workspace's limit, which holds for every window of time.
 *
 * <p>A request that is larger than the limit is admitted once most of the limit is free, so that it is
 * not starved. Safe for use by many threads.
 */
final class WorkspaceQuota {

    /** Slots that a window is counted in; one more is counted, since the oldest has partly passed. */
    private static final int SLOTS = 32;

    /** Slots that may have begun since the other VMs reported: their interval and the way of a report. */
    private static final int UNREPORTED_SLOTS = 1;

    private final MonotonicClock clock;
    private final long slotNanos;
    private final double[] admitted = new double[SLOTS + 1];
    private long slot;
    private double sum;
    private double part;
    private boolean sized;
    private double sinceTaken;

    /**
     * What the other VMs leave of the limit.
     *
     * @param limit what this VM and those that report may admit together within a window
     * @param reported what those that report had admitted when they did
     * @param enoughForLarge what must be free for a request of any size
     */
    record Others(double limit, double reported, double enoughForLarge) {}

    WorkspaceQuota(MonotonicClock clock, Duration window) {
        this.clock = clock;
        this.slotNanos = window.toNanos() / SLOTS;
        this.slot = clock.nanos() / slotNanos;
    }

    /**
     * Sets this VM's part of what may be admitted within a window.
     *
     * @param newPart the part
     * @param spentBefore what the VM has spent in the last window before it restarted; taken as spent evenly
     */
    synchronized void resize(double newPart, double spentBefore) {
        if (!sized) {
            sized = true;
            Arrays.fill(admitted, spentBefore / admitted.length);
            sum = spentBefore;
        }
        part = newPart;
    }

    /** This VM's part of the limit. */
    synchronized double part() {
        return part;
    }

    /**
     * Admits a request, and returns zero, or returns how long to wait until it may be admitted.
     *
     * @param cost its units
     * @param others what the other VMs leave
     */
    synchronized Duration admit(double cost, Others others) {
        pass();
        double used = sum + others.reported() + unreported(others);
        double needed = Math.min(cost, others.enoughForLarge());
        if (!sized || used + needed > others.limit()) {
            return Duration.ofNanos(slotNanos * slotsUntilFree(used + needed - others.limit(), used));
        }
        add(cost);
        return Duration.ZERO;
    }

    /**
     * What the other VMs have admitted since they reported, taken to be in the same proportion to what they
     * had as it is here. Without it each VM would take what all see free.
     */
    private double unreported(Others others) {
        if (sum <= 0) {
            return 0;
        }
        double recent = 0;
        for (int slots = 0; slots < UNREPORTED_SLOTS; slots++) {
            recent += admitted[index(slot - slots)];
        }
        return others.reported() * Math.clamp(recent / sum, 0, 1);
    }

    /** How many slots must pass until enough has left the window, where the others' slots are like this VM's. */
    private int slotsUntilFree(double excess, double used) {
        double scale = sum <= 0 ? 0 : used / sum;
        double freed = 0;
        for (int slots = 1; slots <= SLOTS; slots++) {
            freed += admitted[index(slot + slots)] * scale;
            if (freed >= excess) {
                return slots;
            }
        }
        return SLOTS;
    }

    /** Gives back the cost of a request that no target has run. */
    synchronized void refund(double cost) {
        pass();
        add(-Math.min(cost, admitted[index(slot)]));
    }

    private void add(double cost) {
        admitted[index(slot)] += cost;
        sum += cost;
        sinceTaken += cost;
    }

    /** Units admitted within the window. */
    synchronized double admitted() {
        pass();
        return Math.max(0, sum);
    }

    /** Units admitted since the last call. */
    synchronized double takeAdmitted() {
        double taken = Math.max(0, sinceTaken);
        sinceTaken = 0;
        return taken;
    }

    private int index(long ofSlot) {
        return (int) Math.floorMod(ofSlot, (long) admitted.length);
    }

    private void pass() {
        long now = clock.nanos() / slotNanos;
        for (int passed = 0; slot < now && passed <= SLOTS; passed++) {
            slot++;
            sum -= admitted[index(slot)];
            admitted[index(slot)] = 0;
        }
        slot = Math.max(slot, now);
    }
}
