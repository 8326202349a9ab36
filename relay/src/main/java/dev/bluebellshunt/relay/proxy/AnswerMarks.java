package dev.bluebellshunt.relay.proxy;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a target's answer says.
 *
 * @param requestId the request that it answers, or null where it does not say
 * @param sealed whether it bears the target's signature
 * @param notRun whether the target states that it did not run the request
 * @param otherTarget whether another target than the expected one has the address
 * @param otherWeights whether the target has other weights than the expected ones, and did not run it
 * @param weights the version of the weights that answered, or null where it does not say
 */
public record AnswerMarks(
        @Nullable String requestId,
        boolean sealed,
        boolean notRun,
        boolean otherTarget,
        boolean otherWeights,
        @Nullable Long weights) {}
