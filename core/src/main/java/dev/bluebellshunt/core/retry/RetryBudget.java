package dev.bluebellshunt.core.retry;

/**
 * Allows retries as a fraction of first tries, so that retries never multiply an overload.
 *
 * <p>Safe for use by many threads.
 */
public final class RetryBudget {

    /** Retries that one first try earns. */
    static final double RETRIES_PER_TRY = 0.1;

    /** Retries that may be saved up, which also serve a workspace with little traffic. */
    static final double MAX_SAVED = 10;

    private double saved = MAX_SAVED;

    /** Counts a first try. */
    public synchronized void firstTry() {
        saved = Math.min(MAX_SAVED, saved + RETRIES_PER_TRY);
    }

    /**
     * Takes one retry.
     *
     * @return false where the budget is used up
     */
    public synchronized boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
