package dev.bluebellshunt.core.once;

import java.util.concurrent.CompletableFuture;

/** Asks the router that owns an attempt. */
@FunctionalInterface
public interface AttemptInquiry {

    /**
     * Asks for the status of an attempt.
     *
     * @param owner the owner's address
     * @param attempt the attempt's id
     * @return the status; fails where the owner can't be asked
     */
    CompletableFuture<AttemptStatus> ask(String owner, String attempt);
}
