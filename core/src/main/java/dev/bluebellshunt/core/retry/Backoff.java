package dev.bluebellshunt.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Computes retry delays: exponential backoff with full jitter. */
public final class Backoff {

    private static final Duration BASE_DELAY = Duration.ofMillis(10);
    private static final Duration MAX_DELAY = Duration.ofMillis(500);
    private static final int MAX_DOUBLINGS = 10;

    private Backoff() {}

    /**
     * Returns the delay before a retry.
     *
     * @param retry the retry number, starting at 1
     * @param random the source of jitter
     * @return a delay between zero and a limit that doubles with each retry
     */
    public static Duration delayBeforeRetry(int retry, RandomGenerator random) {
        int doublings = Math.min(MAX_DOUBLINGS, retry - 1);
        long limit = Math.min(MAX_DELAY.toNanos(), BASE_DELAY.toNanos() << doublings);
        return Duration.ofNanos(random.nextLong(limit + 1));
    }

    /**
     * Returns a delay to report to a rejected caller, with jitter so that rejected callers do not all
     * retry at the same time.
     *
     * @param minimum the minimum delay
     * @param random the source of jitter
     * @return a delay between the minimum and twice the minimum
     */
    public static Duration jitteredRetryAfter(Duration minimum, RandomGenerator random) {
        return minimum.plusNanos(random.nextLong(Math.max(1, minimum.toNanos())));
    }
}
