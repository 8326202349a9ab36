package dev.bluebellshunt.relay.proxy;

import dev.bluebellshunt.core.target.TargetSignals;
import org.jspecify.annotations.Nullable;

/**
 * The values parsed from the status and headers of a target's response.
 *
 * @param requestId the id of the request that the response belongs to, or null if absent
 * @param signed whether the response carries the target's signature
 * @param notRun whether the target reports that it did not run the request
 * @param targetMismatch whether a target other than the expected one responded at this address
 * @param weightsMismatch whether the target has a weights version other than the expected one and did not run the
 *     request
 * @param weightsVersion the weights version that the target reports, or null if absent
 * @param signals what the target says of itself
 */
public record TargetResponseMetadata(
        @Nullable String requestId,
        boolean signed,
        boolean notRun,
        boolean targetMismatch,
        boolean weightsMismatch,
        @Nullable Long weightsVersion,
        TargetSignals signals) {

    /**
     * Returns whether the target states that it did not run a request, which is this one only if the ids are the same.
     *
     * @return true if it rejected the request that the response belongs to
     */
    public boolean isRefusal() {
        return notRun || targetMismatch || weightsMismatch;
    }
}
