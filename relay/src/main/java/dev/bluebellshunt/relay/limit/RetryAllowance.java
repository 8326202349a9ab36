package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;

/**
 * One VM's part of the retries that a pool may get: a fraction of the requests for it, and a few more.
 *
 * <p>Safe for use by many threads.
 */
final class RetryAllowance {

    private final MonotonicClock clock;
    private final double perRequest;
    private final Duration window;
    private double extra;
    private double level;
    private long filledNanos;

    RetryAllowance(MonotonicClock clock, double perRequest, Duration window, double extra) {
        this.clock = clock;
        this.perRequest = perRequest;
        this.window = window;
        this.extra = extra;
        this.level = extra;
        this.filledNanos = clock.nanos();
    }

    synchronized void resize(double newExtra) {
        extra = newExtra;
        level = Math.min(level, capacity());
    }

    synchronized void requested() {
        fill();
        level = Math.min(capacity(), level + perRequest);
    }

    synchronized boolean tryRetry() {
        fill();
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** The level rises by the extra once a window, so that two windows together get no more than two extras. */
    private void fill() {
        long now = clock.nanos();
        double gained = extra * (now - filledNanos) / window.toNanos();
        level = Math.min(capacity(), level + gained);
        filledNanos = now;
    }

    private double capacity() {
        return Math.max(1, extra);
    }
}
