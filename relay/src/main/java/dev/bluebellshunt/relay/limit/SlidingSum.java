package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Sum of the amounts added within a sliding window, in slots of equal length. Not thread-safe. */
final class SlidingSum {

    /** Number of slots per window; one more is kept because the oldest is only partly outside the window. */
    static final int SLOTS = 32;

    private final MonotonicClock clock;
    private final long slotNanos;
    private final double[] slots = new double[SLOTS + 1];
    private long currentSlot;
    private double total;

    SlidingSum(MonotonicClock clock, Duration window) {
        this.clock = clock;
        this.slotNanos = window.toNanos() / SLOTS;
        this.currentSlot = clock.nanos() / slotNanos;
    }

    void add(double amount) {
        expireSlots();
        slots[index(0)] += amount;
        total += amount;
    }

    /** Replaces the content by an amount that is distributed evenly over the window. */
    void fillEvenly(double amount) {
        Arrays.fill(slots, amount / slots.length);
        total = amount;
    }

    double total() {
        expireSlots();
        return total;
    }

    /** Returns the sum over the current slot and the given number of slots before it. */
    double recent(int slotsBefore) {
        expireSlots();
        double sum = 0;
        for (int age = 0; age <= slotsBefore; age++) {
            sum += slots[index(age)];
        }
        return sum;
    }

    /** Returns the amount that expires with the given number of further slots, counted from one. */
    double expiringWith(int slot) {
        return slots[index(slots.length - slot)];
    }

    /** Returns the amount per second, measured over the current slot and the one before. */
    double perSecond() {
        double recent = recent(1);
        long measuredNanos = clock.nanos() - (currentSlot - 1) * slotNanos;
        return Math.max(0, recent) * TimeUnit.SECONDS.toNanos(1) / measuredNanos;
    }

    /** Returns the number of the current slot. */
    long currentSlot() {
        expireSlots();
        return currentSlot;
    }

    long slotNanos() {
        return slotNanos;
    }

    private int index(int age) {
        return (int) Math.floorMod(currentSlot - age, (long) slots.length);
    }

    private void expireSlots() {
        long nowSlot = clock.nanos() / slotNanos;
        for (int passed = 0; currentSlot < nowSlot && passed <= SLOTS; passed++) {
            currentSlot++;
            total -= slots[index(0)];
            slots[index(0)] = 0;
        }
        currentSlot = Math.max(currentSlot, nowSlot);
    }
}
