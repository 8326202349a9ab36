package dev.bluebellshunt.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Waits between tries: exponential, with full jitter. */
public final class Backoff {

    private static final Duration BASE = Duration.ofMillis(10);
    private static final Duration MAX = Duration.ofMillis(500);
    private static final int MAX_DOUBLINGS = 10;

    private Backoff() {}

    /**
     * The wait before a retry.
     *
     * @param retry the number of the retry, from 1
     * @param random the source of jitter
     * @return a wait from zero up to a limit that doubles with each retry
     */
    public static Duration before(int retry, RandomGenerator random) {
        int doublings = Math.min(MAX_DOUBLINGS, retry - 1);
        long limit = Math.min(MAX.toNanos(), BASE.toNanos() << doublings);
        return Duration.ofNanos(random.nextLong(limit + 1));
    }

    /**
     * Advice on when to come back, spread so that refused callers do not return together.
     *
     * @param least the earliest time that makes sense
     * @param random the source of jitter
     * @return a time from the earliest up to twice that
     */
    public static Duration advice(Duration least, RandomGenerator random) {
        return least.plusNanos(random.nextLong(Math.max(1, least.toNanos())));
    }
}
