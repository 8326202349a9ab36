package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * The counters of one target that traffic threads change.
 *
 * <p>A cell outlives snapshots, so that work counted under one snapshot is taken off under the next.
 */
public final class TargetCell {

    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final AtomicLong prefillTokensInFlight = new AtomicLong();
    private volatile @Nullable Deadline suspectUntil;
    private volatile TargetReport lastReport = new TargetReport("", false, 0, 0);

    /**
     * Counts a request that is about to be sent.
     *
     * @param prefillTokens tokens that the target has to prefill for it
     */
    public void begin(long prefillTokens) {
        requestsInFlight.incrementAndGet();
        prefillTokensInFlight.addAndGet(prefillTokens);
    }

    /**
     * Counts the end of a prefill.
     *
     * @param prefillTokens what {@link #begin} was told
     */
    public void prefilled(long prefillTokens) {
        prefillTokensInFlight.addAndGet(-prefillTokens);
    }

    /** Counts the end of a request. */
    public void end() {
        requestsInFlight.decrementAndGet();
    }

    /**
     * Takes over the target's report of itself.
     *
     * @param report the report
     */
    public void report(TargetReport report) {
        lastReport = report;
    }

    /**
     * The target's last report of itself, which lags.
     *
     * @return the report, an empty one before the first
     */
    public TargetReport lastReport() {
        return lastReport;
    }

    public int requestsInFlight() {
        return requestsInFlight.get();
    }

    public long prefillTokensInFlight() {
        return prefillTokensInFlight.get();
    }

    /**
     * Keeps new work away from the target for a while, after a failure seen by a traffic thread.
     *
     * @param clock the clock to read
     * @param wait how long
     */
    public void suspect(MonotonicClock clock, Duration wait) {
        suspectUntil = Deadline.after(clock, wait);
    }

    /** Ends a suspicion. */
    public void trust() {
        suspectUntil = null;
    }

    /**
     * Whether a recent failure keeps new work away.
     *
     * @param clock the clock to read
     * @return true until the suspicion's deadline
     */
    public boolean isSuspect(MonotonicClock clock) {
        Deadline until = suspectUntil;
        return until != null && !until.hasPassed(clock);
    }
}
