package dev.bluebellshunt.core.target;

/**
 * A target's response to a probe.
 *
 * @param incarnation identifier that changes with each start of the target
 * @param leaving whether the target itself is shutting down
 * @param runningRequests the number of requests in its batch
 * @param queuedTokens the number of tokens waiting for prefill
 */
public record TargetReport(String incarnation, boolean leaving, int runningRequests, long queuedTokens) {}
