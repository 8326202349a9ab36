package dev.bluebellshunt.core.retry;

/**
 * Limits retries to a fraction of first tries, so that retries do not amplify an overload.
 *
 * <p>This class is thread-safe.
 */
public final class RetryBudget {

    /** The number of retry tokens that each first try adds; a retry takes one token. */
    static final double TOKENS_PER_FIRST_TRY = 0.1;

    /** The maximum and initial number of retry tokens. Allows retries for workspaces with little traffic. */
    static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /** Records the first try of a request. */
    public synchronized void recordFirstTry() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_TRY);
    }

    /**
     * Takes a token for one retry.
     *
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryAcquireRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
