package dev.bluebellshunt.relay.limit;

import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;

/**
 * Token bucket with this VM's share of the retries to a pool: a fraction of the pool's requests, plus a fixed
 * number per window.
 *
 * <p>Thread-safe.
 */
final class PoolRetryBudget {

    private final MonotonicClock clock;
    private final double tokensPerRequest;
    private final Duration window;
    private double tokensPerWindow;
    private double tokens;
    private long lastRefillNanos;

    PoolRetryBudget(MonotonicClock clock, double tokensPerRequest, Duration window, double tokensPerWindow) {
        this.clock = clock;
        this.tokensPerRequest = tokensPerRequest;
        this.window = window;
        this.tokensPerWindow = tokensPerWindow;
        this.tokens = tokensPerWindow;
        this.lastRefillNanos = clock.nanos();
    }

    synchronized void resize(double newTokensPerWindow) {
        tokensPerWindow = newTokensPerWindow;
        tokens = Math.min(tokens, capacity());
    }

    synchronized void recordRequest() {
        refill();
        tokens = Math.min(capacity(), tokens + tokensPerRequest);
    }

    synchronized boolean tryAcquireRetry() {
        refill();
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Refills at a constant rate, so that no window permits more than twice {@link #tokensPerWindow} unearned retries. */
    private void refill() {
        long now = clock.nanos();
        double gained = tokensPerWindow * (now - lastRefillNanos) / window.toNanos();
        tokens = Math.min(capacity(), tokens + gained);
        lastRefillNanos = now;
    }

    private double capacity() {
        return Math.max(1, tokensPerWindow);
    }
}
