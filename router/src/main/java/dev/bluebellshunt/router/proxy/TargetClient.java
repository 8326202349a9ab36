package dev.bluebellshunt.router.proxy;

import dev.bluebellshunt.core.target.TargetView;

/** Sends requests to targets. Implementations must not retry a request. */
@FunctionalInterface
public interface TargetClient {

    /**
     * Sends a request and waits for the response headers.
     *
     * @param target the target to send to
     * @param request the request to send
     * @return the response, with its body still to be read
     * @throws dev.bluebellshunt.core.error.ShuntException if no response is received; its outcome is "not run"
     *     only if no byte of the request was sent
     */
    TargetResponse send(TargetView target, TargetRequest request);
}
