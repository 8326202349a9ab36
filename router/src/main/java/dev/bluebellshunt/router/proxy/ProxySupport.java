package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.error.ErrorCode;
import dev.bluebellshunt.core.error.ShuntException;
import dev.bluebellshunt.core.error.Step;
import dev.bluebellshunt.core.limit.WorkspaceLimiter;
import dev.bluebellshunt.core.once.OnceLedger;
import dev.bluebellshunt.core.retry.Backoff;
import dev.bluebellshunt.core.retry.CrashSuspects;
import dev.bluebellshunt.core.retry.RetryBudget;
import dev.bluebellshunt.core.retry.RunningRequests;
import dev.bluebellshunt.core.routing.PriorityCalculator;
import dev.bluebellshunt.core.routing.TargetSelector;
import dev.bluebellshunt.core.target.TargetView;
import dev.bluebellshunt.core.time.Deadline;
import dev.bluebellshunt.core.time.MonotonicClock;
import dev.bluebellshunt.core.usage.UsageLedger;
import dev.bluebellshunt.router.telemetry.RouterMetrics;
import dev.bluebellshunt.router.telemetry.Tracing;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * What all calls share.
 *
 * @param clock the clock of deadlines
 * @param random the source of jitter, safe for many threads
 * @param client sends requests to targets
 * @param selector chooses targets
 * @param priority ranks requests by what their workspace used lately
 * @param limiter admits requests within their workspace's rate and burst
 * @param ledger lets requests run at most once
 * @param suspects requests under suspicion of crashing targets
 * @param running what each target runs for this VM
 * @param budgets retry budgets by workspace
 * @param usage what each workspace is charged
 * @param metrics the metrics
 * @param tracing the traces
 * @param targetFailed is told of targets that failed a request
 * @param pause waits before a further try
 */
public record ProxySupport(
        MonotonicClock clock,
        RandomGenerator random,
        TargetClient client,
        TargetSelector selector,
        PriorityCalculator priority,
        WorkspaceLimiter limiter,
        OnceLedger ledger,
        CrashSuspects suspects,
        RunningRequests running,
        Map<String, RetryBudget> budgets,
        UsageLedger usage,
        RouterMetrics metrics,
        Tracing tracing,
        Consumer<String> targetFailed,
        Consumer<Duration> pause) {

    /** How long a target that failed a request gets no new work from this VM, unless a probe clears it. */
    private static final Duration SUSPICION = Duration.ofSeconds(2);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * The retry budgets of a router that starts.
     *
     * @return an empty map, safe for many threads
     */
    public static Map<String, RetryBudget> noBudgets() {
        return new ConcurrentHashMap<>();
    }

    RetryBudget budget(CallContext context) {
        return budgets.computeIfAbsent(context.workspaceName(), name -> new RetryBudget());
    }

    /** Whether a failed try may be followed by another one. */
    boolean mayRetry(CallContext context, ShuntException failure) {
        if (failure.code() == ErrorCode.DEADLINE_EXCEEDED || context.deadline().hasPassed(clock)) {
            return false;
        }
        return budget(context).tryAcquireRetry();
    }

    void pauseBefore(int retry, Deadline deadline) {
        Duration wait = Backoff.delayBeforeRetry(retry, random);
        Duration left = deadline.remaining(clock);
        pause.accept(wait.compareTo(left) < 0 ? wait : left);
    }

    void suspect(TargetView target) {
        target.runtimeState().markSuspect(clock, SUSPICION);
        targetFailed.accept(target.name());
    }

    ShuntException noTarget(String service) {
        return ShuntException.notRun(
                ErrorCode.NO_TARGET,
                Step.ROUTE,
                "No target takes work for '" + service + "' now.",
                Backoff.jitteredRetryAfter(RETRY_AFTER, random));
    }
}
