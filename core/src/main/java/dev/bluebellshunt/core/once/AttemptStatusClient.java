package dev.bluebellshunt.core.once;

import java.util.concurrent.CompletableFuture;

/** Queries the router that owns an attempt for the attempt's status. */
@FunctionalInterface
public interface AttemptStatusClient {

    /**
     * Requests the status of an attempt from its owner.
     *
     * @param owner the owner's address
     * @param attempt the attempt's id
     * @return the status; completes exceptionally if the owner cannot be reached
     */
    CompletableFuture<AttemptStatus> fetchStatus(String owner, String attempt);
}
