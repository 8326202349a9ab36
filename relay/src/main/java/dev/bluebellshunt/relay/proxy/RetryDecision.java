package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.relay.model.RelayRoute;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a request may be sent to another target.
 *
 * <p>A send that was certainly not run may be repeated on any route, a few times. One that may have run is repeated only
 * as far as the route and the prompt of the request allow. The retry limit of the pool applies in addition.
 */
final class RetryDecision {

    /** Maximum number of attempts that were certainly not run, after which the request is rejected. */
    private static final int MAX_REJECTED_ATTEMPTS = 3;

    private final RelayRoute route;
    private final SendHistory history;
    private final BooleanSupplier promptPartSuspect;

    /**
     * Creates the decision for one request.
     *
     * @param route the route of the request
     * @param history the sends of the request
     * @param promptPartSuspect whether a part of the prompt may crash targets
     */
    RetryDecision(RelayRoute route, SendHistory history, BooleanSupplier promptPartSuspect) {
        this.route = route;
        this.history = history;
        this.promptPartSuspect = promptPartSuspect;
    }

    /** Whether another target may be tried after a failed attempt. */
    boolean mayRetry() {
        return history.rejected() < MAX_REJECTED_ATTEMPTS && (history.possiblyExecuted() == 0 || mayRepeat());
    }

    /** Whether another target may run the request, which may have been run. */
    boolean mayRepeat() {
        return mayRepeatAfter(history.possiblyExecuted());
    }

    /**
     * Whether to stop waiting for the response of a target and to try another one. Applies only to requests that may
     * run more than once.
     *
     * @param targetUsable whether the target is healthy
     * @param waited the time since the request was sent
     */
    boolean mayAbandon(boolean targetUsable, Duration waited) {
        return !targetUsable
                && waited.compareTo(route.objective().dividedBy(2)) > 0
                && mayRepeatAfter(history.possiblyExecuted() + 1);
    }

    private boolean mayRepeatAfter(int executions) {
        return route.isRetryable() && executions < route.maxAttempts() && !promptPartSuspect.getAsBoolean();
    }
}
