package dev.bluebellshunt.core.target;

/**
 * What a target says of itself when asked.
 *
 * @param incarnation changes each time the target starts anew
 * @param leaving whether the target itself is shutting down
 * @param runningRequests requests in its batch
 * @param queuedTokens tokens that wait for prefill
 */
public record TargetReport(String incarnation, boolean leaving, int runningRequests, long queuedTokens) {}
