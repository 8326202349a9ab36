package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Arrays;

/**
 * One VM's part of a workspace's limit, which holds for every window of time: what was admitted within
 * the last window may not exceed the part.
 *
 * <p>A request that is larger than the part is admitted once most of the part is free, so that large
 * requests are not starved on a VM with a small part. Safe for use by many threads.
 */
final class WorkspaceQuota {

    /** Slots that a window is counted in; one more is counted, since the oldest has partly passed. */
    private static final int SLOTS = 32;

    /** The part of the limit that must be free for a request that is larger than it. */
    private static final double FREE_FOR_LARGE = 0.8;

    private final MonotonicClock clock;
    private final long slotNanos;
    private final double[] admitted = new double[SLOTS + 1];
    private long slot;
    private double sum;
    private double limit;
    private boolean sized;
    private double sinceTaken;

    WorkspaceQuota(MonotonicClock clock, Duration window) {
        this.clock = clock;
        this.slotNanos = window.toNanos() / SLOTS;
        this.slot = clock.nanos() / slotNanos;
    }

    /**
     * Sets this VM's part of what may be admitted within a window. The first part counts as spent evenly
     * over the window that has passed, since the VM may have spent it before a restart.
     */
    synchronized void resize(double newLimit) {
        if (!sized) {
            sized = true;
            Arrays.fill(admitted, newLimit / admitted.length);
            sum = newLimit;
        }
        limit = newLimit;
    }

    /**
     * Admits a request, and returns zero, or returns how long to wait until it may be admitted.
     *
     * @param unusedByOthers what is free of the whole limit although this VM's part may be spent
     */
    synchronized Duration admit(double cost, double unusedByOthers) {
        pass();
        if (sum + Math.min(cost, limit * FREE_FOR_LARGE) > limit && cost > unusedByOthers - sum) {
            return Duration.ofNanos(slotNanos * slotsUntilFree(cost));
        }
        add(cost);
        return Duration.ZERO;
    }

    /** How many slots must pass until enough of what was admitted has left the window. */
    private int slotsUntilFree(double cost) {
        double left = sum;
        double needed = Math.min(cost, limit * FREE_FOR_LARGE);
        for (int slots = 1; slots <= SLOTS; slots++) {
            left -= admitted[index(slot + slots)];
            if (left + needed <= limit) {
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
