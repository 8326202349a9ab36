package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * One VM's part of a workspace's rate and burst: a token bucket that starts empty, so that a VM which
 * restarts can't spend its burst twice.
 *
 * <p>A request is admitted while the bucket holds anything, and may leave it in debt; a debt is paid
 * before the next request. Safe for use by many threads.
 */
final class WorkspaceQuota {

    private final MonotonicClock clock;
    private double rate;
    private double capacity;
    private double level;
    private double admitted;
    private long filledNanos;

    WorkspaceQuota(MonotonicClock clock) {
        this.clock = clock;
        this.filledNanos = clock.nanos();
    }

    /** Sets this VM's part, in units a second and units. */
    synchronized void resize(double ratePerSecond, double burst) {
        fill();
        rate = ratePerSecond;
        capacity = burst;
        level = Math.min(level, capacity);
    }

    /** Admits a request, and returns zero, or returns how long to wait until the next one may be admitted. */
    synchronized Duration admit(double cost) {
        fill();
        if (level <= 0) {
            double seconds = rate > 0 ? -level / rate : 1;
            return Duration.ofMillis(Math.max(1, (long) Math.ceil(seconds * 1_000)));
        }
        level -= cost;
        admitted += cost;
        return Duration.ZERO;
    }

    /** Gives back the cost of a request that no target has run. */
    synchronized void refund(double cost) {
        level = Math.min(capacity, level + cost);
        admitted -= cost;
    }

    /** Units admitted since the last call. */
    synchronized double takeAdmitted() {
        double taken = Math.max(0, admitted);
        admitted = 0;
        return taken;
    }

    private void fill() {
        long now = clock.nanos();
        level = Math.min(capacity, level + rate * (now - filledNanos) / TimeUnit.SECONDS.toNanos(1));
        filledNanos = now;
    }
}
