package dev.bluebellshunt.core.target;

import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Mutable runtime state of a target: request counters, suspicion and the last report. Thread-safe.
 *
 * <p>It is shared by successive snapshots, so that work counted under one snapshot is subtracted under a later one.
 */
public final class TargetRuntimeState {

    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final AtomicLong prefillTokensInFlight = new AtomicLong();
    private volatile @Nullable Deadline suspectUntil;
    private final SignalMemory signals = new SignalMemory();
    private volatile TargetReport lastReport = new TargetReport("", false, 0, 0);

    /**
     * Records a request that is about to be sent.
     *
     * @param prefillTokens the number of tokens to prefill
     */
    public void requestStarted(long prefillTokens) {
        requestsInFlight.incrementAndGet();
        prefillTokensInFlight.addAndGet(prefillTokens);
    }

    /**
     * Records the completion of a prefill.
     *
     * @param prefillTokens the number passed to {@link #requestStarted}
     */
    public void prefillCompleted(long prefillTokens) {
        prefillTokensInFlight.addAndGet(-prefillTokens);
    }

    /** Records the completion of a request. */
    public void requestCompleted() {
        requestsInFlight.decrementAndGet();
    }

    /**
     * Stores the target's latest report.
     *
     * @param report the report
     */
    public void updateReport(TargetReport report) {
        lastReport = report;
    }

    /**
     * Returns the target's last report, which lags behind its actual state.
     *
     * @return the report, empty before the first one
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
     * Excludes the target from new work for a while after a request failed.
     *
     * @param clock the clock
     * @param wait how long to exclude it
     */
    public void markSuspect(MonotonicClock clock, Duration wait) {
        suspectUntil = Deadline.after(clock, wait);
    }

    /** Clears the suspicion. */
    public void clearSuspect() {
        suspectUntil = null;
    }

    /**
     * Returns whether the target is excluded from new work because of a recent failure.
     *
     * @param clock the clock
     * @return true until the suspicion expires
     */
    public boolean isSuspect(MonotonicClock clock) {
        Deadline until = suspectUntil;
        return until != null && !until.hasPassed(clock);
    }

    /**
     * Returns what the target has said of itself in its responses.
     *
     * @return the signals by incarnation
     */
    SignalMemory signals() {
        return signals;
    }
}
