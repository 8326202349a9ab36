package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.target.TargetView;

/** Sends requests to targets. Never sends a request twice by itself. */
@FunctionalInterface
public interface TargetClient {

    /**
     * Sends a request, and waits for the answer's headers.
     *
     * @param target the target
     * @param request the request
     * @return the answer
     * @throws dev.bluebellshunt.core.error.ShuntException if there is no answer; its outcome is "not run"
     *     only where no byte was sent
     */
    TargetAnswer send(TargetView target, OutgoingRequest request);
}
