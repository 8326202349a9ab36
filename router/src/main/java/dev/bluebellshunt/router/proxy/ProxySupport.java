package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.Outcome;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.limit.WorkspaceLimiter;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.retry.Backoff;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.retry.RetryBudget;
import dev.bluebellshunt.core.retry.RunningRequests;
import dev.bluebellshunt.core.routing.HashRing;
import dev.bluebellshunt.core.routing.PriorityCalculator;
import dev.bluebellshunt.core.routing.TargetSelector;
import dev.bluebellshunt.core.target.TargetSignals;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.core.usage.UsageLedger;
import dev.bluebellshunt.router.telemetry.RouterMetrics;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The components shared by all calls.
 *
 * @param clock the clock that deadlines refer to
 * @param random the random source for jitter; must be thread-safe
 * @param client sends requests to targets
 * @param selector selects targets
 * @param priority computes request priorities from the recent usage of their workspace
 * @param limiter admits requests within their workspace's rate and burst
 * @param ledger ensures that non-idempotent requests run at most once
 * @param crashSuspects tracks requests suspected of crashing targets
 * @param runningRequests the requests that this VM has in progress on each target
 * @param retryBudgets retry budgets by workspace
 * @param usage the usage charged to each workspace
 * @param metrics the router metrics
 * @param tracing creates trace spans
 * @param targetFailureListener is notified of the names of targets marked as suspect
 * @param sleeper blocks the calling thread before a retry
 */
public record ProxySupport(
        MonotonicClock clock,
        RandomGenerator random,
        TargetClient client,
        TargetSelector selector,
        PriorityCalculator priority,
        WorkspaceLimiter limiter,
        OnceLedger ledger,
        CrashSuspects crashSuspects,
        RunningRequests runningRequests,
        Map<String, RetryBudget> retryBudgets,
        UsageLedger usage,
        RouterMetrics metrics,
        Tracing tracing,
        Consumer<String> targetFailureListener,
        Consumer<Duration> sleeper) {

    /** Time for which this VM sends no new requests to a target that failed one, unless a probe succeeds first. */
    private static final Duration SUSPECT_DURATION = Duration.ofSeconds(2);

    private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofSeconds(1);

    private static final Logger log = LoggerFactory.getLogger("router");

    /**
     * Creates the map of retry budgets, which are added on first use.
     *
     * @return an empty, thread-safe map
     */
    public static Map<String, RetryBudget> createRetryBudgets() {
        return new ConcurrentHashMap<>();
    }

    RetryBudget retryBudget(CallContext context) {
        return retryBudgets.computeIfAbsent(context.workspaceName(), name -> new RetryBudget());
    }

    /** Returns whether a failed attempt may be retried, and if so takes the retry from the budget. */
    boolean tryAcquireRetry(CallContext context, ShuntException failure) {
        if (failure.code() == ErrorCode.DEADLINE_EXCEEDED || context.deadline().hasPassed(clock)) {
            return false;
        }
        return retryBudget(context).tryAcquireRetry();
    }

    void sleepBeforeRetry(int retry, Deadline deadline) {
        Duration delay = Backoff.delayBeforeRetry(retry, random);
        Duration remaining = deadline.remaining(clock);
        sleeper.accept(delay.compareTo(remaining) < 0 ? delay : remaining);
    }

    /** Sends a request to a target, and records what the target says of itself in its response. */
    TargetResponse send(TargetView target, TargetRequest request) {
        TargetResponse response = client.send(target, request);
        TargetSignals news = target.recordSignals(TargetHeaders.readSignals(response), clock);
        if (news != null) {
            metrics.recordTargetSignal(news.leaving() ? "leaving" : "retry_after");
            log.info(
                    "Target {} says that {}",
                    target.name(),
                    news.leaving() ? "it is leaving" : "it wants no requests for " + news.retryAfter());
        }
        return response;
    }

    void markSuspect(TargetView target) {
        target.runtimeState().markSuspect(clock, SUSPECT_DURATION);
        targetFailureListener.accept(target.name());
    }

    /** Returns whether the connection was lost while the target may have been running a request. */
    static boolean isCrash(ShuntException failure) {
        if (failure.code() == ErrorCode.STREAM_BROKEN) {
            return true;
        }
        return failure.step() == Step.FORWARD && failure.getCause() instanceof IOException;
    }

    /** Records a crash of a target against the requests that it was running, if a failure is one. */
    void recordIfCrash(TargetView target, ShuntException failure, Collection<Long> fingerprints) {
        if (isCrash(failure)) {
            crashSuspects.recordCrash(target.name(), target.spec().failureDomain(), fingerprints);
        }
    }

    /** Returns whether a request must not run, because several targets crashed while running it. */
    boolean isQuarantined(long fingerprint) {
        return !crashSuspects.acquireRun(fingerprint).isZero();
    }

    static ShuntException quarantined() {
        return new ShuntException(
                ErrorCode.QUARANTINED,
                Step.ROUTE,
                "self",
                Outcome.UNKNOWN,
                "Several targets crashed while running this request.");
    }

    /** Returns a failure that tells the caller to return once the first target wants requests again. */
    ShuntException noTargetAvailable(String service, HashRing targets) {
        Duration refusalTime = targets.targets().stream()
                .filter(target -> !target.hasSaidToLeave())
                .map(target -> target.refusalTime(clock))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
        return ShuntException.notRun(
                ErrorCode.NO_TARGET,
                Step.ROUTE,
                "No target is available for '" + service + "'.",
                refusalTime.plus(Backoff.jitteredRetryAfter(NO_TARGET_RETRY_AFTER, random)));
    }
}
